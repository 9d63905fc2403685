package http1

import (
	"container/list"
	"net"
	"sync"
	"time"

	"dykering/internal/core"
)

// connTracker bounds the connections from callers. Accepting never waits: a connection in the backlog may already
// hold a request.
type connTracker struct {
	net.Listener
	limit int

	mu           sync.Mutex
	open         int
	byState      [connStates]list.List // of *caller, the longest in its stage first
	entered      [connStates]uint64    // connections that have come so far
	lastAccepted time.Time             // when the last connection came
}

const (
	// stallTimeout is how long part of a request may bring nothing more before its connection is in the way of
	// others. A slow caller goes on writing; one of a crowd writes once.
	stallTimeout = 700 * time.Millisecond
	// minBodyRate is what a caller should send of a body, in bytes a second. Who falls behind has bodyCredit at the
	// start, and what it was ahead, up to bodyAhead.
	minBodyRate       = 48 << 10
	initialRateCredit = 2 * time.Second
	maxRateCredit     = 2 * time.Second
	// readGrace is for what has come while its reader could not run.
	readGrace = 200 * time.Millisecond
)

// accept takes the next connection in. It is never one that finds no room.
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

// closeListener ends accepting. It does not wait for an accept that hangs: whether a socket blocks is shared with all processes
// that have it, and one that hands it to another (as os/exec does with its ExtraFiles) makes it block for all. What such
// an accept still brings is served, or passed on, as what came before.
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

// admit makes room for a connection. Those that have said nothing go first, then those that are over, then idle ones,
// whose clients may send what crosses that on another, then those whose request takes long to come. If there are none,
// the new one's request is turned away, for to cut it off would lose it.
func (cs *connTracker) admit(c *downstreamConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastAccepted = c.since
	if cs.open >= cs.limit && !cs.evictOne(c.since) {
		if cs.open >= cs.limit+core.ExcessSockets {
			return false
		}
		c.overLimit = true
	}
	cs.open++
	c.element = cs.byState[stateNew].PushBack(c)
	cs.entered[stateNew]++
	return true
}

// adopt takes a connection of the process before in, if there is room.
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

// expire ends the connections that have been idle or mute for so long. It ends the wait for a request, not the
// connection: one that comes at this moment is read and served, so that no close crosses it.
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

// evict ends a connection; its handler sees that when it next reads.
func (cs *connTracker) evict(c *downstreamConn) {
	c.closeSocket()
	cs.remove(c)
}

func (cs *connTracker) remove(c *downstreamConn) {
	if c.element != nil {
		cs.byState[c.state].Remove(c.element)
		c.element = nil
		cs.open--
	}
}

// setState notes how far a connection has come.
func (cs *connTracker) setState(c *downstreamConn, to connState) {
	if c.element != nil {
		cs.byState[c.state].Remove(c.element)
		c.state = to
		c.element = cs.byState[to].PushBack(c)
		cs.entered[to]++
	}
}

// interruptStreams asks for all long bodies and answers to be passed on.
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

// onlyAnswering tells whether nothing but answers is on its way, or has just been.
func (cs *connTracker) onlyAnswering() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == cs.byState[stateStreaming].Len()+cs.byState[stateServing].Len()+cs.byState[stateLingering].Len()
}

// emptyFor tells whether no connection is open and none has come for a while.
func (cs *connTracker) emptyFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.lastAccepted) >= d
}

// abortReads has those answered at once, with a refusal, who are in the middle of a request when the process ends. Their
// connections end as after any last answer: to close them would take back what crosses the close.
func (cs *connTracker) abortReads() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at := cs.byState[stateReading].Front(); at != nil; at = at.Next() {
		c := at.Value.(*downstreamConn)
		c.readAborted.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeInStates ends the connections in some stages, whose callers are owed nothing: they have not brought a whole request.
func (cs *connTracker) closeInStates(in ...connState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range in {
		for cs.byState[stage].Len() > 0 {
			cs.evict(cs.byState[stage].Front().Value.(*downstreamConn))
		}
	}
}
