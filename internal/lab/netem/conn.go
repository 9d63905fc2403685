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

// Conn is a process's handle of a connection's end.
type Conn struct {
	end     *end
	process *Process

	mu      sync.Mutex
	closed  bool
	read    time.Time // deadlines
	write   time.Time
	changed chan struct{} // closed when these change
	armed   time.Time     // when it is woken; the network's wakes' mutex guards it
}

// newConn makes a handle; nil where the process has ended.
func newConn(e *end, p *Process) *Conn {
	c := &Conn{end: e, process: p, changed: make(chan struct{})}
	e.mu.Lock()
	e.refs++
	e.mu.Unlock()
	if !p.own(c) {
		return nil
	}
	return c
}

// give makes another process's handle of what a handle has: what passing a descriptor is.
func (c *Conn) give(p *Process) *Conn { return newConn(c.end, p) }

func (c *Conn) state() (closed bool, read, write time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.read, c.write, c.changed
}

func (c *Conn) fault(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// passed tells whether a deadline has, and until when to wait else.
func passed(deadline, next time.Time) (until time.Time, over bool) {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return deadline, true
	}
	if next.IsZero() || !deadline.IsZero() && deadline.Before(next) {
		return deadline, false
	}
	return next, false
}

// rest waits for a change of the handle or of a stream, or until a moment; the zero time is none.
func (c *Conn) rest(mine, stream <-chan struct{}, until time.Time) {
	if !until.IsZero() {
		c.end.line.net.wakes.arm(c, until)
	}
	select {
	case <-mine:
	case <-stream:
	}
}

// poke has whoever waits look again.
func (c *Conn) poke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// take reads, or waits until something can be read.
func (c *Conn) take(b []byte, take bool) (int, error) {
	return c.wait(func() (int, time.Time, <-chan struct{}, error) { return c.end.in.look(b, take) })
}

// wait waits until a look at the stream tells something.
func (c *Conn) wait(look func() (n int, next time.Time, changed <-chan struct{}, err error)) (int, error) {
	for {
		closed, deadline, _, mine := c.state()
		if closed {
			return 0, c.fault("read", net.ErrClosed)
		}
		if _, over := passed(deadline, time.Time{}); over {
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		}
		n, next, changed, err := look()
		if !errors.Is(err, syscall.EAGAIN) {
			if err != nil {
				err = c.fault("read", err)
			}
			return n, err
		}
		until, _ := passed(deadline, next)
		c.rest(mine, changed, until)
	}
}

// Read reads.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	return c.take(b, true)
}

// Await waits until a read would not, and tells its error.
func (c *Conn) Await() error {
	var b [1]byte
	_, err := c.take(b[:], false)
	return err
}

// AwaitEnd waits until the peer has closed its side or reset the connection, whatever stands unread before that.
func (c *Conn) AwaitEnd() error {
	_, err := c.wait(c.end.in.ending)
	return err
}

// Ended tells whether it has, or this side has closed.
func (c *Conn) Ended() bool {
	closed, _, _, _ := c.state()
	_, _, _, err := c.end.in.ending()
	return closed || !errors.Is(err, syscall.EAGAIN)
}

// Peek tells how many bytes of one are there; EAGAIN says none, and 0 without an error the end.
func (c *Conn) Peek() (int, error) {
	var b [1]byte
	closed, _, _, _ := c.state()
	if closed {
		return -1, net.ErrClosed
	}
	n, _, _, err := c.end.in.look(b[:], false)
	if errors.Is(err, io.EOF) {
		return 0, nil
	}
	if err != nil {
		return -1, err
	}
	return n, nil
}

// Write writes. It waits while the buffers are full.
func (c *Conn) Write(b []byte) (n int, err error) {
	to := c.end.peer()
	for n < len(b) {
		closed, _, deadline, mine := c.state()
		c.end.mu.Lock()
		fin := c.end.fin
		c.end.mu.Unlock()
		if closed || fin {
			return n, c.fault("write", net.ErrClosed)
		}
		if _, over := passed(deadline, time.Time{}); over {
			return n, c.fault("write", os.ErrDeadlineExceeded)
		}
		if k, _, _, err := c.end.in.look(make([]byte, 1), false); k == 0 && err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EAGAIN) {
			return n, c.fault("write", os.NewSyscallError("write", syscall.ECONNRESET))
		}
		room, changed := to.in.room()
		if room <= 0 {
			until, _ := passed(deadline, time.Time{})
			c.rest(mine, changed, until)
			continue
		}
		to.mu.Lock()
		gone := to.over
		to.mu.Unlock()
		if gone {
			// What comes to a closed socket is answered with a reset, a way there and back later.
			c.end.in.add(segment{what: rst}, 2*c.end.line.net.delay(), 0)
			return len(b), nil
		}
		k := min(room, len(b)-n)
		c.end.send(append([]byte(nil), b[n:n+k]...), data)
		n += k
	}
	return n, nil
}

// CloseWrite ends what is sent, and goes on reading.
func (c *Conn) CloseWrite() error {
	c.end.mu.Lock()
	done := c.end.fin
	c.end.fin = true
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
	if !c.shut() {
		return c.fault("close", net.ErrClosed)
	}
	c.process.disown(c)
	c.end.drop(false)
	return nil
}

// die is the end of its process.
func (c *Conn) die() {
	if c.shut() {
		c.end.drop(true)
	}
}

// shut ends the handle, once.
func (c *Conn) shut() bool {
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
func (c *Conn) SetReadDeadline(t time.Time) error { return c.set(&c.read, t) }

// SetWriteDeadline sets when a write times out; the zero time is never.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(&c.write, t) }

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
