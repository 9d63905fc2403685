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

// tcpPair returns the two ends of a TCP connection.
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

// readText reads n bytes.
func readText(tb testing.TB, c net.Conn, n int) string {
	tb.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c, b); err != nil {
		tb.Fatal(err)
	}
	return string(b)
}

// serveUntilEnd runs a receiver with a handler until the test ends.
func serveUntilEnd(tb testing.TB, dir string, take Handler) *Receiver {
	tb.Helper()
	r, err := Listen(dir, "n0")
	if err != nil {
		tb.Fatal(err)
	}
	ended := make(chan error)
	go func() { ended <- r.Serve(take) }()
	tb.Cleanup(func() {
		r.Close()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
	return r
}

// Connections arrive with their state, whatever its size, and the sender may close its own
// descriptors without anything sent to their peers.
func TestPassedConnectionsArriveWithTheirState(t *testing.T) {
	type got struct {
		state []byte
		conns []net.Conn
	}
	came := make(chan got, 1)
	dir := t.TempDir()
	serveUntilEnd(t, dir, func(state []byte, conns []net.Conn) (func(), func(), bool) {
		return func() { came <- got{bytes.Clone(state), conns} }, func() { t.Error("dropped") }, true
	})
	s, err := Dial(dir, "n0", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, size := range []int{0, 1, 100000, MaxState} {
		for conns := range maxConns + 1 {
			var mine []syscall.Conn
			var far []net.Conn
			for range conns {
				n, f := tcpPair(t)
				mine, far = append(mine, n), append(far, f)
			}
			state := bytes.Repeat([]byte{'x'}, size)
			if err := s.Pass(state, mine...); err != nil {
				t.Fatalf("%d bytes, %d connections: %v", size, conns, err)
			}
			g := <-came
			if !bytes.Equal(g.state, state) || len(g.conns) != conns {
				t.Errorf("got %d bytes of %d, %d connections of %d", len(g.state), size, len(g.conns), conns)
			}
			for i := range g.conns {
				mine[i].(net.Conn).Close()
				io.WriteString(g.conns[i], "there")
				io.WriteString(far[i], "back")
				if a, b := readText(t, far[i], 5), readText(t, g.conns[i], 4); a != "there" || b != "back" {
					t.Errorf("heard %q and %q", a, b)
				}
				g.conns[i].Close()
			}
		}
	}
	if err := s.Pass(make([]byte, MaxState+1)); err == nil || !s.Alive() {
		t.Errorf("too much was passed: %v", err)
	}
}

// Whatever goes wrong before the commit, the connection still belongs to its first owner, and
// works.
func TestConnectionStaysWithSenderUnlessAccepted(t *testing.T) {
	for name, play := range map[string]func(c *net.UnixConn){
		"declined":      func(c *net.UnixConn) { writeFrame(c, frameDecline) },
		"ends unheard":  func(c *net.UnixConn) { c.Close() },
		"says nonsense": func(c *net.UnixConn) { writeFrame(c, 'q') },
		"says too much": func(c *net.UnixConn) { c.Write([]byte("yy")) },
		"says nothing":  func(_ *net.UnixConn) {},
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
				play(c)
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
				t.Errorf("got %v, alive %v", err, s.Alive())
			}
			io.WriteString(near, "still")
			if got := readText(t, far, 5); got != "still" {
				t.Errorf("heard %q", got)
			}
		})
	}
}

// A receiver that gets no commit leaves the connection alone, and serves the next sender.
func TestReceiverDropsConnectionsWithoutCommit(t *testing.T) {
	offer := func(c *net.UnixConn, near *net.TCPConn) {
		raw, _ := near.SyscallConn()
		raw.Control(func(fd uintptr) { c.WriteMsgUnix([]byte("os"), syscall.UnixRights(int(fd)), nil) })
		readFrame(c, time.Time{})
	}
	for name, play := range map[string]func(c *net.UnixConn, near *net.TCPConn){
		"ends before the last word": offer,
		"another word": func(c *net.UnixConn, near *net.TCPConn) {
			offer(c, near)
			writeFrame(c, 'x')
			c.Read(make([]byte, 1)) // until it is closed
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
			play(c, near)
			c.Close()
			if strings.Contains(name, "word") {
				<-dropped
			}
			io.WriteString(near, "mine")
			if got := readText(t, far, 4); got != "mine" {
				t.Errorf("heard %q", got)
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
				t.Error("started twice")
			}
		})
	}
}

// The youngest other process is found among others, files of killed ones, and files that are no
// sockets, also where a path is longer than an address.
func TestDialFindsTheYoungestOtherReceiver(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("x", maxSocketPath))
	if _, err := Listen(dir, "n0"); err == nil {
		t.Error("listens in no directory")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(dir, "n0", nil); !errors.Is(err, ErrNoReceiver) {
		t.Errorf("an empty directory: %v", err)
	}
	var own *Receiver
	came := make(chan string, 1)
	for _, who := range []string{"oldest", "youngest", "own"} {
		own = serveUntilEnd(t, dir, func([]byte, []net.Conn) (func(), func(), bool) {
			came <- who
			return nil, nil, false
		})
	}
	left := filepath.Join(dir, filePrefix("n0")+"9.9")
	if err := withSocketAddress(left, func(a *net.UnixAddr) error {
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
		t.Errorf("got %v", err)
	}
	if who := <-came; who != "youngest" {
		t.Errorf("found the %s", who)
	}
}

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
	x, y := tcpPair(b)
	for b.Loop() {
		if err := s.Pass(make([]byte, 1000), x, y); err != nil {
			b.Fatal(err)
		}
	}
}
