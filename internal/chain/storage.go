package chain

// Records are persisted in the order in which outputs return them, and passed to Restore in that order. A Snapshot replaces
// all records before it. Records are encoded with gob, so their field names are fixed.
type (
	// Snapshot is the complete persistent state of a member.
	Snapshot struct {
		Self Member
		View View
		// Base is the state before Entries.
		Base State
		// Entries are the entries of the view's log after Base.
		Entries []Entry
		// Promised is the highest proposal number promised for the next view, or zero if there is none.
		Promised ProposalNumber
		// Accepted is the accepted proposal for the next view, or nil if there is none.
		Accepted *Accepted
		// Held is the latest fencing token whose takeover delay the member has waited out.
		Held uint64
	}
	// EntryRecord records an entry that is appended to the log.
	EntryRecord struct{ Entry Entry }
	// PromiseRecord records a promise for the next view. Ballot is the promised proposal number.
	PromiseRecord struct{ Ballot ProposalNumber }
	// AcceptRecord records an accepted proposal. Accepting a proposal also promises its number.
	AcceptRecord struct{ Accepted Accepted }
	// LeaseRecord records that the member, as the lease holder with this token, has waited out its takeover delay.
	LeaseRecord struct{ Token uint64 }
	// InstallRecord records a decided view. It discards the log, the promise and the accepted proposal of the previous view.
	InstallRecord struct{ Proposal Proposal }
)

// Snapshot drops the committed entries from the log and returns the complete persistent state. The caller may persist the
// snapshot in place of any record that was returned before, provided that it persists the records after that one as well.
func (n *Node) Snapshot() Snapshot {
	n.compact()
	return n.snapshot()
}

func (n *Node) snapshot() Snapshot {
	return Snapshot{
		Self:     n.self,
		View:     n.view,
		Base:     n.base,
		Entries:  n.entriesAfter(0),
		Promised: n.promisedNumber,
		Accepted: n.accepted,
		Held:     n.leaseToken,
	}
}

// replay applies a persisted record to a node that is being restored.
func (n *Node) replay(record any) {
	switch r := record.(type) {
	case Snapshot:
		n.replaySnapshot(r)
	case EntryRecord:
		// A snapshot that was persisted in place of a record already contains all records of the same output. Without this
		// condition, the remaining records of that output would be applied twice.
		if r.Entry.Seq > n.state.Seq {
			n.appendEntry(r.Entry)
		}
	case PromiseRecord:
		n.promisedNumber = r.Ballot
	case AcceptRecord:
		accepted := r.Accepted
		n.accepted = &accepted
		n.promisedNumber = accepted.Ballot
	case LeaseRecord:
		n.leaseToken = r.Token
	case InstallRecord:
		if r.Proposal.View.Number > n.view.Number {
			n.adopt(r.Proposal)
		}
	}
}

func (n *Node) replaySnapshot(s Snapshot) {
	n.self = s.Self
	n.view = s.View
	n.base = s.Base
	n.state = s.Base
	n.log = nil
	n.promisedNumber = s.Promised
	n.accepted = s.Accepted
	n.leaseToken = s.Held
	for _, entry := range s.Entries {
		n.appendEntry(entry)
	}
}
