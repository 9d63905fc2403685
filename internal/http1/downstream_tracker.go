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
	// Connections beyond the limit are accepted only to reject their request, up to core.OverflowSockets
	// of them.
	limit int

	mu sync.Mutex
	// Connections in all lists of byState.
	open int
	// Lists of *downstreamConn. The one that has been in its state longest is first.
	byState [connStates]list.List
	// How many connections have entered each state so far.
	entered      [connStates]uint64
	lastAccepted time.Time // of a client or the predecessor
}

// stallTimeout is how long a partly received request may make no progress before its connection may
// be evicted for a new one. A slow client goes on sending; clients of a connection flood send once.
const stallTimeout = 700 * time.Millisecond

// accept returns the next connection that is admitted. Connections beyond the limit and the excess
// are closed.
func (t *connTracker) accept() (*downstreamConn, error) {
	for {
		raw, err := t.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &downstreamConn{Conn: raw, tracker: t, since: time.Now()}
		if t.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// closeListener ends accepting. It does not wait for an accept(2) that blocks: the mode of a socket
// is shared by all processes that have a copy, and one that hands its copy on (as os/exec does with
// ExtraFiles) makes it blocking for all. A connection that such an accept still returns is served
// or transferred like the earlier ones.
func (t *connTracker) closeListener() {
	closed := make(chan struct{})
	go func() {
		t.Listener.Close()
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
func (t *connTracker) admit(c *downstreamConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAccepted = c.since
	if t.open >= t.limit && !t.evictOne(c.since) {
		if t.open >= t.limit+core.OverflowSockets {
			return false
		}
		c.overLimit = true
	}
	t.open++
	c.element = t.byState[stateNew].PushBack(c)
	t.entered[stateNew]++
	return true
}

// adopt tracks a connection of the predecessor. It reports false at the limit.
func (t *connTracker) adopt(c *downstreamConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit {
		return false
	}
	t.lastAccepted = c.since
	t.open++
	c.state = c.restingState(nil)
	c.element = t.byState[c.state].PushBack(c)
	return true
}

// evictOne closes one connection: first those that have sent nothing, then those that have had
// their last answer, then idle ones, whose clients can send a request that crosses the close on
// another connection, and last those whose request makes no progress. A connection with unread
// input is never closed.
func (t *connTracker) evictOne(now time.Time) bool {
	for _, state := range []connState{stateNew, stateLingering, stateIdle} {
		for element := t.byState[state].Front(); element != nil; element = element.Next() {
			if c := element.Value.(*downstreamConn); !c.hasInput() {
				t.evict(c)
				return true
			}
		}
	}
	for element := t.byState[stateReading].Front(); element != nil; element = element.Next() {
		if c := element.Value.(*downstreamConn); now.UnixNano()-c.lastReceived.Load() > int64(stallTimeout) && !c.hasInput() {
			t.evict(c)
			return true
		}
	}
	return false
}

// expire ends the connections that have been idle or new for the given times. It ends the wait for
// a request, not the connection: a request that is received at this moment is served, so no close
// crosses it.
func (t *connTracker) expire(idleFor, newFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for state, minimum := range map[connState]time.Duration{stateIdle: idleFor, stateNew: newFor} {
		for element := t.byState[state].Front(); element != nil; element = element.Next() {
			c := element.Value.(*downstreamConn)
			if now.Sub(c.since) < minimum {
				break // the rest of the list is younger
			}
			c.Conn.SetReadDeadline(now) // ends the goroutine's awaitRequest, and it closes the connection
		}
	}
}

// evict closes a connection and stops tracking it; its goroutine finds out at its next read.
func (t *connTracker) evict(c *downstreamConn) {
	c.closeSocket()
	t.remove(c)
}

// remove stops tracking a connection. It does nothing for one that is not tracked.
func (t *connTracker) remove(c *downstreamConn) {
	if c.element != nil {
		t.byState[c.state].Remove(c.element)
		c.element = nil
		t.open--
	}
}

// setState moves a connection to the end of a state's list. It does nothing for one that is not
// tracked.
func (t *connTracker) setState(c *downstreamConn, to connState) {
	if c.element != nil {
		t.byState[c.state].Remove(c.element)
		c.state = to
		c.element = t.byState[to].PushBack(c)
		t.entered[to]++
	}
}

// interruptStreams asks all uploads and relays to pause and to transfer themselves to the
// successor.
func (t *connTracker) interruptStreams() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range []connState{stateServing, stateStreaming} {
		for element := t.byState[state].Front(); element != nil; element = element.Next() {
			if stream := element.Value.(*downstreamConn).stream; stream != nil {
				stream.interrupt()
			}
		}
	}
}

// onlyAnswering reports whether all connections are served an answer or have had their last one.
func (t *connTracker) onlyAnswering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == t.byState[stateStreaming].Len()+t.byState[stateServing].Len()+t.byState[stateLingering].Len()
}

// emptyFor reports whether no connection is open and none has been accepted for the given time.
func (t *connTracker) emptyFor(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0 && time.Since(t.lastAccepted) >= d
}

// abortReads ends the reading of partly received requests, which are rejected at once, when the
// process ends. Their connections end by a lingering close: an immediate one would destroy the
// answer.
func (t *connTracker) abortReads() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for element := t.byState[stateReading].Front(); element != nil; element = element.Next() {
		c := element.Value.(*downstreamConn)
		c.readAborted.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeInStates closes the connections in the given states. No complete request has been received
// on them.
func (t *connTracker) closeInStates(in ...connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range in {
		for t.byState[state].Len() > 0 {
			t.evict(t.byState[state].Front().Value.(*downstreamConn))
		}
	}
}
