package http1

import (
	"container/list"
	"net"
	"sync"
	"time"

	"dykering/internal/core"
)

// connTracker accepts downstream connections, bounds their number and has a list of them for each
// state. Accepting never waits for a connection to end: a connection in the backlog may already
// hold a request.
type connTracker struct {
	net.Listener
	// Connections beyond the limit are accepted only to reject their request, up to core.ExcessSockets
	// of them.
	limit int

	mu sync.Mutex
	// Connections in all lists of byState.
	open int
	// Lists of *downstreamConn. The one that has been in its state longest is first.
	byState [connStates]list.List
	// How many connections have entered each state so far.
	entered      [connStates]uint64
	lastAccepted time.Time // when the last connection came
}

const (
	// stallTimeout is how long a partly received request may make no progress before its connection
	// may be evicted for a new one. A slow client goes on sending; clients of a connection flood send
	// once.
	stallTimeout = 700 * time.Millisecond
	// minBodyRate is the rate in bytes per second at which a client has to send a body. A client below
	// the rate uses up its credit: initialRateCredit at the start, and the time by which it is ahead
	// of the rate, up to maxRateCredit.
	minBodyRate       = 48 << 10
	initialRateCredit = 2 * time.Second
	maxRateCredit     = 2 * time.Second
	// readGrace is the time to read input that was received while the goroutine of the connection was
	// not scheduled.
	readGrace = 200 * time.Millisecond
)

// accept returns the next connection that is admitted. Connections beyond the limit and the excess
// are closed.
func (cs *connTracker) accept() (*downstreamConn, error) {
	for {
		raw, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &downstreamConn{Conn: raw, tracker: cs, since: time.Now()}
		if cs.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// closeListener ends accepting. It does not wait for an accept(2) that blocks: the mode of a socket
// is shared by all processes that have a copy, and one that hands its copy on (as os/exec does with
// ExtraFiles) makes it blocking for all. A connection that such an accept still returns is served
// or transferred like the earlier ones.
func (cs *connTracker) closeListener() {
	closed := make(chan struct{})
	go func() {
		cs.Listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(shutdownPollInterval):
	}
}

// admit tracks a new connection. At the limit it evicts another connection for it. Where none can
// be evicted, the new connection is admitted as overLimit and its request is rejected, for to close
// the connection would lose the request. It reports false beyond the limit and the excess.
func (cs *connTracker) admit(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastAccepted = c.since
	if cs.open >= cs.limit && !cs.evictOne(c.since) {
		if cs.open >= cs.limit+core.OverflowSockets {
			return false
		}
		c.overLimit = true
	}
	cs.open++
	c.element = cs.byState[stateNew].PushBack(c)
	cs.entered[stateNew]++
	return true
}

// adopt tracks a connection of the predecessor. It reports false at the limit.
func (cs *connTracker) adopt(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open >= cs.limit {
		return false
	}
	cs.lastAccepted = c.since
	cs.open++
	c.state = c.restingState(nil)
	c.element = cs.byState[c.state].PushBack(c)
	return true
}

// evictOne closes one connection: first those that have sent nothing, then those that have had
// their last answer, then idle ones, whose clients can send a request that crosses the close on
// another connection, and last those whose request makes no progress. A connection with unread
// input is never closed.
func (cs *connTracker) evictOne(now time.Time) bool {
	for _, stage := range []connState{stateNew, stateLingering, stateIdle} {
		for at := cs.byState[stage].Front(); at != nil; at = at.Next() {
			if c := at.Value.(*downstreamConn); !c.hasInput() {
				cs.evict(c)
				return true
			}
		}
	}
	for at := cs.byState[stateReading].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*downstreamConn); now.UnixNano()-c.lastReceived.Load() > int64(stallTimeout) && !c.hasInput() {
			cs.evict(c)
			return true
		}
	}
	return false
}

// expire ends the connections that have been idle or new for the given times. It ends the wait for
// a request, not the connection: a request that is received at this moment is served, so no close
// crosses it.
func (cs *connTracker) expire(idleFor, muteFor time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	for stage, least := range map[connState]time.Duration{stateIdle: idleFor, stateNew: muteFor} {
		for at := cs.byState[stage].Front(); at != nil; at = at.Next() {
			c := at.Value.(*downstreamConn)
			if now.Sub(c.since) < least {
				break // the others are younger
			}
			c.Conn.SetReadDeadline(now) // its goroutine closes it then
		}
	}
}

// evict closes a connection and stops tracking it; its goroutine finds out at its next read.
func (cs *connTracker) evict(c *downstreamConn) {
	c.closeSocket()
	cs.remove(c)
}

// remove stops tracking a connection. It does nothing for one that is not tracked.
func (cs *connTracker) remove(c *downstreamConn) {
	if c.element != nil {
		cs.byState[c.state].Remove(c.element)
		c.element = nil
		cs.open--
	}
}

// setState moves a connection to the end of a state's list. It does nothing for one that is not
// tracked.
func (cs *connTracker) setState(c *downstreamConn, to connState) {
	if c.element != nil {
		cs.byState[c.state].Remove(c.element)
		c.state = to
		c.element = cs.byState[to].PushBack(c)
		cs.entered[to]++
	}
}

// interruptStreams asks all uploads and relays to pause and to transfer themselves to the
// successor.
func (cs *connTracker) interruptStreams() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range []connState{stateServing, stateStreaming} {
		for at := cs.byState[stage].Front(); at != nil; at = at.Next() {
			if p := at.Value.(*downstreamConn).stream; p != nil {
				p.interrupt()
			}
		}
	}
}

// onlyAnswering reports whether all connections are served an answer or have had their last one.
func (cs *connTracker) onlyAnswering() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == cs.byState[stateStreaming].Len()+cs.byState[stateServing].Len()+cs.byState[stateLingering].Len()
}

// emptyFor reports whether no connection is open and none has been accepted for the given time.
func (cs *connTracker) emptyFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.lastAccepted) >= d
}

// abortReads ends the reading of partly received requests, which are rejected at once, when the
// process ends. Their connections end by a lingering close: an immediate one would destroy the
// answer.
func (cs *connTracker) abortReads() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at := cs.byState[stateReading].Front(); at != nil; at = at.Next() {
		c := at.Value.(*downstreamConn)
		c.readAborted.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeInStates closes the connections in the given states. No complete request has been received
// on them.
func (cs *connTracker) closeInStates(in ...connState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range in {
		for cs.byState[stage].Len() > 0 {
			cs.evict(cs.byState[stage].Front().Value.(*downstreamConn))
		}
	}
}
