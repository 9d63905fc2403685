package netem

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const address = "127.0.0.1:80"

// testNetwork is a network with a client process, a server process and the server's listening socket.
type testNetwork struct {
	*testing.T
	n      *Network
	caller *Process
	server *Process
	socket *Socket
	l      net.Listener
}

func (b *testNetwork) dial(within time.Duration) (net.Conn, error) {
	ctx, stop := context.WithTimeout(b.Context(), within)
	defer stop()
	return b.caller.Dial(ctx, "tcp", address)
}

// pair returns both ends of an established connection.
func (b *testNetwork) pair() (near, far *Conn) {
	b.Helper()
	c, err := b.dial(time.Minute)
	if err != nil {
		b.Fatal(err)
	}
	a, err := b.l.Accept()
	if err != nil {
		b.Fatal(err)
	}
	return c.(*Conn), a.(*Conn)
}

func (b *testNetwork) expectError(operation string, got, want error) {
	b.Helper()
	if !errors.Is(got, want) {
		b.Errorf("%s: error %v, want %v", operation, got, want)
	}
}

func (b *testNetwork) expectDuration(operation string, began time.Time, want time.Duration) {
	b.Helper()
	if got := time.Since(began); got != want {
		b.Errorf("%s took %v, want %v", operation, got, want)
	}
}

// Connections behave as TCP connections do, and each event happens at its exact virtual time.
func TestNetworkBehavesAsTCPToTheMoment(t *testing.T) {
	one := make([]byte, 1)
	for name, c := range map[string]struct {
		o    Options
		play func(*testNetwork)
	}{
		"latency and bandwidth": {Options{Latency: 10 * time.Millisecond, Bandwidth: 10000}, func(b *testNetwork) {
			near, far := b.pair()
			began := time.Now()
			near.Write(make([]byte, 1000))
			_, err := io.ReadFull(far, make([]byte, 1000))
			b.expectError("read", err, nil)
			b.expectDuration("1,000 bytes", began, 110*time.Millisecond)
		}},
		"close behind unread bytes": {Options{Latency: 10 * time.Millisecond}, func(b *testNetwork) {
			near, far := b.pair()
			near.Write(one)
			near.Close()
			if far.Ended() {
				b.Error("Ended reports the close of the peer before it has arrived")
			}
			time.Sleep(11 * time.Millisecond)
			if n, err := far.Peek(); !far.Ended() || n != 1 || err != nil {
				b.Errorf("after the close: Ended %v, Peek %d, error %v, want true, 1 and no error", far.Ended(), n, err)
			}
		}},
		"full buffer": {Options{Buffer: 100}, func(b *testNetwork) {
			near, far := b.pair()
			near.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := near.Write(make([]byte, 150))
			b.expectError("write", err, os.ErrDeadlineExceeded)
			if got, _ := io.ReadFull(far, make([]byte, 100)); n != 100 || got != n {
				b.Errorf("%d bytes written, %d read, want 100", n, got)
			}
		}},
		"half-close": {Options{}, func(b *testNetwork) {
			near, far := b.pair()
			near.CloseWrite()
			_, err := far.Read(one)
			b.expectError("read", err, io.EOF)
			far.Write(one)
			if _, err := near.Read(one); err != nil {
				b.Error(err)
			}
		}},
		"reset": {Options{Latency: time.Millisecond}, func(b *testNetwork) {
			near, far := b.pair()
			near.SetLinger(0)
			near.Close()
			_, err := far.Read(one)
			b.expectError("read", err, syscall.ECONNRESET)
		}},
		"close with unread input, and write to a closed connection": {Options{Latency: time.Millisecond}, func(b *testNetwork) {
			near, far := b.pair()
			far.Write(one)
			time.Sleep(time.Second)
			near.Close()
			_, err := far.Read(one)
			b.expectError("read", err, syscall.ECONNRESET)
			near, far = b.pair()
			near.Close()
			time.Sleep(time.Second)
			far.Write(one)
			time.Sleep(time.Second)
			_, err = far.Write(one)
			b.expectError("write", err, syscall.ECONNRESET)
		}},
		"partition that heals": {Options{}, func(b *testNetwork) {
			near, far := b.pair()
			began := time.Now()
			b.n.SetPartition(func(from, _ *Machine) bool { return from == b.caller.Machine })
			near.Write(one)
			_, err := b.dial(2 * time.Second)
			b.expectError("dial", err, os.ErrDeadlineExceeded)
			far.SetReadDeadline(time.Now().Add(time.Second))
			_, err = far.Read(one)
			b.expectError("read", err, os.ErrDeadlineExceeded)
			b.n.SetPartition(nil)
			far.SetReadDeadline(time.Time{})
			if _, err = far.Read(one); err != nil {
				b.Error(err)
			}
			b.expectDuration("delivery of a byte sent during the partition", began, 3*time.Second)
		}},
		"full backlog": {Options{Backlog: 1}, func(b *testNetwork) {
			first, err := b.dial(time.Second)
			b.expectError("dial", err, nil)
			_, err = b.dial(500 * time.Millisecond)
			b.expectError("dial", err, os.ErrDeadlineExceeded)
			began := time.Now()
			time.AfterFunc(500*time.Millisecond, func() { b.l.Accept() })
			_, err = b.dial(5 * time.Second)
			b.expectError("dial", err, nil)
			b.expectDuration("dial with a lost SYN", began, synRetryInterval)
			first.Close()
		}},
		"full connection table": {Options{MaxConnections: 1}, func(b *testNetwork) {
			near, far := b.pair()
			_, err := b.dial(time.Second)
			b.expectError("dial", err, syscall.ECONNREFUSED)
			near.Close()
			far.Close()
			b.pair()
		}},
		"handshake time": {Options{Handshake: 5 * time.Millisecond}, func(b *testNetwork) {
			began := time.Now()
			dialed := make(chan error)
			for range 10 {
				go func() {
					_, err := b.dial(time.Minute)
					dialed <- err
				}()
			}
			for range 10 {
				b.expectError("dial", <-dialed, nil)
			}
			b.expectDuration("ten handshakes", began, 50*time.Millisecond)
		}},
		"kill of a process with a shared socket": {Options{}, func(b *testNetwork) {
			near, _ := b.pair()
			next := b.server.Machine.Start()
			l := next.Listener(b.socket)
			b.server.Kill()
			_, err := near.Read(one)
			b.expectError("read", err, syscall.ECONNRESET)
			_, err = b.l.Accept()
			b.expectError("accept", err, net.ErrClosed)
			go b.dial(time.Minute)
			if _, err := l.Accept(); err != nil {
				b.Error(err)
			}
			if n := next.OpenConnections(); n != 1 {
				b.Errorf("the process has %d open connections, want 1", n)
			}
			b.socket.Close()
			_, err = b.dial(time.Second)
			b.expectError("dial", err, syscall.ECONNREFUSED)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &testNetwork{T: t, n: New(c.o)}
				defer b.n.Close()
				b.caller, b.server = b.n.Machine("caller", 0).Start(), b.n.Machine("server", 1).Start()
				var err error
				if b.socket, err = b.server.Bind(address); err != nil {
					t.Fatal(err)
				}
				if _, err := b.server.Bind(address); !errors.Is(err, syscall.EADDRINUSE) {
					t.Errorf("second bind to an address: error %v, want EADDRINUSE", err)
				}
				b.l = b.server.Listener(b.socket)
				c.play(b)
				b.caller.Kill()
				b.server.Kill()
			})
		})
	}
}
