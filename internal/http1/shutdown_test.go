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

// A stopping server continues to serve clients on their connections, because they may have no other
// instance. It accepts new connections, answers all requests, and exits when all clients have gone.
func TestShutdownServesOpenConnections(t *testing.T) {
	arrived, respond := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-respond
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod, rg.server.shutdownTimeout = time.Millisecond, time.Hour
	idleConns := rg.openIdleConns(5)
	answer := make(chan *http.Response)
	exchange := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go exchange(idleConns[0])
	<-arrived
	rg.beginShutdown()
	close(respond)
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK {
		t.Errorf("request in flight at the signal: answer %+v", res)
	}
	for range 3 {
		go exchange(idleConns[1])
		<-arrived
		if res := <-answer; res == nil || res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("on an open connection: answer %+v", res)
		}
	}
	newConn, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	go exchange(newConn.(*net.TCPConn))
	<-arrived
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK {
		t.Errorf("on a new connection: answer %+v", res)
	}
	newConn.Close()
	for _, c := range idleConns {
		c.Close()
	}
	rg.awaitExit()
}

// All requests that a stopping server has accepted are answered before it is killed. Requests that
// are still in flight at its end are cancelled, and the X-Remaining of a request after the signal is
// at most the time until that end.
func TestShutdownAnswersAllRequestsBeforeItsEnd(t *testing.T) {
	const timeout = 3 * time.Second
	arrived, cancelled := make(chan string, 2), make(chan bool, 2)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("X-Remaining")
		awaitCancel(r)
		cancelled <- true
	}))
	rg.server.shutdownTimeout = timeout
	idleConns := rg.openIdleConns(5)
	answer := make(chan *http.Response, 2)
	exchange := func(c *net.TCPConn) { answer <- rg.send(c, rg.request("once", time.Minute)) }
	go exchange(idleConns[0])
	<-arrived
	rg.beginShutdown()
	go exchange(idleConns[1])
	if remaining, ok := parseRemaining(<-arrived); !ok || remaining > timeout {
		t.Errorf("X-Remaining is %v, want at most %v", remaining, timeout)
	}
	for range 2 {
		// The endpoint is silent, so only the end of the server ends these requests.
		if res := <-answer; res == nil || res.StatusCode != http.StatusBadGateway || !res.Close {
			t.Errorf("answer %+v", res)
		}
		<-cancelled
	}
	if now, end := time.Now(), rg.server.lifecycle.Deadline(); now.Before(end) || now.After(end.Add(timeout)) {
		t.Errorf("requests were cancelled %v after the end of the server", now.Sub(end))
	}
	rg.awaitExit()
}

// Clients open no new connections to a stopping server. A client whose connections are all in use
// would have no instance to send a request to. So the only instance of a tier rejects requests with a
// Retry-After when few connections are idle.
func TestShutdownOfOnlyInstanceRejectsBeforeConnectionsRunOut(t *testing.T) {
	arrived := make(chan bool, 1)
	endpoint := endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Lane") == "read" {
			arrived <- true
			awaitCancel(r)
		}
	})
	for _, c := range []struct{ idles, instances, status int }{
		{2, 1, http.StatusServiceUnavailable}, {3, 1, http.StatusOK}, {0, 2, http.StatusOK},
	} {
		rg := startOneOf(t, c.instances, 1024, endpoint)
		rg.server.shutdownTimeout = time.Hour
		if status, _ := rg.roundTrip(rg.request("once", 9*time.Second)); status != http.StatusOK {
			t.Fatalf("before the stop: %d", status)
		}
		conns := rg.openIdleConns(2 + c.idles)
		go rg.send(conns[0], rg.request("read", 9*time.Second))
		<-arrived
		rg.beginShutdown()
		res := rg.send(conns[1], rg.request("once", 9*time.Second))
		if res == nil || res.StatusCode != c.status || (res.Header.Get("Retry-After") == "") != (c.status == 200) {
			t.Errorf("with %d idle and %d instances: %+v", c.idles, c.instances, res)
		}
	}
}

