package real

import (
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Faults on the connections of a server, each of which a network, a machine or a program can cause.
const (
	// Send so many bytes of an answer, then reset the connection.
	resetAfter = "reset"
	// Send so many bytes, then close the connection.
	cutAfter = "cut"
	// Send so many bytes, then close the sending side only.
	halfClose = "half_close"
	// Send so many bytes, then nothing.
	stallAfter = "stall"
	// Read so many bytes per interval.
	slowRead = "slow_read"
	// Write so many bytes per interval.
	slowWrite = "slow_write"
	// Send random bytes in place of an answer.
	garbage = "garbage"
	// New connections are never established.
	noHandshake = "syn"
	// The same, and nothing passes on established ones.
	vanish       = "vanish"
	slowInterval = 20 * time.Millisecond
)

// connectionFault is the fault that is active on a server's connections.
type connectionFault struct {
	kind string
	size int
	// Closed when the fault has ended.
	ended chan struct{}
}

// connectionSet is the set of a server's open connections, with the fault that is active on them.
type connectionSet struct {
	mu    sync.Mutex
	fault *connectionFault
	open  map[*faultyConn]bool
}

func newConnectionSet() *connectionSet {
	return &connectionSet{fault: &connectionFault{kind: "none", ended: make(chan struct{})}, open: map[*faultyConn]bool{}}
}

// setFault ends the active fault and begins another.
func (cs *connectionSet) setFault(how string, n int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	close(cs.fault.ended)
	cs.fault = &connectionFault{kind: how, size: n, ended: make(chan struct{})}
}

func (cs *connectionSet) currentFault() *connectionFault {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.fault
}

// reset resets all connections.
func (cs *connectionSet) reset() {
	cs.mu.Lock()
	open := make([]*faultyConn, 0, len(cs.open))
	for c := range cs.open {
		open = append(open, c)
	}
	cs.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// faultyListener accepts connections that carry out the active fault.
type faultyListener struct {
	net.Listener
	connections *connectionSet
}

func (l faultyListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: raw, connections: l.connections, closed: make(chan struct{})}
	l.connections.mu.Lock()
	l.connections.open[c] = true
	l.connections.mu.Unlock()
	return c, nil
}

// faultyConn is a connection that carries out the active fault of its server.
type faultyConn struct {
	net.Conn
	connections *connectionSet
	once        sync.Once
	closed      chan struct{}
	mu          sync.Mutex
	// Bytes sent of the present answer.
	sent int
}

// wait waits for the end of a fault, or for a duration if that is above 0. It reports false when
// the connection is closed.
func (c *faultyConn) wait(m *connectionFault, atMost time.Duration) bool {
	var enough <-chan time.Time
	if atMost > 0 {
		enough = time.After(atMost)
	}
	select {
	case <-m.ended:
	case <-enough:
	case <-c.closed:
		return false
	}
	return true
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if m := c.connections.currentFault(); m.kind == slowRead && len(p) > 0 {
		if !c.wait(m, slowInterval) {
			return 0, net.ErrClosed
		}
		p = p[:min(len(p), max(m.size, 1))]
	}
	n, err := c.Conn.Read(p)
	if m := c.connections.currentFault(); m.kind == vanish && !c.wait(m, 0) {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	c.sent = 0
	c.mu.Unlock()
	return n, err
}

// sendAllowance is how many of n bytes are still sent before the fault takes effect.
func (c *faultyConn) sendAllowance(m *connectionFault, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = max(min(n, m.size-c.sent), 0)
	c.sent += n
	return n
}

var errInjected = errors.New("the laboratory has broken this connection")

func (c *faultyConn) Write(p []byte) (int, error) {
	m := c.connections.currentFault()
	switch m.kind {
	case resetAfter, cutAfter, halfClose, stallAfter:
		n := c.sendAllowance(m, len(p))
		if n > 0 {
			if n, err := c.Conn.Write(p[:n]); err != nil {
				return n, err
			}
		}
		if n == len(p) {
			return n, nil
		}
		return c.applyFault(m, p, n)
	case slowWrite:
		for n := 0; n < len(p); {
			piece := p[n:min(n+max(m.size, 1), len(p))]
			k, err := c.Conn.Write(piece)
			if n += k; err != nil {
				return n, err
			}
			if !c.wait(m, slowInterval) {
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

// applyFault carries out a fault after the first n bytes were sent.
func (c *faultyConn) applyFault(m *connectionFault, p []byte, n int) (int, error) {
	switch m.kind {
	case resetAfter:
		c.reset()
		return n, errInjected
	case cutAfter:
		c.Close()
		return n, errInjected
	case halfClose:
		if tcp, ok := c.Conn.(tcpConn); ok {
			_ = tcp.CloseWrite() // an error means that it has ended
		}
		return len(p), nil // the rest is lost
	}
	if !c.wait(m, 0) {
		return n, net.ErrClosed
	}
	k, err := c.Conn.Write(p[n:])
	return n + k, err
}

// reset ends the connection with a reset.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(tcpConn); ok {
		_ = tcp.SetLinger(0) // an error means that it has ended
	}
	c.Close()
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.connections.mu.Lock()
		defer c.connections.mu.Unlock()
		delete(c.connections.open, c)
	})
	return c.Conn.Close()
}

// fullBacklog is an address at which connections are never established: a listener whose backlog is
// full.
type fullBacklog struct {
	fd      int
	fillers []net.Conn
}

const (
	// maxFillers is more than a backlog of 0 holds on Linux, which is 1 (listen(2), and net/ipv4: a
	// queue is full when it holds more than its backlog).
	maxFillers  = 8
	fillTimeout = 100 * time.Millisecond
)

// newFullBacklog creates a full backlog at an address that nobody listens on.
func newFullBacklog(address string) (b *fullBacklog, err error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	b = &fullBacklog{}
	if b.fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return nil, err
	}
	where := &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}
	err = syscall.SetsockoptInt(b.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = errors.Join(err, syscall.Bind(b.fd, where), syscall.Listen(b.fd, 0)); err != nil {
		b.close()
		return nil, err
	}
	for range maxFillers {
		c, err := net.DialTimeout("tcp4", address, fillTimeout)
		if err != nil {
			return b, nil // it is full
		}
		b.fillers = append(b.fillers, c)
	}
	b.close()
	return nil, errors.New("its backlog is never full")
}

func (b *fullBacklog) close() {
	syscall.Close(b.fd)
	for _, c := range b.fillers {
		c.Close()
	}
}
