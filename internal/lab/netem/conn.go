package netem

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	data kind = iota
	finished
	rst
)

// Conn is a process's handle of one end of a connection.
type Conn struct {
	end     *end
	process *Process

	mu            sync.Mutex
	closed        bool
	readDeadline  time.Time // deadlines
	writeDeadline time.Time
	// Closed when the deadlines or closed change.
	changed chan struct{}
	// When it is woken; the mutex of the network's wake timer guards it.
	wakeAt time.Time
}

// newConn creates a handle; nil where the process has ended.
func newConn(e *end, p *Process) *Conn {
	c := &Conn{end: e, process: p, changed: make(chan struct{})}
	e.mu.Lock()
	e.handles++
	e.mu.Unlock()
	if !p.register(c) {
		return nil
	}
	return c
}

// duplicate creates another process's handle of the same end, as passing a descriptor does.
func (c *Conn) duplicate(p *Process) *Conn { return newConn(c.end, p) }

func (c *Conn) state() (closed bool, read, write time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.readDeadline, c.writeDeadline, c.changed
}

func (c *Conn) fault(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// deadlineState reports whether a deadline has passed, and otherwise until when to wait.
func deadlineState(deadline, next time.Time) (until time.Time, over bool) {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return deadline, true
	}
	if next.IsZero() || !deadline.IsZero() && deadline.Before(next) {
		return deadline, false
	}
	return next, false
}

// waitForChange waits for a change of the handle or of a stream, or until a time; the zero time is
// none.
func (c *Conn) waitForChange(mine, stream <-chan struct{}, until time.Time) {
	if !until.IsZero() {
		c.end.connection.net.wakes.arm(c, until)
	}
	select {
	case <-mine:
	case <-stream:
	}
}

// wake has all waiting calls check again.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// read reads, or waits until something can be read. Without consume the bytes stay unread.
func (c *Conn) read(b []byte, consume bool) (int, error) {
	return c.wait(func() (int, time.Time, <-chan struct{}, error) { return c.end.input.read(b, consume) })
}

// wait waits until a check of the stream returns anything but EAGAIN.
func (c *Conn) wait(look func() (n int, next time.Time, changed <-chan struct{}, err error)) (int, error) {
	for {
		closed, deadline, _, mine := c.state()
		if closed {
			return 0, c.fault("read", net.ErrClosed)
		}
		if _, over := deadlineState(deadline, time.Time{}); over {
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		}
		n, next, changed, err := look()
		if !errors.Is(err, syscall.EAGAIN) {
			if err != nil {
				err = c.fault("read", err)
			}
			return n, err
		}
		until, _ := deadlineState(deadline, next)
		c.waitForChange(mine, changed, until)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	return c.read(b, true)
}

// Await waits until a read would not block, and returns the error it would have.
func (c *Conn) Await() error {
	var b [1]byte
	_, err := c.read(b[:], false)
	return err
}

// AwaitEnd waits until the peer has closed its side or reset the connection, regardless of unread
// bytes before that.
func (c *Conn) AwaitEnd() error {
	_, err := c.wait(c.end.input.awaitEnd)
	return err
}

// Ended implements the interface by which http1 waits for connections. It reports whether the peer has
// ended the connection, or this side has closed it.
func (c *Conn) Ended() bool {
	closed, _, _, _ := c.state()
	_, _, _, err := c.end.input.awaitEnd()
	return closed || !errors.Is(err, syscall.EAGAIN)
}

// Peek returns how many of one byte can be read; EAGAIN stands for none yet, and 0 without an error
// for the end.
func (c *Conn) Peek() (int, error) {
	var b [1]byte
	closed, _, _, _ := c.state()
	if closed {
		return -1, net.ErrClosed
	}
	n, _, _, err := c.end.input.read(b[:], false)
	if errors.Is(err, io.EOF) {
		return 0, nil
	}
	if err != nil {
		return -1, err
	}
	return n, nil
}

// Write implements net.Conn. It waits while the buffers are full.
func (c *Conn) Write(b []byte) (n int, err error) {
	to := c.end.peer()
	for n < len(b) {
		closed, _, deadline, mine := c.state()
		c.end.mu.Lock()
		fin := c.end.finSent
		c.end.mu.Unlock()
		if closed || fin {
			return n, c.fault("write", net.ErrClosed)
		}
		if _, over := deadlineState(deadline, time.Time{}); over {
			return n, c.fault("write", os.ErrDeadlineExceeded)
		}
		if k, _, _, err := c.end.input.read(make([]byte, 1), false); k == 0 && err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EAGAIN) {
			return n, c.fault("write", os.NewSyscallError("write", syscall.ECONNRESET))
		}
		space, changed := to.input.space()
		if space <= 0 {
			until, _ := deadlineState(deadline, time.Time{})
			c.waitForChange(mine, changed, until)
			continue
		}
		to.mu.Lock()
		peerClosed := to.closed
		to.mu.Unlock()
		if peerClosed {
			// What comes to a closed socket is answered with a reset, a way there and back later.
			c.end.input.add(segment{what: rst}, 2*c.end.connection.net.delay(), 0)
			return len(b), nil
		}
		k := min(space, len(b)-n)
		c.end.send(append([]byte(nil), b[n:n+k]...), data)
		n += k
	}
	return n, nil
}

// CloseWrite closes the sending side only.
func (c *Conn) CloseWrite() error {
	c.end.mu.Lock()
	done := c.end.finSent
	c.end.finSent = true
	c.end.mu.Unlock()
	if !done {
		c.end.send(nil, finished)
	}
	return nil
}

// SetLinger with 0 makes Close a reset.
func (c *Conn) SetLinger(sec int) error {
	c.end.mu.Lock()
	defer c.end.mu.Unlock()
	c.end.linger = sec != 0
	return nil
}

// Close closes the handle, and with the last one the connection.
func (c *Conn) Close() error {
	if !c.markClosed() {
		return c.fault("close", net.ErrClosed)
	}
	c.process.unregister(c)
	c.end.releaseHandle(false)
	return nil
}

// kill ends the handle with its process.
func (c *Conn) kill() {
	if c.markClosed() {
		c.end.releaseHandle(true)
	}
}

// markClosed ends the handle and reports whether it was open.
func (c *Conn) markClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// LocalAddr is the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.end.addr }

// RemoteAddr is the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.end.peer().addr }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when a read times out; the zero time is never.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.set(&c.readDeadline, t) }

// SetWriteDeadline sets when a write times out; the zero time is never.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(&c.writeDeadline, t) }

func (c *Conn) set(which *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	*which = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}
