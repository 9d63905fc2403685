package controlplane

import (
	"time"

	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
)

const (
	// maxWatches bounds the watches that wait at one member.
	maxWatches = 2048
	// maxEventsPerAnswer bounds the events of one answer; the caller goes on from the answer's revision.
	maxEventsPerAnswer = 512
)

// watchAnswer is how a watch ends.
type watchAnswer struct {
	events   []coordination.Event
	revision uint64
	err      error
}

// watch is a caller that waits for the puts of a group above a revision.
type watch struct {
	group    string
	after    uint64
	deadline time.Duration
	answer   func(watchAnswer)
}

// watchTable has the watches that wait at this member. They are answered from its committed state.
type watchTable struct {
	server  *Server
	waiting map[*watch]bool
	// answeredSeq is the sequence number of the state by which all waiting watches were last looked at.
	answeredSeq uint64
	stopping    bool
}

func newWatchTable(s *Server) *watchTable {
	return &watchTable{server: s, waiting: map[*watch]bool{}}
}

// add answers a watch at once, or has it wait.
func (t *watchTable) add(now time.Duration, w *watch) {
	switch {
	case t.stopping:
		w.answer(watchAnswer{err: errkind.New(errkind.NotReady, "the process stops")})
	case !t.server.canStream(now):
		w.answer(watchAnswer{err: errkind.New(errkind.NotReady, "no majority has confirmed the view")})
	case len(t.waiting) >= maxWatches:
		w.answer(watchAnswer{err: errkind.New(errkind.RateLimited, "too many watches wait")})
	case t.answerWatch(now, w, t.committed()):
	default:
		t.waiting[w] = true
	}
}

// remove ends a watch whose caller has gone.
func (t *watchTable) remove(w *watch) { delete(t.waiting, w) }

// stop ends all watches: their callers go on at another member.
func (t *watchTable) stop() {
	t.stopping = true
	t.failAll(errkind.New(errkind.NotReady, "the process stops"))
}

// answerReady answers the watches for which there are events or whose time is over. Where this member may be behind without
// knowing it, it answers that it cannot serve them; while the next view is being agreed on, they wait.
func (t *watchTable) answerReady(now time.Duration) {
	s := t.server
	if len(t.waiting) == 0 {
		return
	}
	if !s.canStream(now) {
		if !s.chain.IsSealed() || !s.chain.HasQuorum(now) {
			t.failAll(errkind.New(errkind.NotReady, "no majority has confirmed the view"))
		}
		return
	}
	committed := s.chain.CommittedSeq()
	isNew := committed != t.answeredSeq
	t.answeredSeq = committed
	state := t.committed()
	for w := range t.waiting {
		if (isNew || now >= w.deadline) && t.answerWatch(now, w, state) {
			delete(t.waiting, w)
		}
	}
}

func (t *watchTable) committed() *coordination.State {
	return corestate.Coordination(t.server.chain.CommittedState().Value)
}

// answerWatch answers a watch and reports true, or reports false while it must wait.
func (t *watchTable) answerWatch(now time.Duration, w *watch, state *coordination.State) (answered bool) {
	events, revision, ok := state.EventsAfter(w.group, w.after, maxEventsPerAnswer)
	switch {
	case !ok:
		w.answer(watchAnswer{err: errkind.New(errkind.HistoryGone, "")})
	case len(events) > 0 || now >= w.deadline:
		w.answer(watchAnswer{events: events, revision: revision})
	default:
		return false
	}
	return true
}

func (t *watchTable) failAll(err error) {
	for w := range t.waiting {
		w.answer(watchAnswer{err: err})
		delete(t.waiting, w)
	}
}
