package chain

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Errors of a request that this member cannot answer. They leave the outcome of a write open: it may be applied or not.
var (
	// ErrNotHead is returned for a write at a member that is not the head of a confirmed view.
	ErrNotHead = errors.New("this member is not the head")
	// ErrNotTail is returned for a read at a member that is not the tail.
	ErrNotTail = errors.New("this member is not the tail")
	// ErrNotWritable is returned for a write while the head is sealed or its chain is too short.
	ErrNotWritable = errors.New("no change can be taken now")
	// ErrNotConfirmed is returned when the timeout has passed, or a new view was installed, before an answer was certain.
	ErrNotConfirmed = errors.New("not confirmed in time")
	// ErrTooManyPending is returned when maxPendingRequests are pending already.
	ErrTooManyPending = errors.New("too many requests wait")
)

// maxPendingRequests bounds the pending writes and the pending reads of a member, each.
const maxPendingRequests = 1024

// Decision is what Write.Decide returns. It is one of four: rejected, already applied, unchanged, or an operation to append.
type Decision struct {
	// AlreadyApplied reports whether the value contains the write. It is then acknowledged without being appended again.
	AlreadyApplied bool
	// Rejection is why the write is rejected; nil if it is not.
	Rejection error
	// Unchanged reports whether the value stays as it is. The write is then acknowledged under the conditions of a rejection.
	Unchanged bool
	// Operation is appended to the log if the write is none of the above.
	Operation []byte
}

// Write is a request to change the value.
type Write struct {
	// Decide decides on the write by the head's latest value, which may not be committed yet.
	Decide func(latest any) Decision
	// IsApplied reports whether a value contains the write. If it is nil, the write is contained once its entry is committed:
	// that is certain only in the view in which the entry was appended, and in the next one.
	IsApplied func(value any) bool
	// Respond is called once: with nil once the write is committed, with Decision.Rejection, or with one of this package's
	// errors.
	Respond func(error)
}

// Read is a request for the committed state.
type Read struct {
	// Respond is called once: with the committed state and nil, or with one of this package's errors.
	Respond func(State, error)
}

// PendingRequests keeps the writes that wait at the head and the reads that wait at the tail, so that the answers are
// linearizable:
//
//   - A write is acknowledged once it is committed.
//   - A rejection, or the acknowledgement of a write that changes nothing, is returned once the state that it rests on is
//     committed and a majority has confirmed the view since the write was received.
//   - A read is answered once a majority has confirmed the view since it was received.
//
// Without these confirmations a head or tail that was replaced without knowing it would answer from an old state.
//
// It must be used from the goroutine of its Node. The caller processes the outputs as those of the Node.
type PendingRequests struct {
	node    *Node
	timeout time.Duration
	writes  []pendingWrite
	reads   []pendingRead
}

type pendingWrite struct {
	write Write
	// rejection is nil for a write that is not rejected.
	rejection error
	// needsConfirmation is true for a write that is rejected or changes nothing.
	needsConfirmation bool
	// view is the number of the view in which the write was decided on.
	view uint64
	// requiredSeq must be committed before the answer is given: it is that of the write's entry or, for a write that appends
	// nothing, of the state on which the answer rests.
	requiredSeq uint64
	receivedAt  time.Duration
}

type pendingRead struct {
	read Read
	// view is the number of the view in which the read was received.
	view       uint64
	receivedAt time.Duration
}

// NewPendingRequests returns an empty set of requests at a member. Each request is answered within the timeout, provided that
// AnswerReady is called regularly.
func NewPendingRequests(node *Node, timeout time.Duration) *PendingRequests {
	return &PendingRequests{node: node, timeout: timeout}
}

// Write decides on a write at the head. It is answered at once if this member cannot take it, and later by AnswerReady
// otherwise.
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

// Read takes a read at the tail. It is answered at once if this member cannot take it, and later by AnswerReady otherwise.
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

// AnswerReady answers the requests whose answer is certain and those whose timeout has passed. The caller calls it after each
// input to the Node.
func (r *PendingRequests) AnswerReady(now time.Duration) {
	r.writes = slices.DeleteFunc(r.writes, func(w pendingWrite) bool { return r.answerWrite(now, w) })
	r.reads = slices.DeleteFunc(r.reads, func(p pendingRead) bool { return r.answerRead(now, p) })
}

// answerWrite answers a write and reports true, or reports false while it must wait.
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

// answerConfirmed answers a write that is rejected or changes nothing and reports true, or reports false while it must wait.
func (r *PendingRequests) answerConfirmed(now time.Duration, w pendingWrite) (answered bool) {
	n := r.node
	switch {
	case w.view != n.view.Number:
		// The state that the rejection rests on may not be part of the new view: the write could then be applied.
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

// answerRead answers a read and reports true, or reports false while it must wait.
func (r *PendingRequests) answerRead(now time.Duration, p pendingRead) (answered bool) {
	n := r.node
	switch {
	case p.view != n.view.Number || now-p.receivedAt > r.timeout:
		p.read.Respond(State{}, ErrNotConfirmed)
	case n.QuorumConfirmedAt(now) >= p.receivedAt:
		// The committed state, not the latest one: a crash of the tail may revoke what it has not persisted yet.
		p.read.Respond(n.CommittedState(), nil)
	default:
		return false
	}
	return true
}
