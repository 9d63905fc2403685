package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A stopping server goes on serving clients on their connections: they may have no other instance.
// It accepts new connections, loses nothing, and exits when all clients have gone.
func TestShutdownServesOpenConnections(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod, rg.server.shutdownTimeout = time.Millisecond, time.Hour
	idles := rg.connect(5)
	answer := make(chan *http.Response)
	ask := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go ask(idles[0])
	<-came
	rg.beginShutdown()
	close(serve)
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK {
		t.Errorf("what was out at the signal: answer %+v", res)
	}
	for range 3 {
		go ask(idles[1])
		<-came
		if res := <-answer; res == nil || res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("on an open connection: answer %+v", res)
		}
	}
	late, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	go ask(late.(*net.TCPConn))
	<-came
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK {
		t.Errorf("on a new connection: answer %+v", res)
	}
	late.Close()
	for _, c := range idles {
		c.Close()
	}
	rg.awaitExit()
}

// All requests that a stopping server has accepted are answered before it is killed: those from
// before the signal are cancelled at its end, and later ones state no more time to endpoints than
// is left.
func TestShutdownAnswersAllRequestsBeforeItsEnd(t *testing.T) {
	const linger = 3 * time.Second
	came, gaveUp := make(chan string, 2), make(chan bool, 2)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("X-Remaining")
		awaitCancel(r)
		gaveUp <- true
	}))
	rg.server.shutdownTimeout = linger
	idles := rg.connect(5)
	answer := make(chan *http.Response, 2)
	ask := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", time.Minute)) }
	go ask(idles[0])
	<-came
	rg.beginShutdown()
	go ask(idles[1])
	if left, ok := parseRemaining(<-came); !ok || left > linger {
		t.Errorf("an endpoint is told of %v", left)
	}
	for range 2 {
		// Nothing but the sidecar's end ends these: the endpoint is silent.
		if res := <-answer; res == nil || res.StatusCode != http.StatusBadGateway || !res.Close {
			t.Errorf("answer %+v", res)
		}
		<-gaveUp
	}
	if now, end := time.Now(), rg.server.lifecycle.Deadline(); now.Before(end) || now.After(end.Add(linger)) {
		t.Errorf("given up %v after the end", now.Sub(end))
	}
	rg.awaitExit()
}

// Clients open no new connections to a stopping server. A client whose connections are all in use
// finds no instance, so the only instance rejects requests with a Retry-After before that.
func TestShutdownOfOnlyInstanceRejectsBeforeConnectionsRunOut(t *testing.T) {
	came := make(chan bool, 1)
	one := endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "read" {
			came <- true
			awaitCancel(r)
		}
	})
	for _, c := range []struct{ idles, instances, status int }{
		{2, 1, http.StatusServiceUnavailable}, {3, 1, http.StatusOK}, {0, 2, http.StatusOK},
	} {
		rg := startOneOf(t, c.instances, 1024, one)
		rg.server.shutdownTimeout = time.Hour
		if status, _ := rg.ask(rg.request("once", 9*time.Second)); status != http.StatusOK {
			t.Fatalf("before the stop: %d", status)
		}
		conns := rg.connect(2 + c.idles)
		go rg.send(conns[0], rg.request("read", 9*time.Second))
		<-came
		rg.beginShutdown()
		res := rg.send(conns[1], rg.request("once", 9*time.Second))
		if res == nil || res.StatusCode != c.status || (res.Header.Get("Retry-After") == "") != (c.status == 200) {
			t.Errorf("with %d idle and %d instances: %+v", c.idles, c.instances, res)
		}
	}
}

// Where there are other instances, a stopping server redirects its clients there while it still
// answers what it has.
func TestShutdownRedirectsClientsToOtherInstances(t *testing.T) {
	came, serve := make(chan bool), make(chan bool)
	rg := startOneOf(t, 2, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		came <- true
		<-serve
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod, rg.server.shutdownTimeout, rg.server.redirectLead = time.Millisecond, time.Hour, time.Hour
	idles := rg.connect(2)
	answer := make(chan *http.Response)
	go func() { answer <- rg.send(idles[0], rg.request("once", 9*time.Second)) }()
	<-came
	rg.beginShutdown()
	idles[1].SetDeadline(time.Now().Add(testTimeout))
	if _, err := idles[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	close(serve)
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("answer %+v", res)
	}
	rg.awaitExit()
}

// A client in the middle of a request when the process ends gets a rejection: the request was not
// executed, and the connection ends as after any last answer, not by a close that later input turns
// into a reset.
func TestShutdownRejectsIncompleteRequests(t *testing.T) {
	var came atomic.Int64
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { came.Add(1) }))
	rg.server.shutdownTimeout = 400 * time.Millisecond
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: book\r\nX-Remaining: 9000m\r\nIdempotency-Key: k\r\n"
	halves := map[string]string{
		"head": fmt.Sprintf(head, "a"), "body": fmt.Sprintf(head, "b") + "Content-Length: 8\r\n\r\ntrip",
		"chunks": fmt.Sprintf(head, "c") + "Transfer-Encoding: chunked\r\n\r\n4\r\ntrip\r\n",
	}
	conns := map[string]*net.TCPConn{}
	for name, half := range halves {
		conns[name] = rg.dial()
		io.WriteString(conns[name], half)
	}
	rg.until("all are being read", func() bool {
		rg.server.clients.mu.Lock()
		defer rg.server.clients.mu.Unlock()
		return rg.server.clients.byState[stateReading].Len() == len(halves)
	})
	rg.signals <- syscall.SIGTERM
	for name, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v, %v", name, res, err)
			continue
		}
		io.WriteString(c, "what was on its way") // it is read, and resets nothing
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		c.Close()
	}
	select {
	case err := <-rg.exited:
		if err != nil || came.Load() > 0 {
			t.Errorf("ended with %v; %d came to an endpoint", err, came.Load())
		}
	case <-time.After(testTimeout):
		t.Error("it goes on")
	}
}

// Requests that have been read together with one whose answer is the last on its connection, as the
// process ends or after the grace of a drain, are answered too: to close behind the first would
// lose them.
func TestPipelinedRequestsBehindTheLastAnswerAreAnswered(t *testing.T) {
	for name, turn := range map[string]func(*rig){
		"stop": func(rg *rig) {
			rg.signals <- syscall.SIGTERM
			rg.until("answers are the last", func() bool { return rg.server.lifecycle.IsClosingWithin(lastAnswerWindow) })
		},
		"stop, before an endpoint that hangs": func(rg *rig) {
			rg.signals <- syscall.SIGTERM
			rg.until("its call is called off", func() bool { return rg.stats().Attempts == 0 })
		},
		"drain": func(rg *rig) {
			rg.server.Drain()
			rg.until("callers should be elsewhere", func() bool {
				_, away := rg.server.redirectAnswer()
				return away
			})
		},
	} {
		came, serve := make(chan bool, 3), make(chan bool)
		rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {
			came <- true
			<-serve
		}))
		rg.server.shutdownTimeout, rg.server.drainGrace = time.Second, 50*time.Millisecond
		var all bytes.Buffer
		for range 3 {
			rg.request("once", 9*time.Second).Write(&all)
		}
		c := rg.dial()
		c.Write(all.Bytes())
		<-came
		turn(rg)
		close(serve)
		r := bufio.NewReader(c)
		for i := range 3 {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Errorf("%s: answer %d: %v", name, i, err)
				break
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close != (i == 2) {
				t.Errorf("%s: answer %d: %v, the last %v", name, i, err, res.Close)
			}
		}
	}
}
