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

// Conn is a process's handle of one end of a connection. Like a file descriptor it can be duplicated
// for another process.
type Conn struct {
	end     *end
	process *Process

	mu            sync.Mutex
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
	// Closed when a deadline changes, when the handle is closed, and by wake.
	changed chan struct{}
	// The time of the next wake; zero if none is registered. The mutex of the network's wake timer
	// guards it.
	wakeAt time.Time
}

// newConn creates a process's handle of an end. It returns nil if the process has ended.
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

// duplicate creates another process's handle of the same end, like passing a descriptor does.
func (c *Conn) duplicate(p *Process) *Conn { return newConn(c.end, p) }

func (c *Conn) state() (closed bool, read, write time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.readDeadline, c.writeDeadline, c.changed
}

// opError wraps an error as package net does. It returns io.EOF as it is.
func (c *Conn) opError(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// deadlineState reports whether a deadline has passed. If not, it returns the earlier one of the deadline
// and next as the time until which to wait. Zero times count as never.
func deadlineState(deadline, next time.Time) (until time.Time, passed bool) {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return deadline, true
	}
	if next.IsZero() || !deadline.IsZero() && deadline.Before(next) {
		return deadline, false
	}
	return next, false
}

// waitForChange waits for a change of the handle or of a stream, or until a time if that is not zero.
func (c *Conn) waitForChange(handle, stream <-chan struct{}, until time.Time) {
	if !until.IsZero() {
		c.end.connection.net.wakes.arm(c, until)
	}
	select {
	case <-handle:
	case <-stream:
	}
}

// wake makes all waiting calls check their condition again.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// read waits until something can be read, and reads it. Without consume the bytes stay unread.
func (c *Conn) read(b []byte, consume bool) (int, error) {
	return c.wait(func() (int, time.Time, <-chan struct{}, error) { return c.end.input.read(b, consume) })
}

// wait waits until a check of the stream returns anything but EAGAIN, and returns the result.
func (c *Conn) wait(check func() (n int, next time.Time, changed <-chan struct{}, err error)) (int, error) {
	for {
		closed, deadline, _, handleChanged := c.state()
		if closed {
			return 0, c.opError("read", net.ErrClosed)
		}
		if _, passed := deadlineState(deadline, time.Time{}); passed {
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		}
		n, next, changed, err := check()
		if !errors.Is(err, syscall.EAGAIN) {
			if err != nil {
				err = c.opError("read", err)
			}
			return n, err
		}
		until, _ := deadlineState(deadline, next)
		c.waitForChange(handleChanged, changed, until)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	return c.read(b, true)
}

// Await waits until a read would not block, and returns the error that the read would return.
func (c *Conn) Await() error {
	var b [1]byte
	_, err := c.read(b[:], false)
	return err
}

// AwaitEnd waits until the peer has closed its side or reset the connection. Unread bytes do not delay
// it.
func (c *Conn) AwaitEnd() error {
	_, err := c.wait(c.end.input.awaitEnd)
	return err
}

// Ended reports whether the peer has closed its side or reset the connection, or this handle is closed.
// Package http1 waits for connections by this method.
func (c *Conn) Ended() bool {
	closed, _, _, _ := c.state()
	_, _, _, err := c.end.input.awaitEnd()
	return closed || !errors.Is(err, syscall.EAGAIN)
}

// Peek returns 1 if a byte can be read, 0 at the end of the stream, and the error EAGAIN if nothing has
// arrived yet.
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
		closed, _, deadline, handleChanged := c.state()
		c.end.mu.Lock()
		finSent := c.end.finSent
		c.end.mu.Unlock()
		if closed || finSent {
			return n, c.opError("write", net.ErrClosed)
		}
		if _, passed := deadlineState(deadline, time.Time{}); passed {
			return n, c.opError("write", os.ErrDeadlineExceeded)
		}
		unread, _, _, readErr := c.end.input.read(make([]byte, 1), false)
		if unread == 0 && readErr != nil && !errors.Is(readErr, io.EOF) && !errors.Is(readErr, syscall.EAGAIN) {
			return n, c.opError("write", os.NewSyscallError("write", syscall.ECONNRESET))
		}
		space, changed := to.input.space()
		if space <= 0 {
			until, _ := deadlineState(deadline, time.Time{})
			c.waitForChange(handleChanged, changed, until)
			continue
		}
		to.mu.Lock()
		peerClosed := to.closed
		to.mu.Unlock()
		if peerClosed {
			// A closed socket answers data with a reset, which arrives a round trip later.
			c.end.input.add(segment{kind: rst}, 2*c.end.connection.net.delay(), 0)
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
	alreadySent := c.end.finSent
	c.end.finSent = true
	c.end.mu.Unlock()
	if !alreadySent {
		c.end.send(nil, fin)
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

// Close closes the handle. The close of the last handle closes this end of the connection.
func (c *Conn) Close() error {
	if !c.markClosed() {
		return c.opError("close", net.ErrClosed)
	}
	c.process.unregister(c)
	c.end.releaseHandle(false)
	return nil
}

// kill closes the handle when its process is killed. The close of the last handle then resets the
// connection.
func (c *Conn) kill() {
	if c.markClosed() {
		c.end.releaseHandle(true)
	}
}

// markClosed marks the handle as closed and reports whether it was open.
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

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.end.addr }

// RemoteAddr returns the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.end.peer().addr }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when a read times out. The zero time stands for never.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.readDeadline, t) }

// SetWriteDeadline sets when a write times out. The zero time stands for never.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

func (c *Conn) setDeadline(deadline *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	*deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}
