package chain

// Records are stored in the order in which they are given out. A Snapshot stands for all records before it.
type (
	// Snapshot is all that a member must not forget.
	Snapshot struct {
		Self     Member
		View     View
		Base     State
		Entries  []Entry
		Promised ProposalNumber
		Accepted *Accepted
		Held     uint64
	}
	// EntryRecord is an entry added to the log.
	EntryRecord struct{ Entry Entry }
	// PromiseRecord is a promise for the next view.
	PromiseRecord struct{ Ballot ProposalNumber }
	// AcceptRecord is an accepted proposal.
	AcceptRecord struct{ Accepted Accepted }
	// HeldRecord tells that this member has waited out its pause as the holder with a token.
	LeaseRecord struct{ Token uint64 }
	// InstallRecord is a view that was decided; it ends the log and the promises of the one before.
	InstallRecord struct{ Proposal Proposal }
)

func (n *Node) replay(record any) {
	switch r := record.(type) {
	case Snapshot:
		n.self, n.view, n.base = r.Self, r.View, r.Base
		n.promisedNumber, n.accepted, n.leaseToken = r.Promised, r.Accepted, r.Held
		n.log, n.state = nil, r.Base
		for _, entry := range r.Entries {
			n.appendEntry(entry)
		}
	case EntryRecord:
		if r.Entry.Seq > n.state.Seq { // a snapshot that was stored in place of a record has those given out with it too
			n.appendEntry(r.Entry)
		}
	case PromiseRecord:
		n.promisedNumber = r.Ballot
	case AcceptRecord:
		accepted := r.Accepted
		n.accepted, n.promisedNumber = &accepted, accepted.Ballot
	case LeaseRecord:
		n.leaseToken = r.Token
	case InstallRecord:
		if r.Proposal.View.Number > n.view.Number {
			n.adopt(r.Proposal)
		}
	}
}

func (n *Node) snapshot() Snapshot {
	return Snapshot{Self: n.self, View: n.view, Base: n.base, Entries: n.entriesAfter(0), Promised: n.promisedNumber, Accepted: n.accepted,
		Held: n.leaseToken}
}

// Snapshot is all that must not be forgotten, with what is committed folded into the base.
func (n *Node) Snapshot() Snapshot {
	n.compact()
	return n.snapshot()
}
