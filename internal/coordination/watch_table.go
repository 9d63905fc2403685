package coordination

import (
	"slices"
	"time"

	"dykering/internal/errkind"
)

const (
	// maxWatches bounds the number of waiting watches at one member.
	maxWatches = 2048
	// maxEventsPerAnswer bounds the events of one answer. The caller continues from the revision of the answer. The bound
	// exceeds the number of puts in the whole retained history of the busiest deployment (47 calls/s for 40 s), so that a
	// caller that resumes with a single call receives every acknowledged put.
	maxEventsPerAnswer = 2048
)

// WatchAnswer is the answer to a watch: the events up to a revision, or an *errkind.Error.
type WatchAnswer struct {
	Events   []Event
	Revision uint64
	Err      error
}

// Watch is a call that waits for the puts of a group above a revision.
type Watch struct {
	Group string
	// After is the revision above which the caller waits for puts.
	After uint64
	// Deadline is when the watch is answered even if there are no events.
	Deadline time.Duration
	// Answer is called once, unless the watch is removed.
	Answer func(WatchAnswer)
}

// WatchSource is the committed state from which a member serves its watches.
type WatchSource struct {
	// Seq is the sequence number of State.
	Seq   uint64
	State *State
	// CanServe reports whether this member is in the chain and a majority has confirmed its view recently.
	CanServe bool
	// IsChanging reports whether the members are agreeing on the next view. Watches then wait even if CanServe is false.
	IsChanging bool
}

// WatchTable has the waiting watches of one member in the order of their arrival.
type WatchTable struct {
	waiting []*Watch
	// answeredSeq is the sequence number of the latest state against which AnswerReady has checked all waiting watches.
	answeredSeq uint64
	stopping    bool
}

// NewWatchTable returns an empty table.
func NewWatchTable() *WatchTable { return &WatchTable{} }

// Add answers a watch at once, or adds it to the waiting watches.
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

// Remove removes a watch without an answer. The caller calls it when the client has disconnected.
func (t *WatchTable) Remove(w *Watch) {
	t.waiting = slices.DeleteFunc(t.waiting, func(other *Watch) bool { return other == w })
}

// IsEmpty reports whether the table has no waiting watches.
func (t *WatchTable) IsEmpty() bool { return len(t.waiting) == 0 }

// Len returns the number of waiting watches.
func (t *WatchTable) Len() int { return len(t.waiting) }

// Stop answers all waiting watches with an error, as their callers can continue at another member. It makes Add reject further
// watches.
func (t *WatchTable) Stop() {
	t.stopping = true
	t.failAll(errkind.New(errkind.NotReady, "the process stops"))
}

// AnswerReady answers the watches that have events and the watches whose deadline has passed. If the source cannot serve
// watches, this member may be behind the others without knowing it, and AnswerReady answers all watches with an error. While
// the members are agreeing on the next view, the watches wait instead.
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

// answerWatch answers a watch and returns true, or returns false if the watch must wait.
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
