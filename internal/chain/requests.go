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
const maxPendingRequests = 1024

// PendingRequests are the writes that wait at the head and the reads that wait at the tail. A write is acknowledged once it is
// committed. A refusal is told once what it rests on is committed and a majority has confirmed the view since the write
// came, and a read is answered after such a confirmation: a member that was left behind refuses and shows nothing.
type PendingRequests struct {
	node    *Node
	timeout time.Duration
	writes  []pendingWrite
	reads   []pendingRead
}

type pendingWrite struct {
	write       Write
	rejection   error // nil for a write that was taken
	view        uint64
	requiredSeq uint64 // committed before the refusal is told
	receivedAt  time.Duration
}

type pendingRead struct {
	read       Read
	view       uint64
	receivedAt time.Duration
}

// NewPendingRequests makes the requests at a member. Each is answered within a time.
func NewPendingRequests(node *Node, within time.Duration) *PendingRequests {
	return &PendingRequests{node: node, timeout: within}
}

// Write takes a write at the head.
func (r *PendingRequests) Write(now time.Duration, write Write) Output {
	n := r.node
	switch {
	case !n.IsHead() || !n.IsViewConfirmed(now):
		write.Respond(ErrNotHead)
		return Output{}
	case len(r.writes) >= maxPendingRequests:
		write.Respond(ErrTooManyPending)
		return Output{}
	}
	latest := n.LatestState()
	decision := write.Decide(latest.Value)
	waiting := pendingWrite{write: write, rejection: decision.Rejection, view: n.View().Number, requiredSeq: latest.Seq, receivedAt: now}
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
	case len(r.reads) >= maxPendingRequests:
		read.Respond(State{}, ErrTooManyPending)
		return Output{}
	}
	r.reads = append(r.reads, pendingRead{read: read, view: r.node.View().Number, receivedAt: now})
	return r.node.PingVoters(now)
}

// AnswerReady answers the requests that can be answered, and those whose time is over.
func (r *PendingRequests) AnswerReady(now time.Duration) {
	if len(r.writes) > 0 {
		r.writes = retain(r.writes, func(w pendingWrite) bool { return !r.answerWrite(now, w) })
	}
	if len(r.reads) > 0 {
		r.reads = retain(r.reads, func(w pendingRead) bool { return !r.answerRead(now, w) })
	}
}

// keep leaves in place what still waits.
func retain[T any](all []T, waits func(T) bool) []T {
	kept := all[:0]
	for _, one := range all {
		if waits(one) {
			kept = append(kept, one)
		}
	}
	clear(all[len(kept):])
	return kept
}

func (r *PendingRequests) answerWrite(now time.Duration, w pendingWrite) (answered bool) {
	n := r.node
	sameView := w.view == n.View().Number
	switch {
	case w.rejection == nil && w.write.IsApplied(n.CommittedState().Value):
		w.write.Respond(nil)
	case w.rejection != nil && sameView && n.CommittedSeq() >= w.requiredSeq && n.QuorumConfirmedAt(now) >= w.receivedAt:
		w.write.Respond(w.rejection)
	case w.rejection != nil && !sameView, now-w.receivedAt > r.timeout:
		w.write.Respond(ErrNotConfirmed)
	default:
		return false
	}
	return true
}

func (r *PendingRequests) answerRead(now time.Duration, w pendingRead) (answered bool) {
	n := r.node
	switch {
	case w.view != n.View().Number || now-w.receivedAt > r.timeout:
		w.read.Respond(State{}, ErrNotConfirmed)
	case n.QuorumConfirmedAt(now) >= w.receivedAt:
		w.read.Respond(n.CommittedState(), nil) // what the tail has stored
	default:
		return false
	}
	return true
}
