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

// The outcome states that a request was not executed only when its last byte was certainly not
// written.
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
		"served":              {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"served, then closes": {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"), decision.OK, false},
		"served, old version": {reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, false},
		"served in chunks":    {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), decision.OK, true},
		"after information":   {reply("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"with a report":       {reply("HTTP/1.1 200 OK\r\nX-Pressure: inflight=7,queue=2\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"with a bad report":   {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"with an odd report":  {reply("HTTP/1.1 200 OK\r\nX-Pressure: queue=NaN\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"after many informations": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.OK, true},
		"after too many": {reply(strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", maxInformational+1) +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"and a copy":          {reply(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2)), decision.OK, false},
		"and noise":           {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\x00\x01"), decision.OK, false},
		"until closed":        {reply("HTTP/1.1 200 OK\r\n\r\nok"), decision.OK, false},
		"two lengths":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noky"), decision.InvalidResponse, false},
		"length and chunks":   {reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), decision.InvalidResponse, false},
		"negative length":     {reply("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), decision.InvalidResponse, false},
		"length no number":    {reply("HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok"), decision.InvalidResponse, false},
		"huge length":         {reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), decision.InvalidResponse, false},
		"unknown coding":      {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok"), decision.InvalidResponse, false},
		"broken chunks":       {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\n"), decision.InvalidResponse, false},
		"other version":       {reply("ICY 200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"status no number":    {reply("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"status long":         {reply("HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"no colon":            {reply("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok"), decision.InvalidResponse, false},
		"request at fault":    {reply("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"), decision.InvalidResponse, true},
		"turned away, spoilt": {reply("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 2x\r\n\r\n"), decision.InvalidResponse, false},
		"error":               {reply("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), decision.Error, true},
		"turned away":         {reply("HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), decision.Rejected, true},
		"no word of it":       {reply("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), decision.Error, true},
		"cut body":            {reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), decision.Reset, false},
		"no answer":           {reply(""), decision.Reset, false},
		"nonsense":            {reply("who is there\r\n\r\n"), decision.InvalidResponse, false},
		"beyond all bounds":   {reply(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4*maxBufferedBody+1)), decision.InvalidResponse, false},
		"large, cut short":    {reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\nok"), decision.Reset, false},
		"large":               {reply("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), decision.OK, true},
		"with trailers":       {reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n"), decision.OK, true},
		"broken before the last byte": {func(c net.Conn) {
			c.Read(make([]byte, 10))
			c.Close()
		}, decision.ConnectFailed, false},
	} {
		res := runAttempt("", true, pipe(t, c.play), testTimeout, nil)
		if res.status != c.want || (res.conn != nil) != c.keep {
			t.Errorf("%s: status %v, kept %v", name, res.status, res.conn != nil)
		}
		if wantLoad := name == "with a report"; (res.load != nil) != wantLoad || wantLoad && res.load.Queue != 2 {
			t.Errorf("%s: load %+v", name, res.load)
		}
		if c.want == decision.OK && name != "large" && string(res.response.body) != "ok" {
			t.Errorf("%s: body %q", name, res.response.body)
		}
	}
}

// An endpoint that sends without end is given up long before the attempt's deadline, and takes no
// memory.
func TestEndlessResponseIsAborted(t *testing.T) {
	for name, c := range map[string]struct{ first, then string }{
		"head":        {"HTTP/1.1 200 OK\r\n", "X-Pad: pppppppppppppppp\r\n"},
		"line":        {"HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppppppppppppppppp"},
		"status":      {"HTTP/1.1 200 O", "KKKKKKKKKKKKKKK"},
		"information": {"", "HTTP/1.1 102 Wait\r\n\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: pppppppppppppp\r\n"},
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
			t.Errorf("%s: %d bytes were taken", name, sent.Load())
		}
	}
}

// A response for which no memory can be reserved is streamed, and what was reserved is released.
func TestResponseIsStreamedWhenMemoryIsExhausted(t *testing.T) {
	answer := func(far net.Conn) {
		readRequestFrom(far)
		io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	try := func(b *core.Memory) result {
		a := newTestAttempt(forwardedRequest{method: "GET", target: "/", host: "h"}, "", true, testTimeout, 0)
		defer a.Close()
		return a.exchangeOver(newUpstreamConn(pipe(t, answer), a.Endpoint), b)
	}
	tight := memoryOf(1)
	if res := try(tight); res.status != decision.OK || tight.Bodies.Available() != 1-2 {
		t.Errorf("status %v, %d bytes left", res.status, tight.Bodies.Available())
	}
	tight = memoryOf(maxBufferedBody)
	if res := try(tight); res.status != decision.OK || tight.Bodies.Available() != maxBufferedBody-2 {
		t.Errorf("status %v, %d bytes left", res.status, tight.Bodies.Available())
	}
}

// What is received behind a response, however late, must not be served to the next request.
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

// An endpoint that was seen to send unsolicited bytes, behind a response or on an idle connection,
// gets a longer delay before its connections are reused: the next request waits until surplus that
// is some milliseconds late has been received.
func TestEndpointThatSentSurplusGetsALongerReuseDelay(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	plain := core.NewEndpoint(1, "").ReuseDelay()
	for name, see := range map[string]func(*upstreamConn, net.Conn) *core.Endpoint{
		"behind its answer": func(c *upstreamConn, far net.Conn) *core.Endpoint {
			io.WriteString(far, answer+answer)
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
		e := see(c, far)
		if e.ReuseDelay() < 5*plain {
			t.Errorf("%s: a connection rests %v, as to others", name, e.ReuseDelay())
		}
		c, far = tcpPair(t)
		c.IdleSince = time.Now()
		var came time.Time
		done := make(chan bool)
		go func() {
			defer close(done)
			readRequestFrom(far)
			came = time.Now()
			io.WriteString(far, answer)
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
		if rest := came.Sub(c.IdleSince); rest < 5*plain {
			t.Errorf("%s: the next request after %v", name, rest)
		}
	}
}

// A cancelled attempt has closed its connection by the time its outcome is reported.
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

// resettingConn is a connection that is reset as soon as what its peer wrote has been read up to a
// trigger, and before the reader looks at it again.
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
			unix.Poll(polled, int(testTimeout.Milliseconds())) // the reset is here, and nobody has been told of it
		})
	}
	return n, err
}

// A response without a length ends with its connection's end. A reset is none: what was received
// before it is not complete.
func TestResetIsNotTheEndOfABody(t *testing.T) {
	for name, c := range map[string]struct{ text, word string }{
		"behind the body":    {"HTTP/1.1 200 OK\r\n\r\nok", "ok"},
		"behind the head":    {"HTTP/1.1 200 OK\r\n\r\n", "\r\n\r\n"},
		"of an older server": {"HTTP/1.0 200 OK\r\n\r\nok", "ok"},
		"in a failure":       {"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nok", "ok"},
	} {
		near, far := tcpPair(t)
		io.WriteString(far, c.text)
		raw := &resettingConn{TCPConn: near.Conn.(*net.TCPConn), trigger: c.word, peer: far.(*net.TCPConn)}
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
			t.Fatal("an answer that nobody asked for goes unseen")
		}
	}
}

// slowObserver is the observer of an attempt that learns of an upload's last byte only once the attempt is
// cancelled.
type slowObserver struct{ discardingObserver }

func (slowObserver) RequestSent(a *core.Attempt) { <-a.Ctx.Done() }

// A response that is received before the sender of an upload has reported the last byte is that of
// an executed request. It was once taken for an early one, and the request for one that is harmless
// to repeat.
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
		t.Errorf("%v, spent %v: want an error of a request that ran", res.status, res.consumed)
	}
}

// A request whose client has gone leaves the connection that it was to be sent on to the next
// request.
func TestAbandonedRequestReturnsItsConnection(t *testing.T) {
	near, far := tcpPair(t)
	asked := 0
	a := newTestAttempt(forwardedRequest{method: http.MethodGet, target: "/api", host: "h", clientHungUp: func() bool {
		asked++
		return true
	}}, "127.0.0.1:1", true, testTimeout, 0)
	defer a.Close()
	near.IdleSince = time.Now()
	if res := a.run(near, testTimeout, ampleMemory()); res.status != decision.NotSent || res.conn != near || asked != 1 {
		t.Errorf("%v, its connection kept: %v, asked %d times", res.status, res.conn == near, asked)
	}
	near.Close()
	if got, err := io.ReadAll(far); len(got) > 0 || err != nil {
		t.Errorf("the endpoint got %q, %v", got, err)
	}
}

// A client whose upload is queued may have hung up behind bytes that nobody has read: nothing is
// sent then, and the goroutine that awaits the answer is told.
func TestUploadOfGoneClientIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, far := tcpPair(t)
	who := &downstreamConn{Conn: near.Conn, tracker: &connTracker{}}
	io.WriteString(far, "trip")
	far.Close()
	for end := time.Now().Add(testTimeout); !who.hasHungUp() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	u := newUpload(who, &requestBody{r: bufio.NewReader(near.Conn), length: 8, remaining: 4}, func() bool { return false })
	a := newTestAttempt(forwardedRequest{method: http.MethodPost, target: "/api", host: "h", body: []byte("trip"), upload: u}, l.Addr().String(),
		true, testTimeout, 0)
	defer a.Close()
	if res := a.run(nil, testTimeout, ampleMemory()); res.status != decision.NotSent || res.consumed || res.conn != nil {
		t.Errorf("%v, spent %v, conn %v", res.status, res.consumed, res.conn)
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
