package http1

import (
	"container/list"
	"net"
	"sync"
	"time"

	"dykering/internal/core"
)

// connTracker accepts downstream connections, bounds their number and keeps a list of them for each
// state. It never waits for a connection to end before it accepts the next one, because a connection
// in the backlog may already hold a request.
type connTracker struct {
	net.Listener
	// The number of connections that are served. Up to core.OverflowSockets more are accepted only to
	// reject their request.
	limit int

	mu sync.Mutex
	// The number of connections in all lists of byState.
	open int
	// Lists of *downstreamConn, ordered by the time at which the connections entered the state.
	byState [connStates]list.List
	// How many connections have entered each state so far.
	entered [connStates]uint64
	// When a connection was last accepted from a client or received from the predecessor.
	lastAccepted time.Time
}

// stallTimeout is how long a partly received request may make no progress before its connection may
// be evicted for a new one. A slow client keeps sending within this time, while the clients of a
// connection flood send once.
const stallTimeout = 700 * time.Millisecond

// accept returns the next connection that is admitted. It closes those that admit refuses.
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

// closeListener ends accepting. It does not wait for an accept(2) that blocks. All processes with a
// copy of a socket share its blocking mode, and a process that passes its copy on (as os/exec does
// with ExtraFiles) makes the socket blocking for all of them. A connection that such an accept still
// returns is served or transferred like the earlier ones.
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

// admit tracks a new connection and reports whether it is accepted. At the limit it evicts another
// connection first. If none can be evicted, the new connection is marked overLimit and its request is
// rejected with an answer, because a close would lose the request. With core.OverflowSockets
// connections beyond the limit, admit refuses the new one.
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

// adopt tracks a connection received from the predecessor. It reports false at the limit.
func (t *connTracker) adopt(c *downstreamConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open >= t.limit {
		return false
	}
	t.lastAccepted = c.since
	t.open++
	c.state = c.waitingState(nil)
	c.element = t.byState[c.state].PushBack(c)
	return true
}

// evictOne closes one connection and reports whether there was one to close. It prefers new
// connections that have sent nothing, then lingering ones, then idle ones, then those whose request
// makes no progress. The client of an idle connection can repeat a request that crosses the close on
// another connection. A connection with unread input is not closed, unless its last answer is written.
func (t *connTracker) evictOne(now time.Time) bool {
	for _, state := range []connState{stateNew, stateLingering, stateIdle} {
		for element := t.byState[state].Front(); element != nil; element = element.Next() {
			if c := element.Value.(*downstreamConn); state == stateLingering || !c.hasInput() {
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

// expire ends the connections that have been idle for idleFor or new for newFor. It ends their wait
// for a request instead of closing them, so that a request that is received at this moment is served.
func (t *connTracker) expire(idleFor, newFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for state, minimum := range map[connState]time.Duration{stateIdle: idleFor, stateNew: newFor} {
		for element := t.byState[state].Front(); element != nil; element = element.Next() {
			c := element.Value.(*downstreamConn)
			if now.Sub(c.since) < minimum {
				break // later connections in the list have waited less
			}
			c.Conn.SetReadDeadline(now) // ends awaitRequest, after which the goroutine closes the connection
		}
	}
}

// evict closes a connection and stops tracking it. The goroutine of the connection ends at its next
// read.
func (t *connTracker) evict(c *downstreamConn) {
	c.closeSocket()
	t.remove(c)
}

// remove stops tracking a connection. It does nothing if the connection is not tracked.
func (t *connTracker) remove(c *downstreamConn) {
	if c.element != nil {
		t.byState[c.state].Remove(c.element)
		c.element = nil
		t.open--
	}
}

// setState moves a connection to the end of a state's list. It does nothing if the connection is not
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

// onlyAnswering reports whether all connections are serving, streaming or lingering, so that no
// request is awaited or read on any of them.
func (t *connTracker) onlyAnswering() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == t.byState[stateStreaming].Len()+t.byState[stateServing].Len()+t.byState[stateLingering].Len()
}

// emptyFor reports whether no connection is open and the last one was accepted at least the given
// time ago.
func (t *connTracker) emptyFor(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open == 0 && time.Since(t.lastAccepted) >= d
}

// abortReads ends the reading of partly received requests when the process ends. The requests are
// rejected at once, and their connections end with a lingering close, because an immediate close
// could discard the answer.
func (t *connTracker) abortReads() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for element := t.byState[stateReading].Front(); element != nil; element = element.Next() {
		c := element.Value.(*downstreamConn)
		c.readAborted.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeInStates closes the connections in the given states. It is called only with states in which no
// complete request has been received.
func (t *connTracker) closeInStates(states ...connState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range states {
		for t.byState[state].Len() > 0 {
			t.evict(t.byState[state].Front().Value.(*downstreamConn))
		}
	}
}
