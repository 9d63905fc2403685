package real

import (
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// What goes wrong with what a server sends and reads. Each is a fault that a network, a machine or a program has.
const (
	resetAfter = "reset"      // so many bytes of an answer, then a reset
	cutAfter   = "cut"        // so many, then the connection's end
	halfClose  = "half_close" // so many, then the end of what is sent; it still reads
	stallAfter = "stall"      // so many, then nothing
	slowRead   = "slow_read"  // so many in each turn
	slowWrite  = "slow_write"
	garbage    = "garbage" // an answer that is none
	neverUp    = "syn"     // new connections never come up
	vanish     = "vanish"  // that, and nothing comes on those that stand
	turn       = 20 * time.Millisecond
)

// mode is what goes wrong now.
type mode struct {
	how  string
	n    int
	over chan struct{} // closed when it has ended
}

// conns are a server's connections.
type conns struct {
	mu   sync.Mutex
	mode *mode
	open map[*conn]bool
}

func newConns() *conns {
	return &conns{mode: &mode{how: "none", over: make(chan struct{})}, open: map[*conn]bool{}}
}

// set begins what goes wrong next.
func (cs *conns) set(how string, n int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	close(cs.mode.over)
	cs.mode = &mode{how: how, n: n, over: make(chan struct{})}
}

func (cs *conns) now() *mode {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.mode
}

// reset breaks all connections.
func (cs *conns) reset() {
	cs.mu.Lock()
	open := make([]*conn, 0, len(cs.open))
	for c := range cs.open {
		open = append(open, c)
	}
	cs.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// listener makes connections on which things go wrong.
type listener struct {
	net.Listener
	conns *conns
}

func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, of: l.conns, closed: make(chan struct{})}
	l.conns.mu.Lock()
	l.conns.open[c] = true
	l.conns.mu.Unlock()
	return c, nil
}

// conn is a connection on which things go wrong as its server's mode says.
type conn struct {
	net.Conn
	of     *conns
	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex
	sent   int // of the present answer
}

// wait waits for a mode's end, or some of its time; false when the connection is closed.
func (c *conn) wait(m *mode, atMost time.Duration) bool {
	var enough <-chan time.Time
	if atMost > 0 {
		enough = time.After(atMost)
	}
	select {
	case <-m.over:
	case <-enough:
	case <-c.closed:
		return false
	}
	return true
}

func (c *conn) Read(p []byte) (int, error) {
	if m := c.of.now(); m.how == slowRead && len(p) > 0 {
		if !c.wait(m, turn) {
			return 0, net.ErrClosed
		}
		p = p[:min(len(p), max(m.n, 1))]
	}
	n, err := c.Conn.Read(p)
	if m := c.of.now(); m.how == vanish && !c.wait(m, 0) {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	c.sent = 0
	c.mu.Unlock()
	return n, err
}

// allowance is how much of a piece goes out before things go wrong.
func (c *conn) allowance(m *mode, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = max(min(n, m.n-c.sent), 0)
	c.sent += n
	return n
}

var errWrong = errors.New("the laboratory has broken this connection")

func (c *conn) Write(p []byte) (int, error) {
	m := c.of.now()
	switch m.how {
	case resetAfter, cutAfter, halfClose, stallAfter:
		n := c.allowance(m, len(p))
		if n > 0 {
			if n, err := c.Conn.Write(p[:n]); err != nil {
				return n, err
			}
		}
		if n == len(p) {
			return n, nil
		}
		return c.goWrong(m, p, n)
	case slowWrite:
		for n := 0; n < len(p); {
			piece := p[n:min(n+max(m.n, 1), len(p))]
			k, err := c.Conn.Write(piece)
			if n += k; err != nil {
				return n, err
			}
			if !c.wait(m, turn) {
				return n, net.ErrClosed
			}
		}
		return len(p), nil
	case garbage:
		noise := make([]byte, len(p))
		rand.Read(noise)
		return c.Conn.Write(noise)
	case vanish:
		if !c.wait(m, 0) {
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(p)
}

// goWrong does what is to come after the n bytes of a piece that went out.
func (c *conn) goWrong(m *mode, p []byte, n int) (int, error) {
	switch m.how {
	case resetAfter:
		c.reset()
		return n, errWrong
	case cutAfter:
		c.Close()
		return n, errWrong
	case halfClose:
		if tcp, ok := c.Conn.(tcpConn); ok {
			_ = tcp.CloseWrite() // an error means that it has ended
		}
		return len(p), nil // the rest is nowhere
	}
	if !c.wait(m, 0) {
		return n, net.ErrClosed
	}
	k, err := c.Conn.Write(p[n:])
	return n + k, err
}

// reset ends the connection with a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(tcpConn); ok {
		_ = tcp.SetLinger(0) // an error means that it has ended
	}
	c.Close()
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		delete(c.of.open, c)
	})
	return c.Conn.Close()
}

// hole is an address at which connections never come up: a listener whose backlog is full.
type hole struct {
	fd      int
	fillers []net.Conn
}

const (
	// mostFillers is more than a backlog of 0 holds on Linux, which is 1 (listen(2), and net/ipv4: a queue is full when
	// it holds more than its backlog).
	mostFillers = 8
	fillFor     = 100 * time.Millisecond
)

// dig makes a hole at an address that nobody listens on.
func dig(address string) (h *hole, err error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	h = &hole{}
	if h.fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return nil, err
	}
	where := &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}
	err = syscall.SetsockoptInt(h.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = errors.Join(err, syscall.Bind(h.fd, where), syscall.Listen(h.fd, 0)); err != nil {
		h.close()
		return nil, err
	}
	for range mostFillers {
		c, err := net.DialTimeout("tcp4", address, fillFor)
		if err != nil {
			return h, nil // it is full
		}
		h.fillers = append(h.fillers, c)
	}
	h.close()
	return nil, errors.New("its backlog is never full")
}

func (h *hole) close() {
	syscall.Close(h.fd)
	for _, c := range h.fillers {
		c.Close()
	}
}
