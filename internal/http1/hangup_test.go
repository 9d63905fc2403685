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

// A client that half-closes its connection counts as gone; an empty 200 would be an answer that no
// endpoint gave.
func TestHalfClosedClientGetsNoAnswer(t *testing.T) {
	came := make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(came)
		awaitCancel(r)
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	rg.request("once", 9*time.Second).Write(c)
	<-came
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("answered %q", got)
	}
}

// A client may hang up behind bytes that nobody has read: its call is cancelled nevertheless, and
// the bytes behind its request go nowhere.
func TestHangupBehindUnreadBytesCancelsTheCall(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		came, left := make(chan string, 2), make(chan bool, 2)
		rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
			came <- r.Header.Get("X-Txn")
			awaitCancel(r)
			left <- true
		}))
		c := rg.dial()
		first := rg.request("once", 9*time.Second)
		first.Write(c)
		if id := <-came; id != first.Header.Get("X-Txn") {
			t.Fatal(id)
		}
		rg.request("once", 9*time.Second).Write(c)
		leave(c)
		begun := time.Now()
		<-left
		if took := time.Since(begun); took > 3*time.Second { // far from the end of its time
			t.Errorf("%s: called off after %v", name, took)
		}
		rg.awaitNothingBuffered()
		if len(came) > 0 {
			t.Errorf("%s: %s came to an endpoint too", name, <-came)
		}
	}
}

// heldDials is a network that holds the next connection to an address back until it is let go.
// Discovery dials on the same network: a connection of its own must not be taken for the one that
// the test waits for.
type heldDials struct {
	Kernel
	address     string
	made, letGo chan bool
}

func (n heldDials) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	c, err := n.Kernel.Dial(ctx, address, within)
	if address != n.address {
		return c, err
	}
	select {
	case n.made <- true:
		<-n.letGo
	default:
	}
	return c, err
}

// A client that hangs up while the connection for its request is dialed has nothing sent for it,
// also where the event loop is busy and has not received the hang-up: the loop is held until the
// endpoint has read what there is to read.
func TestHangupWhileLoopIsBusySendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := heldDials{address: l.Addr().String(), made: make(chan bool, 1), letGo: make(chan bool)}
	rg := startOn(t, n, 1, 1024, func(*config.Config) {}, target{UID: "s-1", Address: l.Addr().String(), State: "Ready", Weight: 1})
	c := rg.dial()
	rg.request("once", 9*time.Second).Write(c)
	<-n.made
	on := make(chan bool)
	rg.server.loop.Post(func() { <-on })
	c.Close()
	rg.until("its client's end is here", func() bool {
		rg.server.clients.mu.Lock()
		defer rg.server.clients.mu.Unlock()
		at := rg.server.clients.byState[stateServing].Front()
		return at == nil || at.Value.(*downstreamConn).hasHungUp()
	})
	close(n.letGo)
	e, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	e.SetDeadline(time.Now().Add(testTimeout))
	var b [1]byte
	if got, err := e.Read(b[:]); got > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("its endpoint got a request (%v): its client had gone", err)
	}
	close(on)
	rg.awaitNothingBuffered()
}

// The endpoint and the balancer must notice that nobody waits any more.
func TestClientHangupCancelsTheAttempt(t *testing.T) {
	came, ended := make(chan bool), make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(_ http.ResponseWriter, r *http.Request) {
		close(came)
		awaitCancel(r)
		close(ended)
	}))
	c, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	rg.request("once", 9*time.Second).Write(c)
	<-came
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt is still out")
	}
	rg.until("the request is forgotten", func() bool {
		s := rg.stats()
		return s.Calls+s.Conns == 0
	})
}

// A client that hangs up during a relay ends it, and nothing of it stays allocated.
func TestClientHangupDuringRelayEndsIt(t *testing.T) {
	gaveUp := make(chan bool)
	rg := start(t, 1024, endpointServing(t, "s-1", func(w http.ResponseWriter, _ *http.Request) {
		for piece := checkableBody(1 << 16); ; {
			if _, err := w.Write(piece); err != nil {
				close(gaveUp)
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
	<-gaveUp
	rg.awaitNothingBuffered()
}
