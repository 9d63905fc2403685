package chain

// Records are persisted in the order in which outputs return them, and passed to Restore in that order. A Snapshot replaces
// all records before it. They are encoded with gob: their field names are fixed.
type (
	// Snapshot is the complete persistent state of a member.
	Snapshot struct {
		Self Member
		View View
		// Base is the state before Entries.
		Base State
		// Entries are the log of the view after Base.
		Entries []Entry
		// Promised is the promised proposal number for the next view; zero for none.
		Promised ProposalNumber
		// Accepted is the accepted proposal for the next view; nil for none.
		Accepted *Accepted
		// Held is the latest fencing token whose takeover delay the member has waited out.
		Held uint64
	}
	// EntryRecord appends an entry to the log.
	EntryRecord struct{ Entry Entry }
	// PromiseRecord is a promise for the next view. The field Ballot is its proposal number.
	PromiseRecord struct{ Ballot ProposalNumber }
	// AcceptRecord is an accepted proposal, which is also a promise of its number.
	AcceptRecord struct{ Accepted Accepted }
	// LeaseRecord states that the member, as the lease holder with a token, has waited out its takeover delay.
	LeaseRecord struct{ Token uint64 }
	// InstallRecord is a decided view. It ends the log, the promise and the accepted proposal of the view before it.
	InstallRecord struct{ Proposal Proposal }
)

// Snapshot compacts the log up to the committed entries and returns the complete persistent state. The caller may persist
// it in place of any record that was returned before, provided that the records after that one follow it.
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
		// A snapshot that was persisted in place of a record already contains the records of the same output. Without this
		// condition those would be applied twice.
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
