package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// newTestAttempt returns an attempt at an endpoint that is open or closed for new requests. The call
// ends after deadline, and the attempt after timeout unless that is 0.
func newTestAttempt(in forwardedRequest, address string, open bool, deadline, timeout time.Duration) *attempt {
	e := core.NewEndpoint(1, address)
	if !open {
		e.Close()
	}
	c := core.NewCall(decision.Request{}, &in)
	c.Deadline = time.Now().Add(deadline)
	a := newAttempt(core.NewAttempt(c, e, timeout, discardingObserver{}), Kernel{})
	a.maxBody = 4 * maxBufferedBody
	return a
}

// runAttempt makes an attempt over the given connection, or dials the address if the connection is
// nil. It calls during, if not nil, in another goroutine.
func runAttempt(address string, open bool, c net.Conn, timeout time.Duration, during func(*attempt)) result {
	a := newTestAttempt(forwardedRequest{method: http.MethodPost, target: "/api", host: "h", header: http.Header{}, body: []byte("trip")},
		address, open, testTimeout, timeout)
	defer a.Close()
	if during != nil {
		go during(a)
	}
	if c == nil {
		return a.run(nil, testTimeout, ampleMemory())
	}
	return a.exchangeOver(newUpstreamConn(c, a.Endpoint), ampleMemory())
}

// ampleMemory returns more memory for bodies than a test uses.
func ampleMemory() *core.Memory { return memoryOf(1 << 30) }

// memoryOf returns memory for n bytes of bodies.
func memoryOf(n int) *core.Memory {
	m := &core.Memory{Buffers: core.NewBuffers(0)}
	m.Bodies.Release(n)
	return m
}

// discardingObserver is an observer that reads a streamed response to its end and ignores other
// events.
type discardingObserver struct{}

func (discardingObserver) RequestSent(*core.Attempt) {}

func (discardingObserver) StartResponse(_ *core.Attempt, got core.Response) {
	r := got.(*response)
	go func() {
		rest, err := io.ReadAll(r.rest.body)
		r.body = append(r.body, rest...)
		r.rest.done <- err
	}()
}

// pipe returns the near end of an unbuffered connection, and runs serve on the other end.
func pipe(t *testing.T, serve func(net.Conn)) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	done := make(chan bool)
	go func() {
		serve(far)
		close(done)
	}()
	t.Cleanup(func() {
		near.Close()
		far.Close()
		<-done
	})
	return near
}

// readRequestFrom reads a complete request from a connection.
func readRequestFrom(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		io.Copy(io.Discard, r.Body)
	}
}

// tcpPair returns the two ends of a loopback connection.
func tcpPair(t *testing.T) (*upstreamConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return newUpstreamConn(near, core.NewEndpoint(1, "")), far
}
