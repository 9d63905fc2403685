package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"dykering/internal/config"
)

// New connections that send nothing are evicted before idle ones, and are closed within the timeout.
func TestSilentNewConnectionsAreEvictedFirst(t *testing.T) {
	rg := start(t, config.LeastSockets, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	http.DefaultClient.CloseIdleConnections()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c
	}
	activeConn := dial()
	reader := bufio.NewReader(activeConn)
	exchange := func() {
		t.Helper()
		rg.request("once", 9*time.Second).Write(activeConn)
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("the active client got %v, %v", res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
	exchange()
	var silentConns []net.Conn
	for range 5 * rg.server.clients.limit {
		silentConns = append(silentConns, dial())
	}
	exchange()
	if status, _ := rg.roundTrip(rg.request("once", 9*time.Second)); status != 200 {
		t.Errorf("a new client got %d", status)
	}
	for i, c := range silentConns {
		if got, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("silent connection %d got %q, %v, want a close", i, got, err)
		}
	}
}

// A request that is not received completely within the timeout gets an error or a close, at whatever
// byte it stops.
func TestSlowRequestsTimeOut(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { t.Error("request was forwarded") }))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	finished := make(chan bool)
	texts := []string{"", "POST", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nabc"}
	began := time.Now()
	for _, text := range texts {
		go func() {
			if status, _ := rg.sendRaw(text); status > 0 && status < 400 {
				t.Errorf("%.80q: got status %d, want an error or a close", text, status)
			}
			finished <- true
		}()
	}
	for range texts {
		<-finished
	}
	if took := time.Since(began); took > headTimeout+testTimeout/4 {
		t.Errorf("requests timed out after %v, want about %v", took, headTimeout)
	}
}

// The server still accepts at the limit of connections: the one that has been idle longest is evicted.
func TestLongestIdleConnectionIsEvictedAtTheLimit(t *testing.T) {
	rg := start(t, config.LeastSockets, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	var first net.Conn
	for i := range 3 * rg.server.clients.limit {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i == 0 {
			first = c
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		rg.request("once", 5*time.Second).Write(c)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: %v %v", i, res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
	first.SetDeadline(time.Now().Add(testTimeout))
	if n, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("first connection: %d bytes, %v, want a close", n, err)
	}
	rg.until("the number of open connections is within the limit", func() bool {
		rg.server.clients.mu.Lock()
		defer rg.server.clients.mu.Unlock()
		return rg.server.clients.open <= rg.server.clients.limit
	})
}

// A client that keeps its connection open after the last answer takes no capacity from others.
func TestLingeringConnectionsAreEvictedAtTheLimit(t *testing.T) {
	rg := start(t, config.LeastSockets, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	http.DefaultClient.CloseIdleConnections()
	rg.until("no connection is open", func() bool { return rg.server.clients.emptyFor(0) })
	for range rg.server.clients.limit {
		c := rg.dial()
		io.WriteString(c, "no request\r\n\r\n")
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !res.Close {
			t.Fatalf("%+v, %v", res, err)
		}
	}
	for i := range rg.server.clients.limit {
		if res := rg.sendOnce("once"); res == nil || res.StatusCode != http.StatusOK {
			t.Fatalf("call %d: %+v", i, res)
		}
	}
}

// A connection whose next request has been read together with the previous one, by this process or
// its predecessor, must not be evicted or closed between the two. The request cannot be detected at
// the socket, so it would be lost.
func TestConnectionWithPipelinedRequestIsNotEvicted(t *testing.T) {
	near, _ := tcpPair(t)
	tracker := &connTracker{limit: 1}
	conn := &downstreamConn{Conn: near.Conn, tracker: tracker, readAhead: []byte("GET ")}
	if !tracker.adopt(conn) || tracker.evictOne(time.Now()) {
		t.Error("connection with input from the predecessor was not adopted, or was evicted")
	}
	conn.readAhead = nil
	r := bufio.NewReader(strings.NewReader("GET /"))
	r.Peek(1)
	conn.finishRequest(r)
	if tracker.evictOne(time.Now()) {
		t.Error("connection with a request in its reader was evicted")
	}
	tracker.closeInStates(stateNew, stateIdle)
	if conn.finishRequest(nil); tracker.open != 1 || !tracker.evictOne(time.Now()) {
		t.Errorf("idle connection was not evicted, or closed earlier; %d connections are open", tracker.open)
	}
}

// When all connections are busy, the next client's request is rejected with an answer. A close of the
// connection would leave the client without knowing that the request was not executed.
func TestClientBeyondTheLimitIsRejectedWithAnAnswer(t *testing.T) {
	respond := make(chan bool)
	rg := start(t, config.LeastSockets, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		<-respond
		fmt.Fprint(w, "ok")
	}))
	rg.server.clients.mu.Lock()
	rg.server.clients.limit = 2 // as if the machine were that small
	rg.server.clients.mu.Unlock()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		rg.request("once", 9*time.Second).Write(c)
		return c
	}
	status := func(c net.Conn) int {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	var admitted []net.Conn
	for i := range 2 {
		c := dial()
		defer c.Close()
		admitted = append(admitted, c)
		rg.until("the request is in progress", func() bool { return rg.stats().Calls == i+1 })
	}
	extra := dial()
	defer extra.Close()
	if got := status(extra); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	close(respond)
	for _, c := range admitted {
		if got := status(c); got != http.StatusOK {
			t.Errorf("an admitted request got %d", got)
		}
	}
}

// The write of a complete answer to a client that does not read ends after the write timeout.
func TestAnswerThatClientDoesNotReadTimesOut(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	w := &reply{client: &downstreamConn{Conn: near, tracker: &connTracker{}}, keepAlive: true, writeTimeout: minWriteTimeout}
	began := time.Now()
	if w.complete(http.StatusOK, http.Header{}, []byte("ok")) {
		t.Error("the answer was written to a client that does not read")
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("the write took %v, want about %v", took, minWriteTimeout)
	}
}
