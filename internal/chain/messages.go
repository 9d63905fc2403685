package chain

// Messages between members.
type (
	// Ping asks a member how it is. It also tells how the sender is.
	Ping struct {
		From   Member
		Nonce  uint64
		Status Status
	}
	// Pong answers a Ping.
	Pong struct {
		From   Member
		Nonce  uint64
		Status Status
	}
	// Prepare asks the voters of a view to promise and to tell what they have.
	Prepare struct {
		From   MemberID
		Number uint64 // of the view that is proposed
		Ballot ProposalNumber
	}
	// Promise answers a Prepare.
	Promise struct {
		From     MemberID
		Number   uint64
		Ballot   ProposalNumber
		InChain  bool
		State    State // of a member of the chain
		Accepted *Accepted
	}
	// Reject answers a Prepare or an Accept with a lower ballot than one promised.
	Reject struct {
		From     MemberID
		Number   uint64
		Promised ProposalNumber
	}
	// Accept asks the voters to accept a proposal.
	Accept struct {
		From     MemberID
		Ballot   ProposalNumber
		Proposal Proposal
	}
	// AcceptedReply tells that a proposal is stored.
	AcceptedReply struct {
		From   MemberID
		Number uint64
		Ballot ProposalNumber
	}
	// Install tells of a view that was decided.
	Install struct {
		From     MemberID
		Proposal Proposal
	}
	// Append carries entries down the chain.
	Append struct {
		From    MemberID
		View    uint64
		Entries []Entry
	}
	// Stored tells a member itself that a view is on its disk.
	Stored struct{ View uint64 }
	// Committed tells how far the tail has stored the log.
	Committed struct {
		From MemberID
		View uint64
		Seq  uint64
	}
)

// Status is what a member says of itself.
type Status struct {
	View      uint64
	Sealed    bool
	Healthy   bool   // its disk answers, and it is not leaving
	Leaving   bool   // it ends as soon as the others can do without it
	Stored    uint64 // number of the view that it has on disk
	Seq       uint64
	Committed uint64
}

// Envelope is a message and where it goes.
type Envelope struct {
	To      string // address
	Message any
}
