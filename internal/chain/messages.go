package chain

// Messages between members. They are encoded with gob: their field names are fixed. In all of them From is the sender, and
// Ballot is a proposal number (the field keeps the earlier name).
type (
	// Ping asks a member for its status and carries that of the sender.
	Ping struct {
		From   Member
		Nonce  uint64
		Status Status
	}
	// Pong answers the Ping with the same nonce.
	Pong struct {
		From   Member
		Nonce  uint64
		Status Status
	}
	// Prepare is phase 1a of Paxos: it asks the voters of the present view to promise a proposal number.
	Prepare struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
	}
	// Promise is phase 1b: the sender is sealed, and accepts no proposal with a lower number.
	Promise struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
		// InChain reports whether the sender is in the chain of the present view; only then State is set.
		InChain bool
		// State is the sender's latest state, which no further write changes in this view.
		State State
		// Accepted is the proposal with the highest number that the sender has accepted; nil for none.
		Accepted *Accepted
	}
	// Reject answers a Prepare or an Accept whose number is lower than one that the sender has promised.
	Reject struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		// Promised is the number that the sender has promised.
		Promised ProposalNumber
	}
	// Accept is phase 2a: it asks the voters to accept a proposal.
	Accept struct {
		From     MemberID
		Ballot   ProposalNumber
		Proposal Proposal
	}
	// AcceptedReply is phase 2b: the sender has persisted the accepted proposal.
	AcceptedReply struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
	}
	// Install announces a view that was decided. It also serves to bring a member with an older view up to date; Base is
	// then a later committed state of the view.
	Install struct {
		From     MemberID
		Proposal Proposal
		// BaseIsLater reports whether Base may be later than the state that the view began from. Earlier versions do not
		// send it.
		BaseIsLater bool
	}
	// Append carries log entries from a member of the chain to its successor.
	Append struct {
		From MemberID
		// View is the number of the sender's view.
		View    uint64
		Entries []Entry
	}
	// Committed announces the sequence number up to which the tail has persisted the log of a view.
	Committed struct {
		From MemberID
		View uint64
		Seq  uint64
	}
	// Stored is a message of a member to itself: as it is delivered after the records before it, the view is then on disk.
	// It never goes over the network.
	Stored struct{ View uint64 }
)

// Status is what a member reports of itself with each Ping and Pong. Its field names are fixed.
type Status struct {
	// View is the number of the view in force at the member.
	View uint64
	// Sealed reports whether the member has promised to take part in the next view.
	Sealed bool
	// Healthy reports whether its disk answers and it is not leaving: only then it can be in a chain.
	Healthy bool
	// DiskHealthy reports whether its disk answers, also while it leaves. Earlier versions do not send it.
	DiskHealthy bool
	// Leaving reports whether the member is to stop as soon as the others no longer need it.
	Leaving bool
	// Stored is the number of the latest view that the member has on disk.
	Stored uint64
	// Seq is the sequence number of the member's latest entry.
	Seq uint64
	// Committed is the sequence number up to which the member knows the log to be committed.
	Committed uint64
	// OperationVersion is the highest version of operations that the member understands. Earlier versions do not send it.
	OperationVersion int
}

// Envelope is a message with the address of its receiver.
type Envelope struct {
	To      string
	Message any
}
