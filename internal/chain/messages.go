package chain

// Messages between members. They are encoded with gob, so their field names are fixed. In each message, From is the sender
// and Ballot is a proposal number.
type (
	// Ping asks a member for its status and carries the status of the sender.
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
	// Prepare is phase 1a of Paxos: it asks the voters of the current view to promise a proposal number.
	Prepare struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
	}
	// Promise is phase 1b of Paxos: the sender is sealed and accepts no proposal with a lower number.
	Promise struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
		// InChain reports whether the sender is in the chain of the current view. State is set only if InChain is true.
		InChain bool
		// State is the sender's latest state. No further write changes it in this view, as the sender is sealed.
		State State
		// Accepted is the proposal with the highest number that the sender has accepted, or nil if it has accepted none.
		Accepted *Accepted
	}
	// Reject answers a Prepare or an Accept whose proposal number is lower than a number that the sender has promised.
	Reject struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		// Promised is the highest proposal number that the sender has promised.
		Promised ProposalNumber
	}
	// Accept is phase 2a of Paxos: it asks the voters to accept a proposal.
	Accept struct {
		From     MemberID
		Ballot   ProposalNumber
		Proposal Proposal
	}
	// AcceptedReply is phase 2b of Paxos: the sender has persisted the accepted proposal.
	AcceptedReply struct {
		From MemberID
		// Number is the number of the proposed view.
		Number uint64
		Ballot ProposalNumber
	}
	// Install announces a decided view. It also brings a member with an older view up to date; Proposal.Base is then a
	// committed state that the view may have reached after its start.
	Install struct {
		From     MemberID
		Proposal Proposal
		// BaseIsLater reports whether Proposal.Base may be later than the state that the view started from. Earlier
		// versions of this program do not send it.
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
	// Stored is a message of a member to itself. It is delivered after the records that precede it are persisted, so the
	// view is on disk when it arrives. It is never sent over the network.
	Stored struct{ View uint64 }
)

// Status describes the state of a member. Each Ping and Pong carries the status of its sender. The field names are fixed.
type Status struct {
	// View is the number of the view in force at the member.
	View uint64
	// Sealed reports whether the member has promised a proposal number for the next view.
	Sealed bool
	// Healthy reports whether the member can be in a chain: its disk responds and it is not leaving.
	Healthy bool
	// DiskHealthy reports whether the member's disk responds, whether or not the member is leaving. Earlier versions of this
	// program do not send it.
	DiskHealthy bool
	// Leaving reports whether the member will stop as soon as the other members no longer need it.
	Leaving bool
	// Stored is the number of the latest view that the member has on disk.
	Stored uint64
	// Seq is the sequence number of the member's latest entry.
	Seq uint64
	// Committed is the sequence number up to which the member knows the log to be committed.
	Committed uint64
	// OperationVersion is the highest version of operations that the member understands. Earlier versions of this program do
	// not send it.
	OperationVersion int
}

// Envelope is a message with the address of its receiver. It stays inside the process.
type Envelope struct {
	To      string
	Message any
}
