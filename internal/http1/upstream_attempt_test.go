package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// An attempt's status says that the request was not executed only if its last byte was certainly not
// written, or if the endpoint says so. The connection is kept only if it can carry another request.
func TestAttemptIsUnsentOnlyBeforeItsLastByte(t *testing.T) {
	reply := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			readRequestFrom(c)
			io.WriteString(c, text)
			c.Close()
		}
	}
	for name, c := range map[string]struct {
		play func(net.Conn)
		want decision.Status
		keep bool
	}{
		"served": {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"served and closed": {
			reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"),
			decision.OK, false,
		},
		"served by HTTP/1.0": {reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, false},
		"served in chunks": {
			reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			decision.OK, true,
		},
		"after an interim response": {
			reply("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
			decision.OK, true,
		},
		"with a load report": {
			reply("HTTP/1.1 200 OK\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 2\r\n\r\nok"),
			decision.OK, true,
		},
		"with an invalid load report": {
			reply("HTTP/1.1 200 OK\r\nX-Pressure: queue\r\nContent-Length: 2\r\n\r\nok"),
			decision.OK, true,
		},
		"with a load report of NaN": {
			reply("HTTP/1.1 200 OK\r\nX-Pressure: queue=NaN\r\nContent-Length: 2\r\n\r\nok"),
			decision.OK, true,
		},
		"after the most interim responses": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"after too many interim responses": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational+1) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"followed by a copy": {
			reply(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2)),
			decision.OK, false,
		},
		"followed by other bytes": {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\x00\x01"), decision.OK, false},
		"body until close":        {reply("HTTP/1.1 200 OK\r\n\r\nok"), decision.OK, false},
		"two lengths": {
			reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noky"),
			decision.InvalidResponse, false,
		},
		"length and chunks": {
			reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			decision.InvalidResponse, false,
		},
		"negative length":     {reply("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), decision.InvalidResponse, false},
		"length is no number": {reply("HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok"), decision.InvalidResponse, false},
		"huge length": {
			reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"),
			decision.InvalidResponse, false,
		},
		"unknown coding": {
			reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"),
			decision.InvalidResponse, false,
		},
		"broken chunks": {
			reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"),
			decision.InvalidResponse, false,
		},
		"other version":         {reply("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"status is no number":   {reply("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"status of four digits": {reply("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"header without colon": {
			reply("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok"),
			decision.InvalidResponse, false,
		},
		"client error": {reply("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), decision.InvalidResponse, true},
		"rejected with invalid length": {
			reply("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 2x\r\n\r\n"),
			decision.InvalidResponse, false,
		},
		"server error": {reply("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), decision.Error, true},
		"rejected": {
			reply("HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"),
			decision.Rejected, true,
		},
		"503 without X-Turned-Away": {reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), decision.Error, true},
		"truncated body":            {reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Reset, false},
		"no answer":                 {reply(""), decision.Reset, false},
		"no HTTP response":          {reply("who is there\r\n\r\n"), decision.InvalidResponse, false},
		"longer than the bound": {
			reply(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4*maxBufferedBody+1)),
			decision.InvalidResponse, false,
		},
		"large, truncated": {reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nok"), decision.Reset, false},
		"large": {
			reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)),
			decision.OK, true,
		},
		"with trailers": {
			reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"),
			decision.OK, true,
		},
		"broken before the last byte": {func(c net.Conn) {
			c.Read(make([]byte, 10))
			c.Close()
		}, decision.ConnectFailed, false},
	} {
		res := runAttempt("", true, pipe(t, c.play), testTimeout, nil)
		if res.status != c.want || (res.conn != nil) != c.keep {
			t.Errorf("%s: status %v, connection kept %v, want %v and %v", name, res.status, res.conn != nil, c.want, c.keep)
		}
		if wantLoad := name == "with a load report"; (res.load != nil) != wantLoad || wantLoad && res.load.Queue != 2 {
			t.Errorf("%s: load %+v", name, res.load)
		}
		if c.want == decision.OK && name != "large" && string(res.response.body) != "ok" {
			t.Errorf("%s: body %q", name, res.response.body)
		}
	}
}

// An attempt at an endpoint that sends without end is aborted after a bounded number of bytes, long
// before its deadline.
func TestEndlessResponseIsAborted(t *testing.T) {
	for name, c := range map[string]struct{ first, then string }{
		"head":              {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppp\r\n"},
		"line":              {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppppppppp"},
		"status":            {"HTTP/1.1 200 O", "KKKKKKKKKKKKKKK"},
		"interim responses": {"", "HTTP/1.1 102 Wait\r\n\r\n"},
		"body":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"extension":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: pppppppppppppp\r\n"},
	} {
		var sent atomic.Int64
		near := pipe(t, func(far net.Conn) {
			readRequestFrom(far)
			io.WriteString(far, c.first)
			for {
				n, err := io.WriteString(far, c.then)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		if res := runAttempt("", true, near, testTimeout, nil); res.status != decision.InvalidResponse || res.conn != nil {
			t.Errorf("%s: status %v", name, res.status)
		}
		near.Close()
		if most := int64(8*maxBufferedBody + 2*maxResponseHead + 100); sent.Load() > most {
			t.Errorf("%s: %d bytes were read, want at most %d", name, sent.Load(), most)
		}
	}
}

// A response for which no memory can be reserved is streamed. Only the memory for the buffered part
// stays reserved.
func TestResponseIsStreamedWhenMemoryIsExhausted(t *testing.T) {
	answer := func(far net.Conn) {
		readRequestFrom(far)
		io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	exchange := func(b *core.Memory) result {
		a := newTestAttempt(forwardedRequest{method: "GET", target: "/", host: "h"}, "", true, testTimeout, 0)
		defer a.Close()
		return a.exchangeOver(newUpstreamConn(pipe(t, answer), a.Endpoint), b)
	}
	memory := memoryOf(1)
	if res := exchange(memory); res.status != decision.OK || memory.Bodies.Available() != 1-2 {
		t.Errorf("status %v, %d bytes left", res.status, memory.Bodies.Available())
	}
	memory = memoryOf(maxBufferedBody)
	if res := exchange(memory); res.status != decision.OK || memory.Bodies.Available() != maxBufferedBody-2 {
		t.Errorf("status %v, %d bytes left", res.status, memory.Bodies.Available())
	}
}

// A surplus response on an idle connection must not be returned for the next request.
func TestSurplusResponseIsNotServedToTheNextRequest(t *testing.T) {
	c, far := tcpPair(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		next, err := l.Accept()
		if err != nil {
			return
		}
		readRequestFrom(next)
		io.WriteString(next, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	}()
	io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	for end := time.Now().Add(testTimeout); c.Alive() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	a := newTestAttempt(forwardedRequest{method: "GET", target: "/", host: "h"}, l.Addr().String(), true, testTimeout, 0)
	defer a.Close()
	if res := a.run(c, testTimeout, ampleMemory()); res.status != decision.OK || string(res.response.body) != "new" {
		t.Errorf("status %v, response %+v", res.status, res.response)
	}
}

// After an endpoint has sent unsolicited bytes, after a response or on an idle connection, its
// connections are reused only after a longer delay. Surplus bytes that arrive some milliseconds late
// are then received before the next request is sent.
func TestEndpointThatSentSurplusGetsALongerReuseDelay(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	usualDelay := core.NewEndpoint(1, "").ReuseDelay()
	for name, sendSurplus := range map[string]func(*upstreamConn, net.Conn) *core.Endpoint{
		"behind a response": func(c *upstreamConn, far net.Conn) *core.Endpoint {
			io.WriteString(far, response+response)
			a := newTestAttempt(forwardedRequest{method: "GET", target: "/", host: "h"}, "", true, testTimeout, 0)
			defer a.Close()
			c.endpoint = a.Endpoint
			a.exchangeOver(c, ampleMemory())
			return a.Endpoint
		},
		"on an idle connection": func(c *upstreamConn, far net.Conn) *core.Endpoint {
			io.WriteString(far, "H")
			for end := time.Now().Add(testTimeout); c.Alive() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			return c.endpoint
		},
	} {
		c, far := tcpPair(t)
		e := sendSurplus(c, far)
		if e.ReuseDelay() < 5*usualDelay {
			t.Errorf("%s: reuse delay %v, want at least %v", name, e.ReuseDelay(), 5*usualDelay)
		}
		c, far = tcpPair(t)
		c.IdleSince = time.Now()
		var receivedAt time.Time
		done := make(chan bool)
		go func() {
			defer close(done)
			readRequestFrom(far)
			receivedAt = time.Now()
			io.WriteString(far, response)
		}()
		in := forwardedRequest{method: "GET", target: "/", host: "h"}
		call := core.NewCall(decision.Request{}, &in)
		call.Deadline = time.Now().Add(testTimeout)
		a := newAttempt(core.NewAttempt(call, e, 0, discardingObserver{}), Kernel{})
		if res := a.run(c, testTimeout, ampleMemory()); res.status != decision.OK {
			t.Errorf("%s: %v", name, res.status)
		}
		a.Close()
		<-done
		if delay := receivedAt.Sub(c.IdleSince); delay < 5*usualDelay {
			t.Errorf("%s: the next request was sent after %v, want at least %v", name, delay, 5*usualDelay)
		}
	}
}

// A cancelled attempt closes its connection before it returns its result.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		cancel  bool
		want    decision.Status
	}{
		"time-out": {100 * time.Millisecond, false, decision.Timeout},
		"cancel":   {testTimeout, true, decision.Cancelled},
	} {
		written := make(chan bool)
		near := pipe(t, func(far net.Conn) {
			readRequestFrom(far)
			close(written)
			if n, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("%s: endpoint got %d bytes, %v", name, n, err)
			}
		})
		res := runAttempt("", true, near, c.timeout, func(a *attempt) {
			<-written
			if c.cancel {
				a.Cancel()
			}
		})
		if res.status != c.want || res.conn != nil {
			t.Errorf("%s: status %v, conn %v", name, res.status, res.conn)
		}
		if _, err := near.Write([]byte("x")); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("%s: the connection is open: %v", name, err)
		}
	}
}

// resettingConn is a connection that its peer resets once the input that has been read ends with the
// trigger. Read returns only after the reset has been received.
type resettingConn struct {
	*net.TCPConn
	trigger string
	peer    *net.TCPConn
	got     []byte
}

func (c *resettingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.got = append(c.got, b[:n]...); n > 0 && strings.HasSuffix(string(c.got), c.trigger) {
		c.peer.SetLinger(0)
		c.peer.Close()
		raw, _ := c.SyscallConn()
		raw.Control(func(fd uintptr) {
			polled := []unix.PollFd{{Fd: int32(fd)}}
			unix.Poll(polled, int(testTimeout.Milliseconds())) // wait for the reset without clearing the pending error
		})
	}
	return n, err
}

// A response without a length ends with the end of its connection. A reset is not such an end: the
// response is incomplete.
func TestResetIsNotTheEndOfABody(t *testing.T) {
	for name, c := range map[string]struct{ text, trigger string }{
		"behind the body":         {"HTTP/1.1 200 OK\r\n\r\nok", "ok"},
		"behind the head":         {"HTTP/1.1 200 OK\r\n\r\n", "\r\n\r\n"},
		"behind an HTTP/1.0 body": {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"in an error response":    {"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nok", "ok"},
	} {
		near, far := tcpPair(t)
		io.WriteString(far, c.text)
		raw := &resettingConn{TCPConn: near.Conn.(*net.TCPConn), trigger: c.trigger, peer: far.(*net.TCPConn)}
		if res := runAttempt("", true, raw, testTimeout, nil); res.status != decision.Reset || res.conn != nil || res.response != nil {
			t.Errorf("%s: status %v, response %+v", name, res.status, res.response)
		}
	}
}

func TestAliveDetectsInputReceivedWhileIdle(t *testing.T) {
	c, far := tcpPair(t)
	if !c.Alive() {
		t.Fatal("a fresh connection is not alive")
	}
	io.WriteString(far, "HTTP/1.1 408 Request Timeout\r\n\r\n")
	for end := time.Now().Add(testTimeout); c.Alive(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection with unsolicited input is still alive")
		}
	}
}

// slowObserver is an observer whose RequestSent returns only once the attempt is cancelled, so that
// the sending goroutine reports the last byte late.
type slowObserver struct{ discardingObserver }

func (slowObserver) RequestSent(a *core.Attempt) { <-a.Ctx.Done() }

// The response to an upload may be received before the sending goroutine has reported the last byte.
// The request was executed then. An earlier version took such a response for one before the end of the
// request, and reported the request as not executed and safe to retry.
func TestResponseBeforeSenderReportsTheLastByteCounts(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); string(body) != "triptrip" {
			t.Errorf("%q, %v", body, err)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer endpoint.Close()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	rest := &requestBody{r: bufio.NewReader(strings.NewReader("trip")), length: 8, remaining: 4}
	in := forwardedRequest{
		method: http.MethodPost, target: "/api", host: "h", header: http.Header{"Content-Length": {"8"}}, body: []byte("trip"),
		upload: newUpload(&downstreamConn{Conn: near, tracker: &connTracker{}}, rest, func() bool { return false }),
	}
	c := core.NewCall(decision.Request{LongBody: true}, &in)
	c.Deadline, c.Remaining = time.Now().Add(testTimeout), testTimeout
	a := newAttempt(core.NewAttempt(c, core.NewEndpoint(1, endpoint.Listener.Addr().String()), 0, slowObserver{}), Kernel{})
	defer a.Close()
	if res := a.run(nil, testTimeout, ampleMemory()); res.status != decision.Error || !res.consumed {
		t.Errorf("status %v, consumed %v: want %v of an executed request", res.status, res.consumed, decision.Error)
	}
}

// If the client has gone before its request is sent, the idle connection is kept for the next request.
func TestAbandonedRequestReturnsItsConnection(t *testing.T) {
	near, far := tcpPair(t)
	checks := 0
	a := newTestAttempt(forwardedRequest{method: http.MethodGet, target: "/api", host: "h", clientHungUp: func() bool {
		checks++
		return true
	}}, "127.0.0.1:1", true, testTimeout, 0)
	defer a.Close()
	near.IdleSince = time.Now()
	if res := a.run(near, testTimeout, ampleMemory()); res.status != decision.NotSent || res.conn != near || checks != 1 {
		t.Errorf("status %v, connection kept %v, client checked %d times, want once", res.status, res.conn == near, checks)
	}
	near.Close()
	if got, err := io.ReadAll(far); len(got) > 0 || err != nil {
		t.Errorf("the endpoint got %q, %v", got, err)
	}
}

// While an upload is queued, its client hangs up after unread bytes. Nothing must be sent, and the
// goroutine that awaits the answer must get the error.
func TestUploadOfGoneClientIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, far := tcpPair(t)
	client := &downstreamConn{Conn: near.Conn, tracker: &connTracker{}}
	io.WriteString(far, "trip")
	far.Close()
	for end := time.Now().Add(testTimeout); !client.hasHungUp() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	u := newUpload(client, &requestBody{r: bufio.NewReader(near.Conn), length: 8, remaining: 4}, func() bool { return false })
	a := newTestAttempt(forwardedRequest{method: http.MethodPost, target: "/api", host: "h", body: []byte("trip"), upload: u},
		l.Addr().String(), true, testTimeout, 0)
	defer a.Close()
	if res := a.run(nil, testTimeout, ampleMemory()); res.status != decision.NotSent || res.consumed || res.conn != nil {
		t.Errorf("status %v, consumed %v, connection %v", res.status, res.consumed, res.conn)
	}
	if err := <-u.readFailed; !errors.Is(err, errClientGone) {
		t.Error(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
		t.Errorf("the endpoint got %q, %v", got, err)
	}
}
