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

// testNetwork is a network with a client process, a server process, and its socket.
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

func (b *testNetwork) expect(what string, got, want error) {
	b.Helper()
	if !errors.Is(got, want) {
		b.Errorf("%s: %v, want %v", what, got, want)
	}
}

func (b *testNetwork) took(what string, began time.Time, want time.Duration) {
	b.Helper()
	if got := time.Since(began); got != want {
		b.Errorf("%s took %v, want %v", what, got, want)
	}
}

// Connections behave as TCP connections do, at the exact times.
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
			b.expect("read", err, nil)
			b.took("1,000 bytes", began, 110*time.Millisecond)
		}},
		"an end behind unread bytes": {Options{Latency: 10 * time.Millisecond}, func(b *testNetwork) {
			near, far := b.pair()
			near.Write(one)
			near.Close()
			if far.Ended() {
				b.Error("it has ended before its end is here")
			}
			time.Sleep(11 * time.Millisecond)
			if n, err := far.Peek(); !far.Ended() || n != 1 || err != nil {
				b.Errorf("ended %v, %d bytes unread, %v", far.Ended(), n, err)
			}
		}},
		"a buffer fills": {Options{Buffer: 100}, func(b *testNetwork) {
			near, far := b.pair()
			near.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := near.Write(make([]byte, 150))
			b.expect("write", err, os.ErrDeadlineExceeded)
			if got, _ := io.ReadFull(far, make([]byte, 100)); n != 100 || got != n {
				b.Errorf("%d bytes out, %d read", n, got)
			}
		}},
		"half closed": {Options{}, func(b *testNetwork) {
			near, far := b.pair()
			near.CloseWrite()
			_, err := far.Read(one)
			b.expect("read", err, io.EOF)
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
			b.expect("read", err, syscall.ECONNRESET)
		}},
		"a close with unread input, and a write to what is closed": {Options{Latency: time.Millisecond}, func(b *testNetwork) {
			near, far := b.pair()
			far.Write(one)
			time.Sleep(time.Second)
			near.Close()
			_, err := far.Read(one)
			b.expect("read", err, syscall.ECONNRESET)
			near, far = b.pair()
			near.Close()
			time.Sleep(time.Second)
			far.Write(one)
			time.Sleep(time.Second)
			_, err = far.Write(one)
			b.expect("write", err, syscall.ECONNRESET)
		}},
		"a link is cut and whole again": {Options{}, func(b *testNetwork) {
			near, far := b.pair()
			began := time.Now()
			b.n.SetPartition(func(from, _ *Machine) bool { return from == b.caller.Machine })
			near.Write(one)
			_, err := b.dial(2 * time.Second)
			b.expect("dial", err, os.ErrDeadlineExceeded)
			far.SetReadDeadline(time.Now().Add(time.Second))
			_, err = far.Read(one)
			b.expect("read", err, os.ErrDeadlineExceeded)
			b.n.SetPartition(nil)
			far.SetReadDeadline(time.Time{})
			if _, err = far.Read(one); err != nil {
				b.Error(err)
			}
			b.took("what was held", began, 3*time.Second)
		}},
		"a backlog overflows": {Options{Backlog: 1}, func(b *testNetwork) {
			first, err := b.dial(time.Second)
			b.expect("dial", err, nil)
			_, err = b.dial(500 * time.Millisecond)
			b.expect("dial", err, os.ErrDeadlineExceeded)
			began := time.Now()
			time.AfterFunc(500*time.Millisecond, func() { b.l.Accept() })
			_, err = b.dial(5 * time.Second)
			b.expect("dial", err, nil)
			b.took("a SYN that was lost", began, synRetryInterval)
			first.Close()
		}},
		"a table overflows": {Options{MaxConnections: 1}, func(b *testNetwork) {
			near, far := b.pair()
			_, err := b.dial(time.Second)
			b.expect("dial", err, syscall.ECONNREFUSED)
			near.Close()
			far.Close()
			b.pair()
		}},
		"handshakes cost": {Options{Handshake: 5 * time.Millisecond}, func(b *testNetwork) {
			began := time.Now()
			up := make(chan error)
			for range 10 {
				go func() {
					_, err := b.dial(time.Minute)
					up <- err
				}()
			}
			for range 10 {
				b.expect("dial", <-up, nil)
			}
			b.took("ten", began, 50*time.Millisecond)
		}},
		"a kill, and a socket that is shared": {Options{}, func(b *testNetwork) {
			near, _ := b.pair()
			next := b.server.Machine.Start()
			l := next.Listener(b.socket)
			b.server.Kill()
			_, err := near.Read(one)
			b.expect("read", err, syscall.ECONNRESET)
			_, err = b.l.Accept()
			b.expect("accept", err, net.ErrClosed)
			go b.dial(time.Minute)
			if _, err := l.Accept(); err != nil {
				b.Error(err)
			}
			if n := next.OpenConnections(); n != 1 {
				b.Errorf("%d connections are held", n)
			}
			b.socket.Close()
			_, err = b.dial(time.Second)
			b.expect("dial", err, syscall.ECONNREFUSED)
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
					t.Errorf("bound twice: %v", err)
				}
				b.l = b.server.Listener(b.socket)
				c.play(b)
				b.caller.Kill()
				b.server.Kill()
			})
		})
	}
}
