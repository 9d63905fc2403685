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

// connState is how far the request has come that a caller's connection is to bring.
type connState int

const (
	stateNew       connState = iota // new, and has said nothing
	stateIdle                       // its last request is answered
	stateReading                    // some of a request has come
	stateServing                    // a request has been read
	stateStreaming                  // a long answer is on its way
	stateLingering                  // it has had its last answer, and is read until its caller closes it
	connStates
)

// downstreamConn is a connection from a caller. One goroutine reads it at a time.
type downstreamConn struct {
	net.Conn
	tracker   *connTracker
	state     connState // callers.mu guards these
	element   *list.Element
	since     time.Time    // when the request that it brings began, or its connection, or its rest
	overLimit bool         // it came when there was no room
	stream    transferable // the long body or answer that is on its way; nil for none
	readAhead []byte       // what the process before has read of it

	lastReceived   atomic.Int64  // when something last came, in Unix nanoseconds
	rateEnforced   bool          // a body is read: its pace is watched
	rateCredit     time.Duration // how long the body may make no progress
	bodyAbandoned  atomic.Bool   // nobody wants the rest of the body
	pauseRequested atomic.Bool   // the body's reading is to stop, and may go on
	readAborted    atomic.Bool   // what has not come whole is waited for no longer
	maybeShared    atomic.Bool   // to a successor that has not taken it, and may have a copy of the socket until it ends
}

// transferable is what can be passed on to the successor while it is on its way.
type transferable interface{ interrupt() }

// restingState is the stage of a connection on which nothing is owed: one of which a request, or some of it, has been read
// already is in nobody's way, though nothing of it shows at its socket.
func (c *downstreamConn) restingState(r *bufio.Reader) connState {
	if len(c.readAhead) == 0 && (r == nil || r.Buffered() == 0) {
		return stateIdle
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return stateReading
}

// hasInput tells whether something has come that its handler has not yet been able to read.
func (c *downstreamConn) hasInput() bool {
	n, _ := peekConn(c.Conn)
	return n > 0
}

// closeSocket closes a connection. Where another process may have a copy of its socket, that alone would tell the caller nothing,
// which would go on to send where nobody reads.
func (c *downstreamConn) closeSocket() {
	if tcp, ok := c.Conn.(tcpConn); ok && c.maybeShared.Load() {
		tcp.CloseWrite()
	}
	c.Conn.Close()
}

// awaitRequest waits until something has come, for a while. What has come when the wait ends is not left unread, even
// if the wait was ended by the connection's being retired.
func (c *downstreamConn) awaitRequest(until time.Time) error {
	if len(c.readAhead) > 0 {
		return nil
	}
	c.Conn.SetReadDeadline(until)
	err := awaitInput(c.Conn)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasInput() {
		return nil
	}
	return err
}

// beginRequest notes that a request begins, and tells how long its head may take.
func (c *downstreamConn) beginRequest() (until time.Time, over bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	now := time.Now()
	until = now.Add(headTimeout)
	if first := c.since.Add(firstHeadTimeout); c.state == stateNew && first.Before(until) {
		until = first
	}
	c.lastReceived.Store(now.UnixNano())
	c.tracker.setState(c, stateReading)
	return until, c.overLimit
}

// finishRequest notes that the request is answered; r is what has read it.
func (c *downstreamConn) finishRequest(r *bufio.Reader) (until time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.since = time.Now()
	c.stream = nil
	c.tracker.setState(c, c.restingState(r))
	return c.since.Add(idleTimeout)
}

// terminate ends the connection.
func (c *downstreamConn) terminate() {
	c.closeSocket()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.remove(c)
}

// enforceRate begins to watch how fast a body comes.
func (c *downstreamConn) enforceRate() {
	c.rateEnforced, c.rateCredit = true, initialRateCredit
	c.bodyAbandoned.Store(false)
}

// Read reads. Of a body, time that the caller takes counts, and time that passes until more is wanted does not.
func (c *downstreamConn) Read(b []byte) (n int, err error) {
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	for {
		began := time.Now()
		if c.rateEnforced {
			c.Conn.SetReadDeadline(began.Add(c.rateCredit))
		}
		if c.readAborted.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.rateEnforced {
			if c.bodyAbandoned.Load() {
				return 0, errBodyAbandoned
			}
			if c.pauseRequested.Load() {
				return 0, errPaused
			}
		}
		n, err = c.Conn.Read(b)
		if n > 0 {
			c.lastReceived.Store(time.Now().UnixNano())
		}
		if c.rateEnforced {
			c.rateCredit = min(c.rateCredit-time.Since(began)+time.Duration(n)*time.Second/minBodyRate, maxRateCredit)
		}
		if c.rateEnforced && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.pauseRequested.Load() {
			return 0, errPaused
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.bodyAbandoned.Load() || !c.hasInput() {
			return n, err
		}
		if c.rateCredit = max(c.rateCredit, readGrace); !c.rateEnforced {
			c.Conn.SetReadDeadline(time.Now().Add(readGrace))
		}
	}
}

var (
	errBodyAbandoned = errors.New("the rest of the body is not wanted")
	errPaused        = errors.New("the reading of the body is to stop for a moment")
)

// abandonBody ends the reading of a body from another goroutine.
func (c *downstreamConn) abandonBody() {
	c.bodyAbandoned.Store(true)
	c.Conn.SetReadDeadline(time.Now())
}

// lingerTimeout is how long a caller may take to read the answer that was the last on its connection.
const lingerTimeout = 500 * time.Millisecond

// lingeringClose lets a caller that may still be sending read its answer: to close while something is unread would
// take the answer from it.
func (c *downstreamConn) lingeringClose() {
	c.tracker.mu.Lock()
	c.tracker.setState(c, stateLingering)
	c.tracker.mu.Unlock()
	tcp, ok := c.Conn.(tcpConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, tcp) // whatever ends it
}

// beginServing notes that a request has come whole, and tells how many connections stand idle beside its own.
func (c *downstreamConn) beginServing() (idles int) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.setState(c, stateServing)
	return c.tracker.byState[stateIdle].Len()
}

// beginStreaming notes that a long answer is on its way.
func (c *downstreamConn) beginStreaming(l *relay) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = l
	c.tracker.setState(c, stateStreaming)
}

// setStream notes what is on its way on the connection, that can be passed on.
func (c *downstreamConn) setStream(p transferable) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = p
}

// watchHangup tells when a caller has gone, also behind what it has sent beyond its request.
func (c *downstreamConn) watchHangup() <-chan error {
	c.Conn.SetReadDeadline(time.Time{})
	hungUp := make(chan error, 1)
	go func() { hungUp <- awaitEnd(c.Conn) }()
	return hungUp
}

// hasHungUp tells whether the caller has, whatever of it stands unread.
func (c *downstreamConn) hasHungUp() (hungUp bool) {
	if p, ok := c.Conn.(peeker); ok {
		return p.Ended()
	}
	if sys, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			return raw.Control(func(fd uintptr) { hungUp = socketHungUp(fd) }) != nil || hungUp
		}
	}
	return false
}

// stopWatching ends a watch; the connection may be read again.
func (c *downstreamConn) stopWatching(hungUp <-chan error) {
	c.Conn.SetReadDeadline(time.Now())
	<-hungUp
}
