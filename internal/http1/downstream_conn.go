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

// connState is the progress of the request that a downstream connection carries. doc.go has the
// table of transitions.
type connState int

const (
	// Accepted; no byte of a request has been received.
	stateNew connState = iota
	// The last request is answered and nothing of the next one has been received.
	stateIdle
	// Part of a request has been received.
	stateReading
	// A request has been read and its answer is awaited.
	stateServing
	// A streamed response is being relayed.
	stateStreaming
	// The last answer is written; input is discarded until the client closes.
	stateLingering
	// The number of states.
	connStates
)

// downstreamConn is a connection from a client. One goroutine at a time reads it; the tracker may
// interrupt that read by a deadline, or close the connection.
type downstreamConn struct {
	net.Conn
	tracker *connTracker
	// connTracker.mu guards state to stream.
	state connState
	// The connection's place in the tracker's list of its state; nil once the connection is no longer
	// tracked.
	element *list.Element
	// When the connection was accepted, or when its last request was answered.
	since time.Time
	// The connection was accepted beyond the limit: its request is rejected.
	overLimit bool
	// The upload or relay in progress on the connection that can be transferred to the successor; nil
	// for none.
	stream transferable
	// Bytes that the predecessor has read from the connection. Read returns them first.
	readAhead []byte

	// When a byte was last received, in Unix nanoseconds.
	lastReceived atomic.Int64
	// A body is being read: it has to come at minBodyRate. Only the reading goroutine uses this field
	// and rateCredit.
	rateEnforced bool
	// How long the body may make no progress.
	rateCredit time.Duration
	// Nobody needs the rest of the body: reads end with errBodyAbandoned.
	bodyAbandoned atomic.Bool
	// The upload that reads the body is to pause: reads end with errPaused and may be resumed.
	pauseRequested atomic.Bool
	// The process ends: a request that has not been received completely is not waited for.
	readAborted atomic.Bool
	// The connection was offered to a successor that did not take it in time, and that may hold a copy
	// of the socket until it exits.
	maybeShared atomic.Bool
}

// transferable is an upload or a relay that can be transferred to the successor while it is in
// progress. Calls to interrupt never block.
type transferable interface{ interrupt() }

// restingState is the state of a connection whose requests are all answered. With input that has
// already been read into memory it is stateReading: nothing of that input shows at the socket, and
// as an idle connection it would be closed with a request unanswered.
func (c *downstreamConn) restingState(r *bufio.Reader) connState {
	if len(c.readAhead) == 0 && (r == nil || r.Buffered() == 0) {
		return stateIdle
	}
	c.lastReceived.Store(time.Now().UnixNano())
	return stateReading
}

// hasInput reports whether the socket has received bytes that have not been read.
func (c *downstreamConn) hasInput() bool {
	n, _ := peekConn(c.Conn)
	return n > 0
}

// closeSocket closes the connection. A successor may have a copy of its socket, and close(2) alone
// sends no FIN while a copy is open: the client would go on to send requests that nobody reads. The
// half-close sends the FIN.
func (c *downstreamConn) closeSocket() {
	if tcp, ok := c.Conn.(tcpConn); ok && c.maybeShared.Load() {
		_ = tcp.CloseWrite() // fails only where the connection has ended
	}
	c.Conn.Close()
}

// awaitRequest waits until input has been received or the deadline has passed. Input that was
// received when the wait ends is a success even if the deadline was set by connTracker.expire: to
// close at this moment would lose the request.
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

// beginRequest moves the connection to stateReading. It returns the deadline for the head of the
// request, and whether the connection was accepted beyond the limit.
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

// finishRequest notes that the request is answered, and returns the deadline for the next one. The
// argument is the reader that read the request, or nil.
func (c *downstreamConn) finishRequest(r *bufio.Reader) (until time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.since = time.Now()
	c.stream = nil
	c.tracker.setState(c, c.restingState(r))
	return c.since.Add(idleTimeout)
}

// terminate closes the connection and stops tracking it.
func (c *downstreamConn) terminate() {
	c.closeSocket()
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.remove(c)
}

const (
	// minBodyRate is the rate in bytes per second at which a client has to send a body. A client below
	// the rate uses up its credit: initialRateCredit at the start, and the time by which it is ahead of
	// the rate, up to maxRateCredit.
	minBodyRate       = 48 << 10
	initialRateCredit = 2 * time.Second
	maxRateCredit     = 2 * time.Second
	// readGrace is the time to read input that was received while the goroutine of the connection was
	// not scheduled.
	readGrace = 200 * time.Millisecond
)

// enforceRate begins to enforce minBodyRate on the body that is read next.
func (c *downstreamConn) enforceRate() {
	c.rateEnforced, c.rateCredit = true, initialRateCredit
	c.bodyAbandoned.Store(false)
}

// Read implements io.Reader. While a body is read, the time that Read waits for the client counts
// against the client's rate; the time between two calls, when this process is not ready for more,
// does not.
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
	// errBodyAbandoned ends a read of a body after abandonBody.
	errBodyAbandoned = errors.New("the rest of the body is not wanted")
	// errPaused ends a read of a body that is paused for a transfer.
	errPaused = errors.New("the reading of the body is to stop for a moment")
)

// abandonBody ends the reading of the body. It may be called from another goroutine.
func (c *downstreamConn) abandonBody() {
	c.bodyAbandoned.Store(true)
	c.Conn.SetReadDeadline(time.Now())
}

// lingerTimeout bounds the time in stateLingering.
const lingerTimeout = 500 * time.Millisecond

// lingeringClose half-closes the connection and discards input until the client closes its side or
// lingerTimeout has passed. A close with unread input would send a reset, and the reset would
// destroy the answer in the client's receive buffer (RFC 9112, section 9.6).
func (c *downstreamConn) lingeringClose() {
	c.tracker.mu.Lock()
	c.tracker.setState(c, stateLingering)
	c.tracker.mu.Unlock()
	tcp, ok := c.Conn.(tcpConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcp) // any error ends the connection
}

// beginServing notes that the request has been read, and returns the number of idle connections.
func (c *downstreamConn) beginServing() (idles int) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.setState(c, stateServing)
	return c.tracker.byState[stateIdle].Len()
}

// beginStreaming notes that a streamed response is being relayed.
func (c *downstreamConn) beginStreaming(l *relay) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = l
	c.tracker.setState(c, stateStreaming)
}

// setStream sets the transferable upload or relay of the connection; nil for none.
func (c *downstreamConn) setStream(stream transferable) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = stream
}

// watchHangup sends on the returned channel once the client has closed its side or reset the
// connection, even behind unread bytes of a pipelined request. The channel holds one value, so that
// the goroutine ends when nobody receives. It ends with the connection's read deadline or close at
// the latest.
func (c *downstreamConn) watchHangup() <-chan error {
	c.Conn.SetReadDeadline(time.Time{})
	hungUp := make(chan error, 1)
	go func() { hungUp <- awaitEnd(c.Conn) }()
	return hungUp
}

// hasHungUp reports whether the client has closed its side or reset the connection, even behind
// unread bytes. It does not block.
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

// stopWatching ends a watch. The connection may be read again after it.
func (c *downstreamConn) stopWatching(hungUp <-chan error) {
	c.Conn.SetReadDeadline(time.Now())
	<-hungUp //nolint:errcheck // the deadline, or a hang-up that the next read shows again
}
