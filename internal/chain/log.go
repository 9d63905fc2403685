package chain

// State is the replicated value after a number of operations. Its field names are fixed.
type State struct {
	// Seq is the number of operations applied since the system first started.
	Seq uint64
	// Value is shared between states and must not be modified.
	Value any
}

// Entry is one operation in the log. Its field names are fixed.
type Entry struct {
	// Seq is the sequence number of the state after the operation.
	Seq       uint64
	Operation []byte
}

// logEntry is an entry of the log with the state after it. The state of each entry is kept because the tail may show only
// what is committed, while the head decides on writes by the latest state.
type logEntry struct {
	entry      Entry
	stateAfter State
}

// appendEntry applies an entry and appends it to the log.
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

// compact replaces the committed prefix of the log by the state after it.
func (n *Node) compact() {
	committed := 0
	for committed < len(n.log) && n.log[committed].entry.Seq <= n.committed {
		n.base = n.log[committed].stateAfter
		committed++
	}
	n.log = append([]logEntry(nil), n.log[committed:]...)
}

// LatestState returns the state after all entries of this member, committed or not.
func (n *Node) LatestState() State { return n.state }

// LatestOrAcceptedState returns the latest state that this member has a replica of: LatestState, or the state of a proposal
// that it has accepted for the next view, if that is later.
func (n *Node) LatestOrAcceptedState() State {
	if n.accepted != nil && n.accepted.Proposal.Base.Seq > n.state.Seq {
		return n.accepted.Proposal.Base
	}
	return n.state
}

// CommittedState returns the latest state of this member that it knows to be committed.
func (n *Node) CommittedState() State {
	for i := len(n.log) - 1; i >= 0; i-- {
		if n.log[i].entry.Seq <= n.committed {
			return n.log[i].stateAfter
		}
	}
	return n.base
}

// hasCommitted reports whether the entry that this member appended as the head of a view, with a sequence number, is known to
// be committed. Every log of that view is a prefix of the head's, so that the next view has the entry if its first state is
// late enough. A later state of the next view says nothing, as it may have another entry under that number. Of later views it
// is not known, as this member may have missed one.
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

// IsCommitKnown reports whether this incarnation has learnt how far the log is committed, from the tail or from a decided
// view. A restarted member that has not may know less to be committed than it has reported before.
func (n *Node) IsCommitKnown() bool { return n.commitKnown }
