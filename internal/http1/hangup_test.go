package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"dykering/internal/config"
)

// A client that half-closes its connection is treated as gone and gets no answer.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	arrived := make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		awaitCancel(r)
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	rg.request("once", 9*time.Second).Write(c)
	<-arrived
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("answered %q", got)
	}
}

// A client hangs up after it has sent a second request that is still unread. The first call must be
// cancelled, and the second request must not be forwarded.
func TestHangupBehindUnreadBytesCancelsTheCall(t *testing.T) {
	for name, hangUp := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		arrived, cancelled := make(chan string, 2), make(chan bool, 2)
		rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
			arrived <- r.Header.Get("X-Txn")
			awaitCancel(r)
			cancelled <- true
		}))
		c := rg.dial()
		first := rg.request("once", 9*time.Second)
		first.Write(c)
		if id := <-arrived; id != first.Header.Get("X-Txn") {
			t.Fatal(id)
		}
		rg.request("once", 9*time.Second).Write(c)
		hangUp(c)
		hungUpAt := time.Now()
		<-cancelled
		if took := time.Since(hungUpAt); took > 3*time.Second { // well before the request's deadline
			t.Errorf("%s: attempt cancelled after %v", name, took)
		}
		rg.awaitNothingBuffered()
		if len(arrived) > 0 {
			t.Errorf("%s: request %s was forwarded too", name, <-arrived)
		}
	}
}

// heldDials is a network on which the next dial of an address returns only when the test releases it.
// Dials of other addresses are not held, because discovery uses the same network.
type heldDials struct {
	Kernel
	address         string
	dialed, release chan bool
}

func (n heldDials) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	c, err := n.Kernel.Dial(ctx, address, timeout)
	if address != n.address {
		return c, err
	}
	select {
	case n.dialed <- true:
		<-n.release
	default:
	}
	return c, err
}

// A client hangs up while the endpoint's connection is dialed. Its request must not be sent, even if
// the event loop is busy and has not processed the hang-up. The test blocks the loop until the
// endpoint has read to the end of its connection.
func TestHangupWhileLoopIsBusySendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	network := heldDials{address: l.Addr().String(), dialed: make(chan bool, 1), release: make(chan bool)}
	rg := startOn(t, network, 1, 1024, func(*config.Config) {}, target{UID: "s-1", Address: l.Addr().String(), State: "Ready", Weight: 1})
	c := rg.dial()
	rg.request("once", 9*time.Second).Write(c)
	<-network.dialed
	releaseLoop := make(chan bool)
	rg.server.loop.Post(func() { <-releaseLoop })
	c.Close()
	rg.until("the hang-up has been received", func() bool {
		rg.server.clients.mu.Lock()
		defer rg.server.clients.mu.Unlock()
		element := rg.server.clients.byState[stateServing].Front()
		return element == nil || element.Value.(*downstreamConn).hasHungUp()
	})
	close(network.release)
	endpointConn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer endpointConn.Close()
	endpointConn.SetDeadline(time.Now().Add(testTimeout))
	var b [1]byte
	if got, err := endpointConn.Read(b[:]); got > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the endpoint got a request (error %v) after its client had hung up", err)
	}
	close(releaseLoop)
	rg.awaitNothingBuffered()
}

// A client's hang-up must cancel the attempt at the endpoint and end the call in the core.
func TestClientHangupCancelsTheAttempt(t *testing.T) {
	arrived, cancelled := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		awaitCancel(r)
		close(cancelled)
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	rg.request("once", 9*time.Second).Write(c)
	<-arrived
	c.Close()
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt was not cancelled")
	}
	rg.until("no call and no connection is left", func() bool {
		s := rg.stats()
		return s.Calls+s.Conns == 0
	})
}

// A client that hangs up during a relay ends it, and nothing of it stays allocated.
func TestClientHangupDuringRelayEndsIt(t *testing.T) {
	aborted := make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		for piece := checkableBody(1 << 16); ; {
			if _, err := w.Write(piece); err != nil {
				close(aborted)
				return
			}
		}
	}))
	c := rg.dial()
	rg.request("once", 9*time.Second).Write(c)
	if _, err := io.ReadFull(c, make([]byte, 1<<20)); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatal(err)
	}
	c.SetLinger(0)
	c.Close()
	<-aborted
	rg.awaitNothingBuffered()
}
