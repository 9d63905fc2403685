package chain

// State is the replicated value after a number of operations. Value is never changed in place.
type State struct {
	Seq   uint64
	Value any
}

// Entry is one operation of a view's log.
type Entry struct {
	Seq       uint64
	Operation []byte
}

// logged is an entry of the log with the state after it.
type logEntry struct {
	entry      Entry
	stateAfter State
}

func (n *Node) appendEntry(entry Entry) {
	n.state = State{Seq: entry.Seq, Value: n.config.Apply(n.state.Value, entry.Operation)}
	n.log = append(n.log, logEntry{entry: entry, stateAfter: n.state})
}

// after gives the entries of the log with a higher sequence number.
func (n *Node) entriesAfter(seq uint64) []Entry {
	var entries []Entry
	for _, l := range n.log {
		if l.entry.Seq > seq {
			entries = append(entries, l.entry)
		}
	}
	return entries
}

// compact folds committed entries into the base.
func (n *Node) compact() {
	kept := 0
	for kept < len(n.log) && n.log[kept].entry.Seq <= n.committed {
		n.base = n.log[kept].stateAfter
		kept++
	}
	n.log = append([]logEntry(nil), n.log[kept:]...)
}

// LatestState is the value with all that this member has, committed or not.
func (n *Node) LatestState() State { return n.state }

// LatestOrAcceptedState is the newest state that this member has, in its view or accepted for the next one.
func (n *Node) LatestOrAcceptedState() State {
	if n.accepted != nil && n.accepted.Proposal.Base.Seq > n.state.Seq {
		return n.accepted.Proposal.Base
	}
	return n.state
}

// CommittedSeq is how far the log is known to be committed.
func (n *Node) CommittedSeq() uint64 { return n.committed }

// CommittedState is the newest state that is committed, as far as this member has it.
func (n *Node) CommittedState() State {
	for i := len(n.log) - 1; i >= 0; i-- {
		if n.log[i].entry.Seq <= n.committed {
			return n.log[i].stateAfter
		}
	}
	return n.base
}

// IsCommitKnown tells whether this member has heard, since it started, how far the log is committed.
func (n *Node) IsCommitKnown() bool { return n.commitKnown }