// If there are other instances, a stopping server redirects its clients to them while it answers the
// requests that it has accepted.
func TestShutdownRedirectsClientsToOtherInstances(t *testing.T) {
	arrived, respond := make(chan bool), make(chan bool)
	rg := startOneOf(t, 2, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-respond
		fmt.Fprint(w, "ok")
	}))
	rg.server.quietPeriod, rg.server.shutdownTimeout, rg.server.redirectLead = time.Millisecond, time.Hour, time.Hour
	idleConns := rg.openIdleConns(2)
	answer := make(chan *http.Response)
	go func() { answer <- rg.send(idleConns[0], rg.request("once", 9*time.Second)) }()
	<-arrived
	rg.beginShutdown()
	idleConns[1].SetDeadline(time.Now().Add(testTimeout))
	if _, err := idleConns[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %v", err)
	}
	close(respond)
	if res := <-answer; res == nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Errorf("answer %+v", res)
	}
	rg.awaitExit()
}

// Requests that are incomplete when the process ends are rejected. The connections end with a
// lingering close: an immediate close would turn later input into a reset, which discards the answer.
func TestShutdownRejectsIncompleteRequests(t *testing.T) {
	var forwarded atomic.Int64
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { forwarded.Add(1) }))
	rg.server.shutdownTimeout = 400 * time.Millisecond
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: book\r\nX-Remaining: 9000m\r\nIdempotency-Key: k\r\n"
	incomplete := map[string]string{
		"head": fmt.Sprintf(head, "a"), "body": fmt.Sprintf(head, "b") + "Content-Length: 8\r\n\r\ntrip",
		"chunks": fmt.Sprintf(head, "c") + "Transfer-Encoding: chunked\r\n\r\n4\r\ntrip\r\n",
	}
	conns := map[string]*net.TCPConn{}
	for name, text := range incomplete {
		conns[name] = rg.dial()
		io.WriteString(conns[name], text)
	}
	rg.until("all requests are being read", func() bool {
		rg.server.clients.mu.Lock()
		defer rg.server.clients.mu.Unlock()
		return rg.server.clients.byState[stateReading].Len() == len(incomplete)
	})
	rg.signals <- syscall.SIGTERM
	for name, c := range conns {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: %+v, %v", name, res, err)
			continue
		}
		io.WriteString(c, "input in flight") // the server discards it, so that it causes no reset
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		c.Close()
	}
	select {
	case err := <-rg.exited:
		if err != nil || forwarded.Load() > 0 {
			t.Errorf("the server exited with error %v; %d requests were forwarded", err, forwarded.Load())
		}
	case <-time.After(testTimeout):
		t.Errorf("the server did not exit within %v", testTimeout)
	}
}

// Pipelined requests are read together with a request whose answer would close the connection, at the
// end of the process or after the grace of a drain. They must be answered too: a close after the first
// answer would lose them.
func TestPipelinedRequestsBehindTheLastAnswerAreAnswered(t *testing.T) {
	for name, begin := range map[string]func(*rig){
		"stop": func(rg *rig) {
			rg.signals <- syscall.SIGTERM
			rg.until("answers close their connections", func() bool { return rg.server.lifecycle.IsClosingWithin(lastAnswerWindow) })
		},
		"stop with a silent endpoint": func(rg *rig) {
			rg.signals <- syscall.SIGTERM
			rg.until("the attempt is cancelled", func() bool { return rg.stats().Attempts == 0 })
		},
		"drain": func(rg *rig) {
			rg.server.Drain()
			rg.until("the grace of the drain has passed", func() bool {
				_, graceOver := rg.server.redirectAnswer()
				return graceOver
			})
		},
	} {
		arrived, respond := make(chan bool, 3), make(chan bool)
		rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {
			arrived <- true
			<-respond
		}))
		rg.server.shutdownTimeout, rg.server.drainGrace = time.Second, 50*time.Millisecond
		var requests bytes.Buffer
		for range 3 {
			rg.request("once", 9*time.Second).Write(&requests)
		}
		c := rg.dial()
		c.Write(requests.Bytes())
		<-arrived
		begin(rg)
		close(respond)
		r := bufio.NewReader(c)
		for i := range 3 {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Errorf("%s: answer %d: %v", name, i, err)
				break
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close != (i == 2) {
				t.Errorf("%s: answer %d: error %v, closes the connection: %v", name, i, err, res.Close)
			}
		}
	}
}
