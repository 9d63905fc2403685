package handover

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// tcpPair returns the two ends of a TCP connection on loopback.
func tcpPair(tb testing.TB) (near, far *net.TCPConn) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close(); s.Close() })
	for _, x := range []net.Conn{c, s} {
		x.SetDeadline(time.Now().Add(20 * time.Second))
	}
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// readText reads n bytes from a connection.
func readText(tb testing.TB, c net.Conn, n int) string {
	tb.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		tb.Fatal(err)
	}
	return string(b)
}

// serveUntilEnd runs a receiver with a handler until the test ends. Its name is "n0".
func serveUntilEnd(tb testing.TB, dir string, handler Handler) *Receiver {
	tb.Helper()
	r, err := Listen(dir, "n0")
	if err != nil {
		tb.Fatal(err)
	}
	ended := make(chan error)
	go func() { ended <- r.Serve(handler) }()
	tb.Cleanup(func() {
		r.Close()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	return r
}

// Connections arrive with their state, whatever its size. When the sender closes its descriptors, the
// connections stay open and usable.
func TestPassedConnectionsArriveWithTheirState(t *testing.T) {
	type offer struct {
		state []byte
		conns []net.Conn
	}
	accepted := make(chan offer, 1)
	dir := t.TempDir()
	serveUntilEnd(t, dir, func(state []byte, conns []net.Conn) (func(), func(), bool) {
		return func() { accepted <- offer{bytes.Clone(state), conns} }, func() { t.Error("an accepted connection was dropped") }, true
	})
	s, err := Dial(dir, "n0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, size := range []int{0, 1, 100000, MaxState} {
		for conns := range maxConns + 1 {
			var passed []syscall.Conn
			var far []net.Conn
			for range conns {
				n, f := tcpPair(t)
				passed, far = append(passed, n), append(far, f)
			}
			state := bytes.Repeat([]byte{'x'}, size)
			if err := s.Pass(state, passed...); err != nil {
				t.Fatalf("%d bytes, %d connections: %v", size, conns, err)
			}
			got := <-accepted
			if !bytes.Equal(got.state, state) || len(got.conns) != conns {
				t.Errorf("got %d bytes of %d, %d connections of %d", len(got.state), size, len(got.conns), conns)
			}
			for i := range got.conns {
				passed[i].(net.Conn).Close()
				io.WriteString(got.conns[i], "there")
				io.WriteString(far[i], "back")
				if a, b := readText(t, far[i], 5), readText(t, got.conns[i], 4); a != "there" || b != "back" {
					t.Errorf("received %q and %q, want %q and %q", a, b, "there", "back")
				}
				got.conns[i].Close()
			}
		}
	}
	if err := s.Pass(make([]byte, MaxState+1)); err == nil || !s.Alive() {
		t.Errorf("Pass beyond MaxState: %v, sender alive %v", err, s.Alive())
	}
}

// If the receiver declines or violates the protocol before the commit, the connection stays with the
// sender and remains usable.
func TestConnectionStaysWithSenderUnlessAccepted(t *testing.T) {
	for name, respond := range map[string]func(c *net.UnixConn){
		"declined":          func(c *net.UnixConn) { writeFrame(c, frameDecline) },
		"no answer, closes": func(c *net.UnixConn) { c.Close() },
		"unknown frame":     func(c *net.UnixConn) { writeFrame(c, 'q') },
		"frame too long":    func(c *net.UnixConn) { c.Write([]byte("yy")) },
		"no answer":         func(_ *net.UnixConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			r, err := Listen(dir, "n0")
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			done := make(chan bool)
			go func() {
				defer close(done)
				c, err := r.listener.AcceptUnix()
				if err != nil {
					return
				}
				t.Cleanup(func() { c.Close() })
				oob := make([]byte, 64)
				_, n, _, _, _ := c.ReadMsgUnix(make([]byte, 8), oob)
				conns, _ := parseConnections(oob[:n])
				respond(c)
				for _, x := range conns {
					x.Close()
				}
			}()
			s, err := Dial(dir, "n0", nil)
			if err != nil {
				t.Fatal(err)
			}
			near, far := tcpPair(t)
			err = s.Pass([]byte("s"), near)
			<-done
			if err == nil || errors.Is(err, ErrDeclined) != (name == "declined") || s.Alive() != (name == "declined") {
				t.Errorf("Pass returned %v, sender alive %v", err, s.Alive())
			}
			io.WriteString(near, "still")
			if got := readText(t, far, 5); got != "still" {
				t.Errorf("received %q, want %q", got, "still")
			}
		})
	}
}

// A receiver that receives no commit drops the connection without affecting it, and then serves the
// next sender.
func TestReceiverDropsConnectionsWithoutCommit(t *testing.T) {
	offer := func(c *net.UnixConn, near *net.TCPConn) {
		raw, _ := near.SyscallConn()
		raw.Control(func(fd uintptr) { c.WriteMsgUnix([]byte("os"), syscall.UnixRights(int(fd)), nil) })
		readFrame(c, time.Time{})
	}
	for name, send := range map[string]func(c *net.UnixConn, near *net.TCPConn){
		"closed before the commit": offer,
		"another frame instead of the commit": func(c *net.UnixConn, near *net.TCPConn) {
			offer(c, near)
			writeFrame(c, 'x')
			c.Read(make([]byte, 1)) // returns when the receiver closes the socket
		},
		"no offer": func(c *net.UnixConn, _ *net.TCPConn) {
			c.Write([]byte("hello"))
			c.Read(make([]byte, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			dropped, started := make(chan bool, 1), make(chan bool, 1)
			r := serveUntilEnd(t, dir, func([]byte, []net.Conn) (func(), func(), bool) {
				return func() { started <- true }, func() { dropped <- true }, true
			})
			var c *net.UnixConn
			if err := withSocketAddress(r.path, func(a *net.UnixAddr) (err error) {
				c, err = net.DialUnix("unixpacket", nil, a)
				return err
			}); err != nil {
				t.Fatal(err)
			}
			near, far := tcpPair(t)
			send(c, near)
			c.Close()
			if strings.Contains(name, "commit") {
				<-dropped
			}
			io.WriteString(near, "mine")
			if got := readText(t, far, 4); got != "mine" {
				t.Errorf("received %q, want %q", got, "mine")
			}
			s, err := Dial(dir, "n0", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if err := s.Pass(nil, near); err != nil {
				t.Fatal(err)
			}
			<-started
			if len(started) > 0 {
				t.Error("start was called for both offers, want one call")
			}
		})
	}
}

// Dial finds the most recently started other receiver. It skips its own receiver, older receivers, the
// socket file of a killed process, and files that are not sockets. It also works if the path exceeds
// the length limit of socket addresses.
func TestDialFindsTheNewestOtherReceiver(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("x", maxSocketPath))
	if _, err := Listen(dir, "n0"); err == nil {
		t.Error("Listen succeeded in a directory that does not exist")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(dir, "n0", nil); !errors.Is(err, ErrNoReceiver) {
		t.Errorf("Dial in an empty directory: %v, want ErrNoReceiver", err)
	}
	var own *Receiver
	called := make(chan string, 1)
	for _, receiver := range []string{"oldest", "newest", "own"} {
		own = serveUntilEnd(t, dir, func([]byte, []net.Conn) (func(), func(), bool) {
			called <- receiver
			return nil, nil, false
		})
	}
	stale := filepath.Join(dir, filePrefix("n0")+"9.9")
	if err := withSocketAddress(stale, func(a *net.UnixAddr) error {
		l, err := net.ListenUnix("unixpacket", a)
		if err == nil {
			l.SetUnlinkOnClose(false)
			l.Close()
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{filePrefix("n0") + "99999999999999999999999.1", filePrefix("n0") + "1.1", "other"} {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Dial(dir, "n0", own)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Pass(nil); !errors.Is(err, ErrDeclined) {
		t.Errorf("Pass returned %v, want ErrDeclined", err)
	}
	if receiver := <-called; receiver != "newest" {
		t.Errorf("Dial connected to the %s receiver, want the newest", receiver)
	}
}

// BenchmarkPass measures the passing of two connections with a state of 1000 bytes.
func BenchmarkPass(b *testing.B) {
	dir := b.TempDir()
	serveUntilEnd(b, dir, func(_ []byte, conns []net.Conn) (func(), func(), bool) {
		return func() { conns[0].Close(); conns[1].Close() }, func() {}, true
	})
	s, err := Dial(dir, "n0", nil)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	near, far := tcpPair(b)
	for b.Loop() {
		if err := s.Pass(make([]byte, 1000), near, far); err != nil {
			b.Fatal(err)
		}
	}
}
