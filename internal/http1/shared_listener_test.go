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

// sharedSocket returns a listening socket, as the platform holds it, and a function that returns a new
// descriptor of it for a server to inherit.
func sharedSocket(t *testing.T) (l *net.TCPListener, descriptor func() *int) {
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
		// The server closes the descriptor that it inherits, so it gets its own copy.
		fd := dup(t, int(file.Fd()))
		return &fd
	}
}

// Another process that shares the listening socket has made it blocking, so that an accept of this
// process blocks. The shutdown must end in time nevertheless.
func TestShutdownEndsThoughAcceptBlocks(t *testing.T) {
	endpoint := endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) {})
	socket, descriptor := sharedSocket(t)
	rg := startWith(t, 1, 1024, func(c *config.Config) { c.Accept = descriptor() }, endpoint)
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), false) })
	if err != nil {
		t.Fatal(err)
	}
	c := rg.dial() // ends the accept in progress; the next one blocks
	rg.awaitAccepted(c)
	c.Close()
	http.DefaultClient.CloseIdleConnections()
	rg.beginShutdown()
	rg.awaitExit()
	rg.dial() // ends the blocking accept
}

// During a handover the old process answers its requests, closes its connections and exits. The
// successor serves new connections, and no connection in the backlog is lost.
func TestRequestsDuringHandoverAreAnswered(t *testing.T) {
	arrived, respond := make(chan string), make(chan bool)
	endpoint := endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("X-Txn")
		<-respond
		fmt.Fprint(w, "ok")
	})
	socket, descriptor := sharedSocket(t)
	accept := func(c *config.Config) { c.Accept = descriptor() }
	old := startWith(t, 1, 1024, accept, endpoint)
	old.server.handoverGrace = 4 * time.Second // for slow machines
	old.server.shutdownTimeout = time.Minute
	idleConns := old.openIdleConns(3)
	answer := make(chan *http.Response)
	exchange := func(rg *rig, c *net.TCPConn) { answer <- rg.send(c, rg.request("once", 9*time.Second)) }
	go exchange(old, idleConns[0])
	<-arrived

	successor := startWith(t, 1, 1024, accept, endpoint)
	successor.txn.Store(1000)
	old.beginShutdown()
	go exchange(old, idleConns[1]) // a request on an open connection is still served
	<-arrived
	close(respond)
	for range 2 {
		if res := <-answer; res == nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("from the old process: %+v", res)
		}
	}
	idleConns[2].SetDeadline(time.Now().Add(testTimeout))
	if n, err := idleConns[2].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: %d bytes, %v", n, err)
	}
	old.awaitExit()
	for range 5 {
		go func() { <-arrived }()
		if res := successor.sendOnce("once"); res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("from the successor: %+v", res)
		}
	}
	successor.beginShutdown()
	successor.awaitExit()
	c, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatalf("the platform's socket was closed with the processes: %v", err)
	}
	c.Close()
}

// A process without a list of endpoints leaves new connections to its predecessor. After
// firstListTimeout it accepts them, because there may be no other process, and rejects requests until
// it has a list.
func TestServerAcceptsOnlyAfterFirstListOrTimeout(t *testing.T) {
	endpoint := endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	_, descriptor := sharedSocket(t)
	accept := func(c *config.Config) { c.Accept = descriptor() }
	old := startWith(t, 1, 1024, accept, endpoint)
	successor := startWith(t, 1, 1024, accept) // the predecessor answers its /ready check
	for range 50 {
		if res := old.sendOnce("once"); res.StatusCode != http.StatusOK {
			t.Fatalf("with a successor that has no list: %+v", res)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	old.beginShutdown()
	old.awaitExit()
	successor.txn.Store(1000)
	began := time.Now()
	if res := successor.sendOnce("once"); res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" ||
		time.Since(began) > firstListTimeout+2*time.Second {
		t.Errorf("only process, without a list: after %v: %+v", time.Since(began), res)
	}
	line, _ := json.Marshal(endpointList{Rev: 2, Full: true, Targets: []target{endpoint}})
	successor.lists <- string(line)
	successor.until("the server can serve", successor.server.CanServe)
	if res := successor.sendOnce("once"); res.StatusCode != http.StatusOK {
		t.Errorf("with a list: %+v", res)
	}
}

// An upload whose last byte is received after the grace of a drain is read to its end and rejected.
// The endpoint does not get the last byte, so the request is not executed. The connection ends.
func TestUploadEndingAfterGraceIsRejected(t *testing.T) {
	body := checkableBody(300000)
	began, complete := make(chan bool, 1), make(chan bool, 1)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		began <- true
		_, err := io.ReadAll(r.Body)
		complete <- err == nil
	}))
	rg.server.drainGrace = time.Millisecond
	for _, framing := range []string{"Content-Length: 300000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n493e0\r\n"} {
		c := rg.dial()
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %d\r\nX-Lane: once\r\nX-Remaining: 9000m\r\n%s", len(framing), framing)
		c.Write(body[:200000])
		<-began
		rg.server.Drain()
		rg.until("the grace of the drain has passed", func() bool {
			_, graceOver := rg.server.redirectAnswer()
			return graceOver
		})
		c.Write(body[200000:])
		if strings.HasPrefix(framing, "T") {
			io.WriteString(c, "\r\n0\r\n\r\n")
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
			t.Errorf("answer %+v, %v", res, err)
		}
		if <-complete {
			t.Error("the endpoint got the complete upload")
		}
		rg.server.Resume()
	}
	rg.awaitNothingBuffered()
}

// dup returns a copy of a descriptor.
func dup(t *testing.T, fd int) int {
	t.Helper()
	n, err := syscall.Dup(fd)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
