package chain

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Errors of a request that this member cannot answer. After a write, the outcome is unknown: the write may have been applied
// or not.
var (
	// ErrNotHead is returned for a write at a member that is not the head of a confirmed view.
	ErrNotHead = errors.New("this member is not the head")
	// ErrNotTail is returned for a read at a member that is not the tail.
	ErrNotTail = errors.New("this member is not the tail")
	// ErrNotWritable is returned for a write while the head is sealed or its chain is too short.
	ErrNotWritable = errors.New("no change can be taken now")
	// ErrNotConfirmed is returned if the timeout has passed, or a new view was installed, before the answer was certain.
	ErrNotConfirmed = errors.New("not confirmed in time")
	// ErrTooManyPending is returned if maxPendingRequests requests are pending already.
	ErrTooManyPending = errors.New("too many requests wait")
)

// maxPendingRequests bounds the number of pending writes at a member, and separately the number of pending reads.
const maxPendingRequests = 1024

// Decision is the result of Write.Decide. Rejection and Unchanged take precedence over AlreadyApplied, and AlreadyApplied takes
// precedence over Operation.
type Decision struct {
	// AlreadyApplied reports whether the value already contains the write. The write is then acknowledged without being
	// appended again.
	AlreadyApplied bool
	// Rejection is the reason for which the write is rejected, or nil.
	Rejection error
	// Unchanged reports whether the write leaves the value unchanged. The write is then acknowledged under the same
	// conditions as a rejection.
	Unchanged bool
	// Operation is the operation to append to the log if no other field is set.
	Operation []byte
}

// Write is a request to change the value.
type Write struct {
	// Decide evaluates the write against the head's latest value, which may not be committed yet.
	Decide func(latest any) Decision
	// IsApplied reports whether a value contains the write. If IsApplied is nil, the write counts as applied once its entry
	// is committed. That can be determined only in the view in which the entry was appended and in the next view.
	IsApplied func(value any) bool
	// Respond is called once: with nil after the write is committed, with Decision.Rejection, or with one of this package's
	// errors.
	Respond func(error)
}

// Read is a request for the committed state.
type Read struct {
	// Respond is called once: with the committed state and nil, or with one of this package's errors.
	Respond func(State, error)
}

// PendingRequests keeps the writes that wait at the head and the reads that wait at the tail. It answers them so that they
// are linearizable:
//
//   - A write is acknowledged once it is committed.
//   - A write that is rejected or changes nothing is answered once the state that the answer is based on is committed, and a
//     majority has confirmed the view since the write was received.
//   - A read is answered once a majority has confirmed the view since the read was received.
//
// Without these confirmations, a head or tail that does not know that it was replaced would answer from an old state.
//
// PendingRequests must be used from the goroutine of its Node. The caller processes its outputs like those of the Node.
type PendingRequests struct {
	node    *Node
	timeout time.Duration
	writes  []pendingWrite
	reads   []pendingRead
}

type pendingWrite struct {
	write Write
	// rejection is the reason for which the write is rejected, or nil if it is not rejected.
	rejection error
	// needsConfirmation is true for a write that is rejected or changes nothing.
	needsConfirmation bool
	// view is the number of the view in which the write was evaluated.
	view uint64
	// requiredSeq is the sequence number that must be committed before the write is answered. It is the number of the write's
	// entry or, for a write that appends nothing, the number of the state that the answer is based on.
	requiredSeq uint64
	receivedAt  time.Duration
}

type pendingRead struct {
	read Read
	// view is the number of the view in which the read was received.
	view       uint64
	receivedAt time.Duration
}

// NewPendingRequests returns an empty set of requests for a Node. Each request is answered within the timeout, provided that
// the caller calls AnswerReady regularly.
func NewPendingRequests(node *Node, timeout time.Duration) *PendingRequests {
	return &PendingRequests{node: node, timeout: timeout}
}

