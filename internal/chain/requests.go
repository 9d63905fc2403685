package chain

import (
	"time"

	"github.com/pkg/errors"
)

// Why a member cannot answer a request. Nothing is promised of it: it may have been taken or not.
var (
	ErrNotHead        = errors.New("this member is not the head")
	ErrNotTail        = errors.New("this member is not the tail")
	ErrNotWritable    = errors.New("no change can be taken now")
	ErrNotConfirmed   = errors.New("not confirmed in time")
	ErrTooManyPending = errors.New("too many requests wait")
)

// Decision is what the newest value makes of a write.
type Decision struct {
	// AlreadyApplied tells that the value has the write already.
	AlreadyApplied bool
	// Rejection is why the write is not taken; nil for one that is.
	Rejection error
	// Operation is what is appended for a write that is taken.
	Operation []byte
}

// Write is a request to change the value.
type Write struct {
	// Decide looks at the newest value, committed or not.
	Decide func(latest any) Decision
	// IsApplied tells whether a value has the write.
	IsApplied func(value any) bool
	// Respond is called once: with nil when the write is committed, with its refusal, or with why neither can be told.
	Respond func(error)
}

// Read is a request for the newest value. Its answer is called once.
type Read struct{ Respond func(State, error) }

// mostRequests bounds the requests of each kind that wait at a member.
const mostRequests = 1024

// PendingRequests are the writes that wait at the head and the reads that wait at the tail. A write is acknowledged once it is
// committed. A refusal is told once what it rests on is committed and a majority has confirmed the view since the write
// came, and a read is answered after such a confirmation: a member that was left behind refuses and shows nothing.
type PendingRequests struct {
	node   *Node
	within time.Duration
	writes []waitingWrite
	reads  []waitingRead
}

type waitingWrite struct {
	write   Write
	refusal error // nil for a write that was taken
	view    uint64
	seq     uint64 // committed before the refusal is told
	since   time.Duration
}

type waitingRead struct {
	read  Read
	view  uint64
	since time.Duration
}

// NewPendingRequests makes the requests at a member. Each is answered within a time.
func NewPendingRequests(node *Node, within time.Duration) *PendingRequests {
	return &PendingRequests{node: node, within: within}
}

// Write takes a write at the head.
func (r *PendingRequests) Write(now time.Duration, write Write) Output {
	n := r.node
	switch {
	case !n.IsHead() || !n.IsViewConfirmed(now):
		write.Respond(ErrNotHead)
		return Output{}
	case len(r.writes) >= mostRequests:
		write.Respond(ErrTooManyPending)
		return Output{}
	}
	latest := n.LatestState()
	decision := write.Decide(latest.Value)
	waiting := waitingWrite{write: write, refusal: decision.Rejection, view: n.View().Number, seq: latest.Seq, since: now}
	var out Output
	switch {
	case decision.Rejection != nil:
		out = n.PingVoters(now)
	case !decision.AlreadyApplied:
		var ok bool
		if _, out, ok = n.Propose(decision.Operation); !ok {
			write.Respond(ErrNotWritable)
			return Output{}
		}
	}
	r.writes = append(r.writes, waiting)
	return out
}

// Read takes a read at the tail.
func (r *PendingRequests) Read(now time.Duration, read Read) Output {
	switch {
	case !r.node.IsTail():
		read.Respond(State{}, ErrNotTail)
		return Output{}
	case len(r.reads) >= mostRequests:
		read.Respond(State{}, ErrTooManyPending)
		return Output{}
	}
	r.reads = append(r.reads, waitingRead{read: read, view: r.node.View().Number, since: now})
	return r.node.PingVoters(now)
}

// AnswerReady answers the requests that can be answered, and those whose time is over.
func (r *PendingRequests) AnswerReady(now time.Duration) {
	if len(r.writes) > 0 {
		r.writes = keep(r.writes, func(w waitingWrite) bool { return !r.settleWrite(now, w) })
	}
	if len(r.reads) > 0 {
		r.reads = keep(r.reads, func(w waitingRead) bool { return !r.settleRead(now, w) })
	}
}

// keep leaves in place what still waits.
func keep[T any](all []T, waits func(T) bool) []T {
	kept := all[:0]
	for _, one := range all {
		if waits(one) {
			kept = append(kept, one)
		}
	}
	clear(all[len(kept):])
	return kept
}

func (r *PendingRequests) settleWrite(now time.Duration, w waitingWrite) (answered bool) {
	n := r.node
	sameView := w.view == n.View().Number
	switch {
	case w.refusal == nil && w.write.IsApplied(n.CommittedState().Value):
		w.write.Respond(nil)
	case w.refusal != nil && sameView && n.CommittedSeq() >= w.seq && n.QuorumConfirmedAt(now) >= w.since:
		w.write.Respond(w.refusal)
	case w.refusal != nil && !sameView, now-w.since > r.within:
		w.write.Respond(ErrNotConfirmed)
	default:
		return false
	}
	return true
}

func (r *PendingRequests) settleRead(now time.Duration, w waitingRead) (answered bool) {
	n := r.node
	switch {
	case w.view != n.View().Number || now-w.since > r.within:
		w.read.Respond(State{}, ErrNotConfirmed)
	case n.QuorumConfirmedAt(now) >= w.since:
		w.read.Respond(n.CommittedState(), nil) // what the tail has stored
	default:
		return false
	}
	return true
}
