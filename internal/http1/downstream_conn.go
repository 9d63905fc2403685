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

// connState is the progress of the request that a downstream connection carries. The package
// documentation has the table of transitions.
type connState int

const (
	// The connection is accepted; no byte of a request has been received.
	stateNew connState = iota
	// The last request is answered; no byte of the next one has been received.
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
	// The fields from state to stream are guarded by connTracker.mu.
	state connState
	// The connection's place in the tracker's list of its state; nil once the connection is no longer
	// tracked.
	element *list.Element
	// When the connection was accepted, or when its last request was answered.
	since time.Time
	// The connection was accepted beyond the limit: its request is rejected.
	overLimit bool
	// The upload or relay in progress that can be transferred to the successor; nil if there is none.
	stream transferable
	// Bytes that the predecessor has read from the connection. Read returns them first.
	readAhead []byte

	// When a byte was last received, in Unix nanoseconds.
	lastReceived atomic.Int64
	// A body is being read, which the client has to send at minBodyRate. Only the reading goroutine
	// uses this field and rateCredit.
	rateEnforced bool
	// How long the client may send nothing of the body.
	rateCredit time.Duration
	// The rest of the body is not needed: reads end with errBodyAbandoned.
	bodyAbandoned atomic.Bool
	// The upload that reads the body has to pause: reads end with errPaused and may be resumed.
	pauseRequested atomic.Bool
	// The process ends: reads of a request that has not been received completely end at once.
	readAborted atomic.Bool
	// The connection was offered to a successor that did not accept it in time. The successor may hold
	// a copy of the socket until it exits.
	maybeShared atomic.Bool
}

// transferable is an upload or a relay that can be transferred to the successor while it is in
// progress.
type transferable interface {
	// interrupt asks the copy to pause and to transfer itself. It never blocks.
	interrupt()
}

// waitingState returns the state of a connection whose requests are all answered. If input has
// already been read into memory, that is stateReading. This input cannot be detected at the socket,
// so an idle connection would be closed with a request unanswered.
func (c *downstreamConn) waitingState(r *bufio.Reader) connState {
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

// closeSocket closes the connection. If a successor may have a copy of the socket, it half-closes the
// connection first, which sends the FIN. close(2) alone sends none while a copy is open, and the
// client would go on sending requests that no process reads.
func (c *downstreamConn) closeSocket() {
	if tcp, ok := c.Conn.(tcpConn); ok && c.maybeShared.Load() {
		_ = tcp.CloseWrite() // fails only if the connection has ended
	}
	c.Conn.Close()
}

// awaitRequest waits until input is received or the given time has passed. If connTracker.expire ends
// the wait earlier, input that has been received by then still counts: a close at this moment would
// lose the request.
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
// request, and whether the connection was accepted beyond the limit of connections.
func (c *downstreamConn) beginRequest() (until time.Time, overLimit bool) {
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

// finishRequest records that the request is answered, and returns the deadline for the next one. The
// reader is the one that read the request; it is nil if there is none.
func (c *downstreamConn) finishRequest(r *bufio.Reader) (until time.Time) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.since = time.Now()
	c.stream = nil
	c.tracker.setState(c, c.waitingState(r))
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
	// minBodyRate is the rate in bytes per second at which a client has to send a body. A client starts
	// with a credit of initialRateCredit. The credit decreases while the client is slower than the rate
	// and increases, up to maxRateCredit, while it is faster. Without credit the read times out.
	minBodyRate       = 48 << 10
	initialRateCredit = 2 * time.Second
	maxRateCredit     = 2 * time.Second
	// readGrace is the extra time to read input that arrived before the deadline while the goroutine of
	// the connection was not scheduled.
	readGrace = 200 * time.Millisecond
)

// enforceRate starts enforcing minBodyRate on the body that is read next.
func (c *downstreamConn) enforceRate() {
	c.rateEnforced, c.rateCredit = true, initialRateCredit
	c.bodyAbandoned.Store(false)
}

// Read implements io.Reader. While a body is read, the time that Read waits for the client uses up
// the client's credit. The time between two calls does not, because then this process is not ready
// for more input.
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
	errBodyAbandoned = errors.New("read of the request body stopped: the rest is not needed")
	// errPaused ends a read of a body that is paused for a transfer.
	errPaused = errors.New("read of the request body paused for a transfer to the successor")
)

// abandonBody ends the reading of the body. It may be called from another goroutine.
func (c *downstreamConn) abandonBody() {
	c.bodyAbandoned.Store(true)
	c.Conn.SetReadDeadline(time.Now())
}

// lingerTimeout bounds the time in stateLingering.
const lingerTimeout = 500 * time.Millisecond

// lingeringClose half-closes the connection and discards input until the client closes its side or
// lingerTimeout has passed. A close with unread input would send a reset, which discards the answer
// in the client's receive buffer (RFC 9112, section 9.6).
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

// beginServing records that the request has been read, and returns the number of idle connections.
func (c *downstreamConn) beginServing() (idleConns int) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.tracker.setState(c, stateServing)
	return c.tracker.byState[stateIdle].Len()
}

// beginStreaming records that a streamed response is being relayed.
func (c *downstreamConn) beginStreaming(l *relay) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = l
	c.tracker.setState(c, stateStreaming)
}

// setStream sets the upload or relay in progress that can be transferred; nil if there is none.
func (c *downstreamConn) setStream(stream transferable) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.stream = stream
}

// watchHangup starts a goroutine that sends on the returned channel once the client has closed its
// side or reset the connection, even if bytes of a pipelined request are unread. The goroutine also
// ends with the connection's read deadline or close. The channel has room for one value, so the
// goroutine ends without a receiver.
func (c *downstreamConn) watchHangup() <-chan error {
	c.Conn.SetReadDeadline(time.Time{})
	hungUp := make(chan error, 1)
	go func() { hungUp <- awaitEnd(c.Conn) }()
	return hungUp
}

// hasHungUp reports whether the client has closed its side or reset the connection, even if bytes
// are unread. It does not block.
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

// stopWatching ends a watch started by watchHangup. The connection may be read again after it.
func (c *downstreamConn) stopWatching(hungUp <-chan error) {
	c.Conn.SetReadDeadline(time.Now())
	<-hungUp //nolint:errcheck // the deadline, or a hang-up that the next read returns again
}