// Write evaluates a write at the head. If this member cannot accept the write, Write answers it at once with an error.
// Otherwise AnswerReady answers it later.
func (r *PendingRequests) Write(now time.Duration, write Write) Output {
	n := r.node
	if !n.IsHead() || !n.IsViewConfirmed(now) {
		write.Respond(ErrNotHead)
		return Output{}
	}
	if len(r.writes) >= maxPendingRequests {
		write.Respond(ErrTooManyPending)
		return Output{}
	}
	latest := n.LatestState()
	decision := write.Decide(latest.Value)
	pending := pendingWrite{
		write:             write,
		rejection:         decision.Rejection,
		needsConfirmation: decision.Rejection != nil || decision.Unchanged,
		view:              n.view.Number,
		requiredSeq:       latest.Seq,
		receivedAt:        now,
	}
	var out Output
	switch {
	case pending.needsConfirmation:
		out = n.PingVoters(now)
	case !decision.AlreadyApplied:
		var ok bool
		if pending.requiredSeq, out, ok = n.Propose(decision.Operation); !ok {
			write.Respond(ErrNotWritable)
			return Output{}
		}
	}
	r.writes = append(r.writes, pending)
	return out
}

// Read accepts a read at the tail. If this member cannot accept the read, Read answers it at once with an error. Otherwise
// AnswerReady answers it later.
func (r *PendingRequests) Read(now time.Duration, read Read) Output {
	n := r.node
	if !n.IsTail() {
		read.Respond(State{}, ErrNotTail)
		return Output{}
	}
	if len(r.reads) >= maxPendingRequests {
		read.Respond(State{}, ErrTooManyPending)
		return Output{}
	}
	r.reads = append(r.reads, pendingRead{read: read, view: n.view.Number, receivedAt: now})
	return n.PingVoters(now)
}

// AnswerReady answers the requests whose answer is certain and the requests whose timeout has passed. The caller calls it after
// each input to the Node.
func (r *PendingRequests) AnswerReady(now time.Duration) {
	r.writes = slices.DeleteFunc(r.writes, func(w pendingWrite) bool { return r.answerWrite(now, w) })
	r.reads = slices.DeleteFunc(r.reads, func(p pendingRead) bool { return r.answerRead(now, p) })
}

// answerWrite answers a write and returns true, or returns false if the write must wait.
func (r *PendingRequests) answerWrite(now time.Duration, w pendingWrite) (answered bool) {
	if w.needsConfirmation {
		return r.answerConfirmed(now, w)
	}
	switch {
	case r.isApplied(w):
		w.write.Respond(nil)
	case now-w.receivedAt > r.timeout || w.write.IsApplied == nil && w.view != r.node.view.Number:
		w.write.Respond(ErrNotConfirmed)
	default:
		return false
	}
	return true
}

// isApplied reports whether a write is known to be committed.
func (r *PendingRequests) isApplied(w pendingWrite) bool {
	if w.write.IsApplied != nil {
		return w.write.IsApplied(r.node.CommittedState().Value)
	}
	return r.node.hasCommitted(w.view, w.requiredSeq)
}

// answerConfirmed answers a write that is rejected or changes nothing. It returns false if the write must wait.
func (r *PendingRequests) answerConfirmed(now time.Duration, w pendingWrite) (answered bool) {
	n := r.node
	switch {
	case w.view != n.view.Number:
		// The state that the answer is based on may not be part of the new view, so the answer may no longer be right.
		w.write.Respond(ErrNotConfirmed)
	case n.committed >= w.requiredSeq && n.QuorumConfirmedAt(now) >= w.receivedAt:
		w.write.Respond(w.rejection)
	case now-w.receivedAt > r.timeout:
		w.write.Respond(ErrNotConfirmed)
	default:
		return false
	}
	return true
}

// answerRead answers a read and returns true, or returns false if the read must wait.
func (r *PendingRequests) answerRead(now time.Duration, p pendingRead) (answered bool) {
	n := r.node
	switch {
	case p.view != n.view.Number || now-p.receivedAt > r.timeout:
		p.read.Respond(State{}, ErrNotConfirmed)
	case n.QuorumConfirmedAt(now) >= p.receivedAt:
		// The latest state must not be returned: a crash of the tail may lose entries that it has not persisted yet.
		p.read.Respond(n.CommittedState(), nil)
	default:
		return false
	}
	return true
}
