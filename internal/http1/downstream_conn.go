package http1

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// stage is how far the request has come that a caller's connection is to bring.
type stage int

const (
	mute     stage = iota // new, and has said nothing
	idle                  // its last request is answered
	reading               // some of a request has come
	busy                  // a request has been read
	relaying              // a long answer is on its way
	leaving               // it has had its last answer, and is read until its caller closes it
	stages
)

// caller is a connection from a caller. One goroutine reads it at a time.
type caller struct {
	net.Conn
	callers *callers
	stage   stage // callers.mu guards these
	at      *list.Element
	began   time.Time // when the request that it brings began, or its connection, or its rest
	over    bool      // it came when there was no room
	passing passing   // the long body or answer that is on its way; nil for none
	input   []byte    // what the process before has read of it

	heard   atomic.Int64  // when something last came, in Unix nanoseconds
	paced   bool          // a body is read: its pace is watched
	credit  time.Duration // how long the body may make no progress
	stopped atomic.Bool   // nobody wants the rest of the body
	asked   atomic.Bool   // the body's reading is to stop, and may go on
	cut     atomic.Bool   // what has not come whole is waited for no longer
	offered atomic.Bool   // to a successor that has not taken it, and may have a copy of the socket until it ends
}

// passing is what can be passed on to the successor while it is on its way.
type passing interface{ interrupt() }

// resting is the stage of a connection on which nothing is owed: one of which a request, or some of it, has been read
// already is in nobody's way, though nothing of it shows at its socket.
func (c *caller) resting(r *bufio.Reader) stage {
	if len(c.input) == 0 && (r == nil || r.Buffered() == 0) {
		return idle
	}
	c.heard.Store(time.Now().UnixNano())
	return reading
}

// waiting tells whether something has come that its handler has not yet been able to read.
func (c *caller) waiting() bool {
	n, _ := peekConn(c.Conn)
	return n > 0
}

// shut closes a connection. Where another process may have a copy of its socket, that alone would tell the caller nothing,
// which would go on to send where nobody reads.
func (c *caller) shut() {
	if tcp, ok := c.Conn.(tcpConn); ok && c.offered.Load() {
		tcp.CloseWrite()
	}
	c.Conn.Close()
}

// await waits until something has come, for a while. What has come when the wait ends is not left unread, even
// if the wait was ended by the connection's being retired.
func (c *caller) await(until time.Time) error {
	if len(c.input) > 0 {
		return nil
	}
	c.Conn.SetReadDeadline(until)
	err := awaitInput(c.Conn)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.waiting() {
		return nil
	}
	return err
}

// begin notes that a request begins, and tells how long its head may take.
func (c *caller) begin() (until time.Time, over bool) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	now := time.Now()
	until = now.Add(readTimeout)
	if first := c.began.Add(firstTimeout); c.stage == mute && first.Before(until) {
		until = first
	}
	c.heard.Store(now.UnixNano())
	c.callers.move(c, reading)
	return until, c.over
}

// rest notes that the request is answered; r is what has read it.
func (c *caller) rest(r *bufio.Reader) (until time.Time) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.began = time.Now()
	c.passing = nil
	c.callers.move(c, c.resting(r))
	return c.began.Add(idleTimeout)
}

// end ends the connection.
func (c *caller) end() {
	c.shut()
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.forget(c)
}

// pace begins to watch how fast a body comes.
func (c *caller) pace() {
	c.paced, c.credit = true, bodyCredit
	c.stopped.Store(false)
}

// Read reads. Of a body, time that the caller takes counts, and time that passes until more is wanted does not.
func (c *caller) Read(b []byte) (n int, err error) {
	if len(c.input) > 0 {
		n := copy(b, c.input)
		c.input = c.input[n:]
		return n, nil
	}
	for {
		began := time.Now()
		if c.paced {
			c.Conn.SetReadDeadline(began.Add(c.credit))
		}
		if c.cut.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.paced {
			if c.stopped.Load() {
				return 0, errStopped
			}
			if c.asked.Load() {
				return 0, errAsked
			}
		}
		n, err = c.Conn.Read(b)
		if n > 0 {
			c.heard.Store(time.Now().UnixNano())
		}
		if c.paced {
			c.credit = min(c.credit-time.Since(began)+time.Duration(n)*time.Second/bodyPace, bodyAhead)
		}
		if c.paced && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.asked.Load() {
			return 0, errAsked
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.stopped.Load() || !c.waiting() {
			return n, err
		}
		if c.credit = max(c.credit, bodyChance); !c.paced {
			c.Conn.SetReadDeadline(time.Now().Add(bodyChance))
		}
	}
}

var (
	errStopped = errors.New("the rest of the body is not wanted")
	errAsked   = errors.New("the reading of the body is to stop for a moment")
)

// stop ends the reading of a body from another goroutine.
func (c *caller) stop() {
	c.stopped.Store(true)
	c.Conn.SetReadDeadline(time.Now())
}

// lingerFor is how long a caller may take to read the answer that was the last on its connection.
const lingerFor = 500 * time.Millisecond

// linger lets a caller that may still be sending read its answer: to close while something is unread would
// take the answer from it.
func (c *caller) linger() {
	c.callers.mu.Lock()
	c.callers.move(c, leaving)
	c.callers.mu.Unlock()
	tcp, ok := c.Conn.(tcpConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	tcp.SetReadDeadline(time.Now().Add(lingerFor))
	io.Copy(io.Discard, tcp) // whatever ends it
}

// served notes that a request has come whole, and tells how many connections stand idle beside its own.
func (c *caller) served() (idles int) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.move(c, busy)
	return c.callers.stages[idle].Len()
}

// relays notes that a long answer is on its way.
func (c *caller) relays(l *relay) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.passing = l
	c.callers.move(c, relaying)
}

// passes notes what is on its way on the connection, that can be passed on.
func (c *caller) passes(p passing) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.passing = p
}

// watch tells when a caller has gone, also behind what it has sent beyond its request.
func (c *caller) watch() <-chan error {
	c.Conn.SetReadDeadline(time.Time{})
	told := make(chan error, 1)
	go func() { told <- awaitEnd(c.Conn) }()
	return told
}

// gone tells whether the caller has, whatever of it stands unread.
func (c *caller) gone() (gone bool) {
	if p, ok := c.Conn.(peeker); ok {
		return p.Ended()
	}
	if sys, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			return raw.Control(func(fd uintptr) { gone = hungUp(fd) }) != nil || gone
		}
	}
	return false
}

// unwatch ends a watch; the connection may be read again.
func (c *caller) unwatch(told <-chan error) {
	c.Conn.SetReadDeadline(time.Now())
	<-told
}
