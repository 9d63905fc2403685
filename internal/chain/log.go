package chain

// State is the replicated value after Seq operations. Its field names are fixed.
type State struct {
	// Seq is the number of operations that were applied since the first start of the system.
	Seq uint64
	// Value is the replicated value. States share it, so it must not be modified.
	Value any
}

// Entry is one operation in the log. Its field names are fixed.
type Entry struct {
	// Seq is the sequence number of the state after the operation.
	Seq       uint64
	Operation []byte
}

// logEntry is an entry of the log with the state after it. The log keeps the state after each entry because reads return only
// committed state, while the head evaluates writes against the latest state.
type logEntry struct {
	entry      Entry
	stateAfter State
}

// appendEntry applies an entry to the latest state and appends the entry to the log.
func (n *Node) appendEntry(entry Entry) {
	value := n.config.Apply(n.state.Value, entry.Operation)
	n.state = State{Seq: entry.Seq, Value: value}
	n.log = append(n.log, logEntry{entry: entry, stateAfter: n.state})
}

// entriesAfter returns the entries of the log with a sequence number higher than seq.
func (n *Node) entriesAfter(seq uint64) []Entry {
	var entries []Entry
	for _, logged := range n.log {
		if logged.entry.Seq > seq {
			entries = append(entries, logged.entry)
		}
	}
	return entries
}

// compact replaces the committed prefix of the log with the state after that prefix.
func (n *Node) compact() {
	committed := 0
	for committed < len(n.log) && n.log[committed].entry.Seq <= n.committed {
		n.base = n.log[committed].stateAfter
		committed++
	}
	n.log = append([]logEntry(nil), n.log[committed:]...)
}

// LatestState returns the state after all entries of this member, including uncommitted ones.
func (n *Node) LatestState() State { return n.state }

// LatestOrAcceptedState returns the latest state that this member stores. It is LatestState or, if that is later, the state
// of the proposal that this member has accepted for the next view.
func (n *Node) LatestOrAcceptedState() State {
	if n.accepted != nil && n.accepted.Proposal.Base.Seq > n.state.Seq {
		return n.accepted.Proposal.Base
	}
	return n.state
}

// CommittedState returns the latest state that this member knows to be committed.
func (n *Node) CommittedState() State {
	for i := len(n.log) - 1; i >= 0; i-- {
		if n.log[i].entry.Seq <= n.committed {
			return n.log[i].stateAfter
		}
	}
	return n.base
}

// hasCommitted reports whether an entry is known to be committed. This member appended the entry with the given sequence
// number as the head of the given view. Every log of that view is a prefix of the head's log, so the next view contains the
// entry if its initial state has at least that sequence number. A later state of the next view proves nothing, as the next
// view may have appended another entry with that number. If the current view is neither the given view nor the next one, this
// member may have missed a view, and the function returns false.
func (n *Node) hasCommitted(view, seq uint64) bool {
	switch n.view.Number {
	case view:
		return n.committed >= seq
	case view + 1:
		return n.viewBaseSeq >= seq
	}
	return false
}

// CommittedSeq returns the sequence number up to which this member knows the log to be committed.
func (n *Node) CommittedSeq() uint64 { return n.committed }

// IsCommitKnown reports whether this incarnation has learned the commit position from the tail or from a decided view. Until
// then, the committed sequence number of a restarted member may be lower than the one that it reported before the restart.
func (n *Node) IsCommitKnown() bool { return n.commitKnown }
