package http1

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		remaining, ok := parseRemaining(r.Header.Get("X-Remaining"))
		if !ok || remaining <= 0 || remaining >= 5*time.Second {
			t.Errorf("X-Remaining %q", r.Header.Get("X-Remaining"))
		}
		fmt.Fprint(w, r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Txn"), " ", r.Header.Get("Idempotency-Key"), " ", string(body))
	}))
	status, body := rg.roundTrip(rg.request("book", 5*time.Second))
	if want := "POST /api?x=1&y=%2F txn1 k1 trip"; status != 200 || body != want {
		t.Errorf("got %d %q, want %q", status, body, want)
	}
	if status, body = rg.roundTrip(rg.request("read", 5*time.Second)); status != 200 || body != "GET /api?x=1&y=%2F txn2  " {
		t.Errorf("got %d %q", status, body)
	}
}

// A request whose length two parsers may read differently could smuggle another request in its body.
// Neither is forwarded, and the connection ends.
func TestRequestSmuggledInBodyIsNotForwarded(t *testing.T) {
	var forwarded atomic.Int64
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { forwarded.Add(1) }))
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: book\r\nX-Remaining: 900m\r\nIdempotency-Key: k\r\n"
	inner := fmt.Sprintf(head, "inner") + "Content-Length: 0\r\n\r\n"
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		"Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + inner,
		"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner,
		"Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + inner,
		"Content-Length: -1\r\n\r\n" + inner,
	} {
		status, c := rg.sendRaw(fmt.Sprintf(head, "outer") + framing)
		if status < 400 {
			t.Errorf("%.60q: answered %d", framing, status)
		}
		if rest, _ := io.ReadAll(c); strings.Contains(string(rest), "HTTP/1.1 ") {
			t.Errorf("%.60q: a second answer %q", framing, rest)
		}
	}
	if forwarded.Load() != 0 {
		t.Errorf("%d requests reached the endpoint", forwarded.Load())
	}
}

func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	var forwarded atomic.Int64
	rg := start(t, 1024, endpointServing(t, "s-1", func(http.ResponseWriter, *http.Request) { forwarded.Add(1) }))
	for name, c := range map[string]struct {
		spoil func(r *http.Request)
		want  int
	}{
		"unknown class":         {func(r *http.Request) { r.Header.Set("X-Lane", "freight") }, 400},
		"no class":              {func(r *http.Request) { r.Header.Del("X-Lane") }, 400},
		"no id":                 {func(r *http.Request) { r.Header.Del("X-Txn") }, 400},
		"no key":                {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no time":               {func(r *http.Request) { r.Header.Del("X-Remaining") }, 400},
		"no unit":               {func(r *http.Request) { r.Header.Set("X-Remaining", "480") }, 400},
		"not a number":          {func(r *http.Request) { r.Header.Set("X-Remaining", "NaNm") }, 400},
		"negative time":         {func(r *http.Request) { r.Header.Set("X-Remaining", "-5m") }, 400},
		"time with an exponent": {func(r *http.Request) { r.Header.Set("X-Remaining", "1e2m") }, 400},
		"time with a sign":      {func(r *http.Request) { r.Header.Set("X-Remaining", "+100m") }, 400},
		"two ids":               {func(r *http.Request) { r.Header.Add("X-Txn", "other") }, 400},
		"two classes":           {func(r *http.Request) { r.Header.Add("X-Lane", "once") }, 400},
		"two times":             {func(r *http.Request) { r.Header.Add("X-Remaining", "9m") }, 400},
		"long id":               {func(r *http.Request) { r.Header.Set("X-Txn", strings.Repeat("x", maxIDLength+1)) }, 400},
		"other method":          {func(r *http.Request) { r.Method = "PUT" }, 400},
		"other host":            {func(r *http.Request) { r.URL.Opaque = "http://other/api" }, 400},
		"boundless time":        {func(r *http.Request) { r.Header.Set("X-Remaining", "1e300m") }, 400},
	} {
		r := rg.request("book", 5*time.Second)
		c.spoil(r)
		if status, body := rg.roundTrip(r); status != c.want {
			t.Errorf("%s: got %d %q, want %d", name, status, body, c.want)
		}
	}
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\r\nX-Lane: once\r\nX-Remaining: 900m\r\n"
	for text, want := range map[string]int{
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxStreamedBody+1): 413,
		head + "Expect: miracles\r\nContent-Length: 1\r\n\r\nx":             417,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                   400,
		head + "X-Pad: " + strings.Repeat("x", maxHead) + "\r\n\r\n":        431,
		"POST /api HTTP/1.1\r\nX-Txn: a\r\n\r\n":                            400,
		"POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: a\x00\r\n\r\n":             400,
		"nonsense\r\n\r\n": 400,
	} {
		if status, _ := rg.sendRaw(text); status != want {
			t.Errorf("%.80q: got %d, want %d", text, status, want)
		}
	}
	if forwarded.Load() != 0 {
		t.Errorf("%d requests reached the endpoint", forwarded.Load())
	}
}

