package coordination

import (
	"slices"
	"time"

	"dykering/internal/errkind"
)

const (
	// maxWatches bounds the watches that wait at one member.
	maxWatches = 2048
	// maxEventsPerAnswer bounds the events of one answer; the caller goes on from the answer's revision. It is above what the
	// busiest site (47 calls a second) can put while the history is kept (40 s): a caller that resumes and asks once must not
	// lag behind what was acknowledged.
	maxEventsPerAnswer = 2048
)

// WatchAnswer is how a watch ends: with the events up to a revision, or with an *errkind.Error.
type WatchAnswer struct {
	Events   []Event
	Revision uint64
	Err      error
}

// Watch is a caller that waits for the puts of a group above a revision.
type Watch struct {
	Group string
	After uint64
	// Deadline is when it is answered without events.
	Deadline time.Duration
	// Answer is called once, unless the watch is removed.
	Answer func(WatchAnswer)
}

// WatchSource is the committed state of a member, from which its watches are served.
type WatchSource struct {
	// Seq is the number of operations that led to State.
	Seq   uint64
	State *State
	// CanServe reports whether this member is in the chain and a majority has confirmed its view lately.
	CanServe bool
	// IsChanging reports whether the next view is being agreed on, so that watches wait even if CanServe is false.
	IsChanging bool
}

// WatchTable has the watches that wait at one member, in the order of their arrival.
type WatchTable struct {
	waiting []*Watch
	// answeredSeq is the sequence number of the state by which all waiting watches were last looked at.
	answeredSeq uint64
	stopping    bool
}

// NewWatchTable returns a table without watches.
func NewWatchTable() *WatchTable { return &WatchTable{} }

// Add answers a watch at once, or has it wait.
func (t *WatchTable) Add(now time.Duration, source WatchSource, w *Watch) {
	switch {
	case t.stopping:
		w.Answer(WatchAnswer{Err: errkind.New(errkind.NotReady, "the process stops")})
	case !source.CanServe:
		w.Answer(WatchAnswer{Err: errkind.New(errkind.NotReady, "no majority has confirmed the view")})
	case len(t.waiting) >= maxWatches:
		w.Answer(WatchAnswer{Err: errkind.New(errkind.RateLimited, "too many watches wait")})
	case answerWatch(now, w, source.State):
	default:
		t.waiting = append(t.waiting, w)
	}
}

// Remove ends a watch whose caller has gone.
func (t *WatchTable) Remove(w *Watch) {
	t.waiting = slices.DeleteFunc(t.waiting, func(other *Watch) bool { return other == w })
}

// IsEmpty reports whether no watch waits.
func (t *WatchTable) IsEmpty() bool { return len(t.waiting) == 0 }

// Len returns how many watches wait.
func (t *WatchTable) Len() int { return len(t.waiting) }

// Stop ends all watches: their callers go on at another member.
func (t *WatchTable) Stop() {
	t.stopping = true
	t.failAll(errkind.New(errkind.NotReady, "the process stops"))
}

// AnswerReady answers the watches for which there are events or whose time is over. Where this member may be behind without
// knowing it, it answers that it cannot serve them; while the next view is being agreed on, they wait.
func (t *WatchTable) AnswerReady(now time.Duration, source WatchSource) {
	if !source.CanServe {
		if !source.IsChanging {
			t.failAll(errkind.New(errkind.NotReady, "no majority has confirmed the view"))
		}
		return
	}
	isNew := source.Seq != t.answeredSeq
	t.answeredSeq = source.Seq
	t.waiting = slices.DeleteFunc(t.waiting, func(w *Watch) bool {
		return (isNew || now >= w.Deadline) && answerWatch(now, w, source.State)
	})
}

// answerWatch answers a watch and reports true, or reports false while it must wait.
func answerWatch(now time.Duration, w *Watch, state *State) (answered bool) {
	events, revision, ok := state.EventsAfter(w.Group, w.After, maxEventsPerAnswer)
	switch {
	case !ok:
		w.Answer(WatchAnswer{Err: errkind.New(errkind.HistoryGone, "")})
	case len(events) > 0 || now >= w.Deadline:
		w.Answer(WatchAnswer{Events: events, Revision: revision})
	default:
		return false
	}
	return true
}

func (t *WatchTable) failAll(err error) {
	for _, w := range t.waiting {
		w.Answer(WatchAnswer{Err: err})
	}
	t.waiting = nil
}
