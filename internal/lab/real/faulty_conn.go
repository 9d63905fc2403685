package real

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Kinds of faults on the connections of a server. Networks, machines and programs cause each of them in
// practice. The size in the comments is connectionFault.size.
const (
	// Sends size bytes of an answer, then resets the connection.
	resetAfter = "reset"
	// Sends size bytes of an answer, then closes the connection.
	cutAfter = "cut"
	// Sends size bytes of an answer, then closes the sending side only.
	halfClose = "half_close"
	// Sends size bytes of an answer, then nothing.
	stallAfter = "stall"
	// Reads at most size bytes per slowInterval.
	slowRead = "slow_read"
	// Writes at most size bytes per slowInterval.
	slowWrite = "slow_write"
	// Sends random bytes in place of an answer.
	garbage = "garbage"
	// Never establishes new connections.
	noHandshake = "syn"
	// Never establishes new connections and passes nothing on established ones.
	vanish = "vanish"
)

// slowInterval is the interval of slowRead and slowWrite.
const slowInterval = 20 * time.Millisecond

// connectionFault is the fault that is active on a server's connections.
type connectionFault struct {
	kind string
	size int // bytes
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
func (cs *connectionSet) setFault(kind string, size int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	close(cs.fault.ended)
	cs.fault = &connectionFault{kind: kind, size: size, ended: make(chan struct{})}
}

func (cs *connectionSet) currentFault() *connectionFault {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.fault
}

// reset resets all open connections.
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

// faultyListener accepts connections to which the active fault of their server applies.
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

// faultyConn is a connection to which the active fault of its server applies.
type faultyConn struct {
	net.Conn
	connections *connectionSet
	once        sync.Once
	closed      chan struct{}
	mu          sync.Mutex
	// Bytes sent of the current answer.
	sent int
}

// wait waits for the end of a fault, and at most for the timeout if that is above 0. It reports false
// if the connection was closed meanwhile.
func (c *faultyConn) wait(fault *connectionFault, timeout time.Duration) bool {
	var expired <-chan time.Time
	if timeout > 0 {
		expired = time.After(timeout)
	}
	select {
	case <-fault.ended:
	case <-expired:
	case <-c.closed:
		return false
	}
	return true
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if fault := c.connections.currentFault(); fault.kind == slowRead && len(p) > 0 {
		if !c.wait(fault, slowInterval) {
			return 0, net.ErrClosed
		}
		p = p[:min(len(p), max(fault.size, 1))]
	}
	n, err := c.Conn.Read(p)
	if fault := c.connections.currentFault(); fault.kind == vanish && !c.wait(fault, 0) {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	c.sent = 0
	c.mu.Unlock()
	return n, err
}

// sendAllowance returns how many of n bytes are sent before the fault takes effect, and counts them as
// sent.
func (c *faultyConn) sendAllowance(fault *connectionFault, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n = max(min(n, fault.size-c.sent), 0)
	c.sent += n
	return n
}

var errInjected = errors.New("connection broken by an injected fault")

func (c *faultyConn) Write(p []byte) (int, error) {
	fault := c.connections.currentFault()
	switch fault.kind {
	case resetAfter, cutAfter, halfClose, stallAfter:
		n := c.sendAllowance(fault, len(p))
		if n > 0 {
			if n, err := c.Conn.Write(p[:n]); err != nil {
				return n, err
			}
		}
		if n == len(p) {
			return n, nil
		}
		return c.applyFault(fault, p, n)
	case slowWrite:
		for n := 0; n < len(p); {
			chunk := p[n:min(n+max(fault.size, 1), len(p))]
			k, err := c.Conn.Write(chunk)
			if n += k; err != nil {
				return n, err
			}
			if !c.wait(fault, slowInterval) {
				return n, net.ErrClosed
			}
		}
		return len(p), nil
	case garbage:
		noise := make([]byte, len(p))
		rand.Read(noise)
		return c.Conn.Write(noise)
	case vanish:
		if !c.wait(fault, 0) {
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(p)
}

// applyFault applies a fault after the first n bytes of p were sent.
func (c *faultyConn) applyFault(fault *connectionFault, p []byte, n int) (int, error) {
	switch fault.kind {
	case resetAfter:
		c.reset()
		return n, errInjected
	case cutAfter:
		c.Close()
		return n, errInjected
	case halfClose:
		if tcp, ok := c.Conn.(tcpConn); ok {
			_ = tcp.CloseWrite() // an error means that the connection is closed already
		}
		return len(p), nil // the remaining bytes are dropped
	}
	if !c.wait(fault, 0) {
		return n, net.ErrClosed
	}
	k, err := c.Conn.Write(p[n:])
	return n + k, err
}

// reset closes the connection with a TCP reset.
func (c *faultyConn) reset() {
	if tcp, ok := c.Conn.(tcpConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed already
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

// fullBacklog is a listener whose backlog is full, so that no further connection to its address is
// established.
type fullBacklog struct {
	fd      int
	fillers []net.Conn
}

const (
	// maxFillers is above the 1 connection that a backlog of 0 holds on Linux. There a queue is full
	// when it holds more connections than its backlog.
	maxFillers  = 8
	fillTimeout = 100 * time.Millisecond
)

// newFullBacklog listens at an address that nobody listens on, and fills the backlog.
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
			return b, nil // the backlog is full
		}
		b.fillers = append(b.fillers, c)
	}
	b.close()
	return nil, fmt.Errorf("the backlog of %s still accepts connections after %d", address, maxFillers)
}

func (b *fullBacklog) close() {
	syscall.Close(b.fd)
	for _, c := range b.fillers {
		c.Close()
	}
}
