package http1

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dykering/internal/config"
	"dykering/internal/lab/loopback"
)

// shared is a listening socket as the platform holds it, and further descriptors of it for processes to inherit.
func shared(t *testing.T) (l *net.TCPListener, descriptor func() *int) {
	t.Helper()
	l, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, func() *int {
		file, err := l.File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		// inherit closes the number that it is given: it must be nobody else's.
		fd := dup(t, int(file.Fd()))
		return &fd
	}
}

// A process ends in time though another one that shares its socket has made it blocking: its accept
// blocks then.
func TestShutdownEndsThoughAcceptBlocks(t *testing.T) {
	endpoint := endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {})
	socket, descriptor := shared(t)
	rg := startWith(t, 1, 1024, func(c *config.Config) { c.Accept = descriptor() }, endpoint)
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) })
	if err != nil {
		t.Fatal(err)
	}
	c := rg.dial() // wakes the accept, and the next one hangs
	rg.awaitAccepted(c)
	c.Close()
	http.DefaultClient.CloseIdleConnections()
	rg.beginShutdown()
	rg.awaitExit()
	rg.dial() // ends the accept
}

// The old process answers what it has, closes its connections and ends; the new one serves all the
// while, and no connection in the backlog is lost.
func TestRequestsDuringHandoverAreAnswered(t *testing.T) {
	came, serve := make(chan string), make(chan bool)
	endpoint := endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		came <- r.Header.Get("X-Txn")
		<-serve
		fmt.Fprint(w, "ok")
	})
	socket, descriptor := shared(t)
	accept := func(c *config.Config) { c.Accept = descriptor() }
	old := startWith(t, 1, 1024, accept, endpoint)
	old.server.handoverGrace = 4 * time.Second // for slow machines
	old.server.shutdownTimeout = time.Minute
	idles := old.connect(3)
	answer := make(chan *http.Response)
	ask := func(rg *rig, c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go ask(old, idles[0])
	<-came

	successor := startWith(t, 1, 1024, accept, endpoint)
	successor.txn.Store(1000)
	old.beginShutdown()
	go ask(old, idles[1]) // what still comes on a connection that stands is served
	<-came
	close(serve)
	for range 2 {
		if res := <-answer; res == nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("from the old process: %+v", res)
		}
	}
	idles[2].SetDeadline(time.Now().Add(testTimeout))
	if n, err := idles[2].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %d bytes, %v", n, err)
	}
	old.awaitExit()
	for range 5 {
		go func() { <-came }()
		if res := successor.once("once"); res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("from the successor: %+v", res)
		}
	}
	successor.beginShutdown()
	successor.awaitExit()
	c, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatalf("the platform's socket has ended with them: %v", err)
	}
	c.Close()
}

// A process without a list leaves new connections to its predecessor; when there is no other
// process it answers them itself, if only that it cannot serve.
func TestServerAcceptsOnlyAfterFirstListOrTimeout(t *testing.T) {
	endpoint := endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	_, descriptor := shared(t)
	accept := func(c *config.Config) { c.Accept = descriptor() }
	old := startWith(t, 1, 1024, accept, endpoint)
	heir := startWith(t, 1, 1024, accept) // its /ready is its predecessor's
	for range 50 {
		if res := old.once("once"); res.StatusCode != http.StatusOK {
			t.Fatalf("with a successor that has no list: %+v", res)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	old.beginShutdown()
	old.awaitExit()
	heir.txn.Store(1000)
	began := time.Now()
	if res := heir.once("once"); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" ||
		time.Since(began) > firstListTimeout+2*time.Second {
		t.Errorf("alone and without a list, after %v: %+v", time.Since(began), res)
	}
	line, _ := json.Marshal(endpointList{Rev: 2, Full: true, Targets: []target{endpoint}})
	heir.lists <- string(line)
	heir.until("it can serve", heir.server.CanServe)
	if res := heir.once("once"); res.StatusCode != http.StatusOK {
		t.Errorf("with a list: %+v", res)
	}
}

// An upload whose last byte is received after the grace of a handover is read to its end and
// rejected: it was not executed, and its connection ends.
func TestUploadEndingAfterGraceIsRejected(t *testing.T) {
	body := checkableBody(300000)
	began, whole := make(chan bool, 1), make(chan bool, 1)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		_, err := io.ReadAll(r.Body)
		whole <- err == nil
	}))
	rg.server.drainGrace = time.Millisecond
	for _, framing := range []string{"Content-Length: 300000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n493e0\r\n"} {
		c := rg.dial()
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n%s", len(framing), framing)
		c.Write(body[:200000])
		<-began
		rg.server.Drain()
		rg.until("nobody is asked to be here", func() bool {
			_, away := rg.server.redirectAnswer()
			return away
		})
		c.Write(body[200000:])
		if strings.HasPrefix(framing, "T") {
			io.WriteString(c, "\r\n0\r\n\r\n")
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
			t.Errorf("answer %+v, %v", res, err)
		}
		if <-whole {
			t.Error("the endpoint got it whole")
		}
		rg.server.Resume()
	}
	rg.awaitNothingBuffered()
}

// dup makes a further number for a descriptor.
func dup(t *testing.T, fd int) int {
	t.Helper()
	n, err := syscall.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