// Before the deadline, a request that a silent endpoint does not answer fails with 502, and one that
// was not sent to any endpoint is rejected with 503.
func TestAnswerIsWrittenBeforeTheDeadline(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	silent := endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) { awaitCancel(r) })
	draining := silent
	draining.State = "Terminating"
	for want, targets := range map[int][]target{502: {silent}, 503: {draining}} {
		rg := start(t, 1024, targets...)
		sent := time.Now()
		if status, body := rg.roundTrip(rg.request("once", timeout)); status != want {
			t.Errorf("got %d %q, want %d", status, body, want)
		}
		if took := time.Since(sent); took >= timeout {
			t.Errorf("answered %d after %v of %v", want, took, timeout)
		}
	}
}

// A connection that the endpoint has closed while it was idle is not used for another request.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	var conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	closed := make(chan bool, 8)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			conns.Add(1)
		case http.StateClosed:
			closed <- true
		}
	}
	s.Start()
	defer s.Close()
	rg := start(t, 1024, target{UID: "s-1", Address: s.Listener.Addr().String(), State: "Ready", Weight: 1})
	for range 3 {
		if status, _ := rg.roundTrip(rg.request("once", 5*time.Second)); status != 200 {
			t.Fatal(status)
		}
		rg.until("the connection is idle", func() bool { return rg.stats().IdleConns == 1 })
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for three consecutive requests, want 1", conns.Load())
	}
	s.CloseClientConnections()
	<-closed
	if status, body := rg.roundTrip(rg.request("once", 5*time.Second)); status != 200 || conns.Load() != 2 {
		t.Errorf("got %d %q on %d connections", status, body, conns.Load())
	}
}

// Once discovery reports that an endpoint drains, no new request goes there.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	count := func(n *atomic.Int64) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.Add(1)
			fmt.Fprint(w, "ok")
		}
	}
	var drainingCount, otherCount atomic.Int64
	draining, otherEndpoint := endpointServing(t, "s-1", count(&drainingCount)), endpointServing(t, "s-2", count(&otherCount))
	rg := start(t, 1024, draining, otherEndpoint)
	for drainingCount.Load() == 0 {
		rg.roundTrip(rg.request("once", 5*time.Second))
	}
	draining.State = "Terminating"
	line, _ := json.Marshal(endpointList{Rev: 2, Targets: []target{draining}})
	rg.lists <- string(line)
	rg.until("the list is applied", func() bool { return rg.stats().Revision == 2 })
	before := drainingCount.Load()
	for range 10 {
		rg.roundTrip(rg.request("once", 5*time.Second))
	}
	if drainingCount.Load() != before || otherCount.Load() == 0 {
		t.Errorf("%d requests went to the draining endpoint", drainingCount.Load()-before)
	}
	for _, e := range rg.stats().Endpoints {
		if e.Address == draining.Address && e.IdleConns > 0 {
			t.Error("idle connections to the draining endpoint are kept")
		}
	}
}

// A request with the id of another request that is in flight or has just ended fails and is not
// forwarded. An endpoint could execute it twice, or its error for the repeated id would count as a
// fault of the endpoint.
func TestRequestIDInUseIsRejected(t *testing.T) {
	arrived, respond := make(chan bool, 8), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		arrived <- true
		<-respond
		fmt.Fprint(w, "ok")
	}))
	first := rg.request("once", 9*time.Second)
	id := first.Header.Get("X-Txn")
	done := make(chan int)
	go func() {
		status, _ := rg.roundTrip(first)
		done <- status
	}()
	<-arrived
	sendSameID := func() int {
		r := rg.request("once", 9*time.Second)
		r.Header.Set("X-Txn", id)
		status, _ := rg.roundTrip(r)
		return status
	}
	if status := sendSameID(); status != http.StatusBadGateway {
		t.Errorf("got %d while the first request is in flight", status)
	}
	close(respond)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the first request got %d", status)
	}
	if status := sendSameID(); status != http.StatusBadGateway || len(arrived) > 0 {
		t.Errorf("got %d after the first request, with %d more requests at the endpoint", status, len(arrived))
	}
}

// Nothing stays allocated for endpoints, connections and requests that have ended.
func TestTablesAreEmptyAfterUse(t *testing.T) {
	rg := start(t, 1024, readyTarget("s-ffffffff", 0))
	sendList := func(rev uint64, all bool, targets ...target) {
		line, _ := json.Marshal(endpointList{Rev: rev, Full: all, Targets: targets})
		rg.lists <- string(line)
		rg.until("the list is applied", func() bool { return rg.stats().Revision == rev })
	}
	available := rg.server.memory.Bodies.Available()
	rev := uint64(1)
	for i := range 20 {
		endpoint := endpointServing(t, fmt.Sprintf("s-%08x", i), func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
		rev++
		sendList(rev, i%2 == 0, endpoint)
		if status, body := rg.roundTrip(rg.request("once", 9*time.Second)); status != 200 {
			t.Fatalf("got %d %q", status, body)
		}
		if rev++; i%4 < 2 {
			endpoint.State = "Gone"
			sendList(rev, false, endpoint)
		} else {
			sendList(rev, true)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	rg.until("all tables are empty", func() (done bool) {
		stats := rg.stats()
		done = len(stats.Endpoints)+stats.IdleConns+stats.Conns+stats.Calls == 0 && rg.server.memory.Bodies.Available() == available
		clients := &rg.server.clients
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for i := range clients.byState {
			done = done && clients.byState[i].Len() == 0
		}
		return done && clients.open == 0
	})
}
