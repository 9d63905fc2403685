package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"dykering/internal/decision"
)

// If the endpoint begins to drain while a connection is dialed, the connection is closed without
// sending anything.
func TestDrainWhileDialingSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if res := runAttempt(l.Addr().String(), false, nil, testTimeout, nil); res.status != decision.NotSent || res.conn != nil {
		t.Errorf("status %v, conn %v", res.status, res.conn)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
		t.Errorf("endpoint got %q, %v", got, err)
	}
}

// slowNetwork is a network on which dials succeed only after a given time, or never.
type slowNetwork struct {
	Kernel
	until time.Time
	never bool
}

func (n slowNetwork) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	if n.never {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := n.Kernel.Dial(ctx, address, testTimeout)
	time.Sleep(time.Until(n.until))
	return c, err
}

// A retry whose connection is established after the window in which the endpoint recognizes the retry
// is not written. It counts as not sent instead of as a failure of the endpoint.
func TestRetryWindowPassedWhileDialingSendsNothing(t *testing.T) {
	for name, never := range map[string]bool{"connected too late": false, "never connected": true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		a := newTestAttempt(forwardedRequest{method: "POST", target: "/", host: "h"}, l.Addr().String(), true, 2*testTimeout, 0)
		defer a.Close()
		a.SendBy = time.Now().Add(50 * time.Millisecond)
		a.network = slowNetwork{until: a.SendBy, never: never}
		if res := a.run(nil, testTimeout, ampleMemory()); res.status != decision.NotSent || res.conn != nil {
			t.Errorf("%s: status %v, conn %v", name, res.status, res.conn)
		}
		if never {
			continue
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); len(got) > 0 || err != nil {
			t.Errorf("%s: the endpoint got %q, %v", name, got, err)
		}
	}
}

// A dial of an unreachable machine gets no answer and ends with the connect timeout, or earlier with
// the request's deadline. The test uses a listener whose full backlog drops connection requests.
func TestSilentDialEndsAtConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	a := newTestAttempt(forwardedRequest{}, address, true, testTimeout, 0)
	defer a.Close()
	if res := a.run(nil, 100*time.Millisecond, ampleMemory()); res.status != decision.ConnectFailed {
		t.Errorf("status %v", res.status)
	}
	a = newTestAttempt(forwardedRequest{}, address, true, 100*time.Millisecond, 0)
	defer a.Close()
	if res := a.run(nil, testTimeout, ampleMemory()); res.status != decision.NotSent {
		t.Errorf("status %v at the request's deadline", res.status)
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if res := runAttempt(address, true, nil, testTimeout, nil); res.status != decision.ConnectFailed {
		t.Errorf("status %v", res.status)
	}
}
