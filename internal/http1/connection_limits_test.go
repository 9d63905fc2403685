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

// New connections that send nothing are evicted before idle ones, and are closed in time.
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
	usual := dial()
	reader := bufio.NewReader(usual)
	ask := func() {
		t.Helper()
		rg.request("once", 9*time.Second).Write(usual)
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("the usual client got %v, %v", res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
	ask()
	var crowd []net.Conn
	for range 5 * rg.server.clients.limit {
		crowd = append(crowd, dial())
	}
	ask()
	if status, _ := rg.ask(rg.request("once", 9*time.Second)); status != 200 {
		t.Errorf("a new client got %d", status)
	}
	for i, c := range crowd {
		if got, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("mute connection %d got %q, %v", i, got, err)
		}
	}
}

// A request that is not received completely in time gets an error or a close, wherever it is cut.
func TestSlowRequestsTimeOut(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { t.Error("it was passed on") }))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	ended := make(chan bool)
	texts := []string{"", "POST", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nabc"}
	began := time.Now()
	for _, text := range texts {
		go func() {
			if status, _ := rg.raw(text); status > 0 && status < 400 {
				t.Errorf("%.80q: got %d", text, status)
			}
			ended <- true
		}()
	}
	for range texts {
		<-ended
	}
	if took := time.Since(began); took > headTimeout+testTimeout/4 {
		t.Errorf("took %v", took)
	}
}

// Accepting goes on at the limit of connections: the one that has been idle longest is evicted.
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
		t.Errorf("the first connection: %d bytes, %v", n, err)
	}
	rg.until("open connections are within their share", func() bool {
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
		if res := rg.once("once"); res == nil || res.StatusCode != http.StatusOK {
			t.Fatalf("call %d: %+v", i, res)
		}
	}
}

// A connection whose next request has been read together with the last, by this process or its
// predecessor, is not evicted or closed between the two: nothing of the request shows at its
// socket.
func TestConnectionWithPipelinedRequestIsNotEvicted(t *testing.T) {
	near, _ := tcpPair(t)
	cs := &connTracker{limit: 1}
	adopted := &downstreamConn{Conn: near.Conn, tracker: cs, readAhead: []byte("GET ")}
	if !cs.adopt(adopted) || cs.evictOne(time.Now()) {
		t.Error("an adopted one")
	}
	adopted.readAhead = nil
	r := bufio.NewReader(strings.NewReader("GET /"))
	r.Peek(1)
	adopted.finishRequest(r)
	if cs.evictOne(time.Now()) {
		t.Error("one with a request in its reader")
	}
	cs.closeInStates(stateNew, stateIdle)
	if adopted.finishRequest(nil); cs.open != 1 || !cs.evictOne(time.Now()) {
		t.Error("an idle one is to make room")
	}
}

// When all connections are busy, the next client gets an answer nevertheless: to close its
// connection would lose its request. Nothing of it was executed, so it is rejected.
func TestClientBeyondTheLimitIsRejectedWithAnAnswer(t *testing.T) {
	serve := make(chan bool)
	rg := start(t, config.LeastSockets, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		<-serve
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
	var taken []net.Conn
	for i := range 2 {
		c := dial()
		defer c.Close()
		taken = append(taken, c)
		rg.until("it is taken", func() bool { return rg.stats().Calls == i+1 })
	}
	extra := dial()
	defer extra.Close()
	if got := status(extra); got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
	close(serve)
	for _, c := range taken {
		if got := status(c); got != http.StatusOK {
			t.Errorf("a request that was taken got %d", got)
		}
	}
}

// A complete answer waits for a client that reads nothing no longer than the client would have
// waited for it.
func TestAnswerThatClientDoesNotReadTimesOut(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	w := &reply{client: &downstreamConn{Conn: near, tracker: &connTracker{}}, keepAlive: true, writeTimeout: minWriteTimeout}
	began := time.Now()
	if w.complete(http.StatusOK, http.Header{}, []byte("ok")) {
		t.Error("it was taken")
	}
	if took := time.Since(began); took > writeTimeout/2 {
		t.Errorf("waited for %v", took)
	}
}
