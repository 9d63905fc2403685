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

// attemptAt makes an attempt to be made at an endpoint.
func attemptAt(in forwardedRequest, address string, open bool, lasts, timeout time.Duration) *attempt {
	e := core.NewEndpoint(1, address)
	if !open {
		e.Close()
	}
	c := core.NewCall(decision.Request{}, &in)
	c.Deadline = time.Now().Add(lasts)
	a := newAttempt(core.NewAttempt(c, e, timeout, aside{}), Kernel{})
	a.maxBody = 4 * maxBufferedBody
	return a
}

// tryOut makes an attempt at an endpoint, on a connection of the test's if there is one.
func tryOut(address string, open bool, c net.Conn, timeout time.Duration, during func(*attempt)) result {
	a := attemptAt(forwardedRequest{method: http.MethodPost, target: "/api", host: "h", header: http.Header{}, body: []byte("trip")},
		address, open, patience, timeout)
	defer a.Close()
	if during != nil {
		go during(a)
	}
	if c == nil {
		return a.run(nil, patience, roomy())
	}
	return a.exchangeOver(newUpstreamConn(c, a.Endpoint), roomy())
}

// roomy is memory for bodies that is not used up.
func roomy() *core.Memory { return roomFor(1 << 30) }

// roomFor is memory for so many bytes of bodies.
func roomFor(n int) *core.Memory {
	m := &core.Memory{Buffers: core.NewBuffers(0)}
	m.Bodies.Release(n)
	return m
}

// aside is a sidecar that reads what is passed on and tells nobody.
type aside struct{}

func (aside) RequestSent(*core.Attempt) {}

func (aside) StartResponse(_ *core.Attempt, got core.Response) {
	r := got.(*response)
	go func() {
		rest, err := io.ReadAll(r.rest.body)
		r.body = append(r.body, rest...)
		r.rest.done <- err
	}()
}

// pipe plays the endpoint's side of a connection, byte by byte.
func pipe(t *testing.T, play func(net.Conn)) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	done := make(chan bool)
	go func() {
		play(far)
		close(done)
	}()
	t.Cleanup(func() {
		near.Close()
		far.Close()
		<-done
	})
	return near
}

func takeRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		io.Copy(io.Discard, r.Body)
	}
}

// tcpPair is two ends of a loopback connection.
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
