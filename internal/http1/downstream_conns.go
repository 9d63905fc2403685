package http1

import (
	"container/list"
	"net"
	"sync"
	"time"

	"dykering/internal/core"
)

// callers bounds the connections from callers. Accepting never waits: a connection in the backlog may already
// hold a request.
type callers struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   int
	stages [stages]list.List // of *caller, the longest in its stage first
	moved  [stages]uint64    // connections that have come so far
	newest time.Time         // when the last connection came
}

const (
	// stallAfter is how long part of a request may bring nothing more before its connection is in the way of
	// others. A slow caller goes on writing; one of a crowd writes once.
	stallAfter = 700 * time.Millisecond
	// bodyPace is what a caller should send of a body, in bytes a second. Who falls behind has bodyCredit at the
	// start, and what it was ahead, up to bodyAhead.
	bodyPace   = 48 << 10
	bodyCredit = 2 * time.Second
	bodyAhead  = 2 * time.Second
	// bodyChance is for what has come while its reader could not run.
	bodyChance = 200 * time.Millisecond
)

// accept takes the next connection in. It is never one that finds no room.
func (cs *callers) accept() (*caller, error) {
	for {
		raw, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: raw, callers: cs, began: time.Now()}
		if cs.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// close ends accepting. It does not wait for an accept that hangs: whether a socket blocks is shared with all processes
// that have it, and one that hands it to another (as os/exec does with its ExtraFiles) makes it block for all. What such
// an accept still brings is served, or passed on, as what came before.
func (cs *callers) close() {
	closed := make(chan struct{})
	go func() {
		cs.Listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(stopPoll):
	}
}

// admit makes room for a connection. Those that have said nothing go first, then those that are over, then idle ones,
// whose clients may send what crosses that on another, then those whose request takes long to come. If there are none,
// the new one's request is turned away, for to cut it off would lose it.
func (cs *callers) admit(c *caller) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.newest = c.began
	if cs.open >= cs.most && !cs.makeRoom(c.began) {
		if cs.open >= cs.most+core.ExcessSockets {
			return false
		}
		c.over = true
	}
	cs.open++
	c.at = cs.stages[mute].PushBack(c)
	cs.moved[mute]++
	return true
}

// adopt takes a connection of the process before in, if there is room.
func (cs *callers) adopt(c *caller) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open >= cs.most {
		return false
	}
	cs.newest = c.began
	cs.open++
	c.stage = c.resting(nil)
	c.at = cs.stages[c.stage].PushBack(c)
	return true
}

func (cs *callers) makeRoom(now time.Time) bool {
	for _, stage := range []stage{mute, leaving, idle} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			if c := at.Value.(*caller); !c.waiting() {
				cs.drop(c)
				return true
			}
		}
	}
	for at := cs.stages[reading].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*caller); now.UnixNano()-c.heard.Load() > int64(stallAfter) && !c.waiting() {
			cs.drop(c)
			return true
		}
	}
	return false
}

// retire ends the connections that have been idle or mute for so long. It ends the wait for a request, not the
// connection: one that comes at this moment is read and served, so that no close crosses it.
func (cs *callers) retire(idleFor, muteFor time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	for stage, least := range map[stage]time.Duration{idle: idleFor, mute: muteFor} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			c := at.Value.(*caller)
			if now.Sub(c.began) < least {
				break // the others are younger
			}
			c.Conn.SetReadDeadline(now) // its goroutine closes it then
		}
	}
}

// drop ends a connection; its handler sees that when it next reads.
func (cs *callers) drop(c *caller) {
	c.shut()
	cs.forget(c)
}

func (cs *callers) forget(c *caller) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.at = nil
		cs.open--
	}
}

// move notes how far a connection has come.
func (cs *callers) move(c *caller, to stage) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.stage = to
		c.at = cs.stages[to].PushBack(c)
		cs.moved[to]++
	}
}

// interrupt asks for all long bodies and answers to be passed on.
func (cs *callers) interrupt() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range []stage{busy, relaying} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			if p := at.Value.(*caller).passing; p != nil {
				p.interrupt()
			}
		}
	}
}

// onlyAnswers tells whether nothing but answers is on its way, or has just been.
func (cs *callers) onlyAnswers() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == cs.stages[relaying].Len()+cs.stages[busy].Len()+cs.stages[leaving].Len()
}

// quietFor tells whether no connection is open and none has come for a while.
func (cs *callers) quietFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.newest) >= d
}

// cutOff has those answered at once, with a refusal, who are in the middle of a request when the process ends. Their
// connections end as after any last answer: to close them would take back what crosses the close.
func (cs *callers) cutOff() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at := cs.stages[reading].Front(); at != nil; at = at.Next() {
		c := at.Value.(*caller)
		c.cut.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeAll ends the connections in some stages, whose callers are owed nothing: they have not brought a whole request.
func (cs *callers) closeAll(in ...stage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range in {
		for cs.stages[stage].Len() > 0 {
			cs.drop(cs.stages[stage].Front().Value.(*caller))
		}
	}
}
