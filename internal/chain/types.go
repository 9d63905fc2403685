// Package chain replicates a value over the members of the core by chain replication, with a view of the members that
// a majority agrees on. It is a state machine: events in, records to store and messages to send out; it does no input
// or output, reads no clock and starts no goroutine.
//
// Writes enter at the head of the chain, are stored by each member in turn and are committed by the tail. When a member
// cannot be reached, comes back or is replaced, a member proposes the next view by single-decree Paxos among the voters
// of the present one. A voter that has promised is sealed: it takes no further writes of its view. As each chain holds a
// majority of its view's voters, the voters that promise include a member of the chain, and so all that was committed.
// The value agreed on is the next view together with the state that it begins with.
package chain

import (
	"slices"
	"time"
)

// MemberID names one member with one disk. A member whose disk was lost is another one.
type MemberID string

// Member is a member of the core.
type Member struct {
	ID             MemberID
	Name           string
	Address        string // at which other processes of the system call it
	ControlAddress string // at which endpoints and the operator call it
	Zone           string
}

// View is the agreed membership.
type View struct {
	Number uint64
	Voters []Member
	Chain  []MemberID // head first
	Holder MemberID   // of the singleton role
	Token  uint64     // rises whenever the holder changes
	// FormerHolders are the addresses of the members that held the role before, the latest first, each once.
	FormerHolders []string
}

// mostFormerHolders bounds the former holders that a view names. A core has fewer members than that.
const mostFormerHolders = 16

// handOver gives the role to another member, under a new token.
func (v *View) handOver(to MemberID, from string) {
	v.Holder = to
	v.Token++
	former := []string{from}
	for _, address := range v.FormerHolders {
		if address != from && len(former) < mostFormerHolders {
			former = append(former, address)
		}
	}
	v.FormerHolders = former
}

// holderReturns tells whether the holder is one of the former holders, at the same address.
func (v *View) holderReturns() bool {
	holder, _ := v.Voter(v.Holder)
	return slices.Contains(v.FormerHolders, holder.Address)
}

// Head of the chain; empty for none.
func (v *View) Head() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[0]
}

// Tail of the chain; empty for none.
func (v *View) Tail() MemberID {
	if len(v.Chain) == 0 {
		return ""
	}
	return v.Chain[len(v.Chain)-1]
}

// Position of a member in the chain; -1 for none.
func (v *View) Position(id MemberID) int {
	for i, member := range v.Chain {
		if member == id {
			return i
		}
	}
	return -1
}

// Voter finds a voter.
func (v *View) Voter(id MemberID) (Member, bool) {
	for _, voter := range v.Voters {
		if voter.ID == id {
			return voter, true
		}
	}
	return Member{}, false
}

// Majority is how many voters make a majority.
func (v *View) Majority() int { return len(v.Voters)/2 + 1 }

// Ballot orders the proposals for one view.
type Ballot struct {
	Counter  uint64
	Proposer MemberID
}

// Less orders ballots.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

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

// Proposal is what is agreed on: a view and the state that it begins with.
type Proposal struct {
	View View
	Base State
}

// Accepted is a proposal that a voter has accepted.
type Accepted struct {
	Ballot   Ballot
	Proposal Proposal
}

// Records are stored in the order in which they are given out. A Snapshot stands for all records before it.
type (
	// Snapshot is all that a member must not forget.
	Snapshot struct {
		Self     Member
		View     View
		Base     State
		Entries  []Entry
		Promised Ballot
		Accepted *Accepted
		Held     uint64
	}
	// EntryRecord is an entry added to the log.
	EntryRecord struct{ Entry Entry }
	// PromiseRecord is a promise for the next view.
	PromiseRecord struct{ Ballot Ballot }
	// AcceptRecord is an accepted proposal.
	AcceptRecord struct{ Accepted Accepted }
	// HeldRecord tells that this member has waited out its pause as the holder with a token.
	HeldRecord struct{ Token uint64 }
	// InstallRecord is a view that was decided; it ends the log and the promises of the one before.
	InstallRecord struct{ Proposal Proposal }
)

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
		Ballot Ballot
	}
	// Promise answers a Prepare.
	Promise struct {
		From     MemberID
		Number   uint64
		Ballot   Ballot
		InChain  bool
		State    State // of a member of the chain
		Accepted *Accepted
	}
	// Reject answers a Prepare or an Accept with a lower ballot than one promised.
	Reject struct {
		From     MemberID
		Number   uint64
		Promised Ballot
	}
	// Accept asks the voters to accept a proposal.
	Accept struct {
		From     MemberID
		Ballot   Ballot
		Proposal Proposal
	}
	// AcceptedReply tells that a proposal is stored.
	AcceptedReply struct {
		From   MemberID
		Number uint64
		Ballot Ballot
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

// Output is what follows from an event. Messages are sent once all records given out so far are stored; Urgent ones
// at once.
type Output struct {
	Records  []any
	Messages []Envelope
	Urgent   []Envelope
	// Installed tells that a new view is in force here.
	Installed bool
}

// Config is what a node is started with.
type Config struct {
	Self Member
	// Apply gives the value after an operation. It decides the same everywhere.
	Apply func(value any, operation []byte) any
	// Seeds are the addresses that a member asks which is in no view yet, or cannot reach a majority of its view.
	Seeds []string
	// MostFailures is how many members may be lost at once.
	MostFailures int
	// PingEvery is the time between two pings, SuspectAfter that after which a silent member is suspected.
	PingEvery    time.Duration
	SuspectAfter time.Duration
	// ProposeTimeout is how long a proposal may take before it is made again.
	ProposeTimeout time.Duration
	// LeaseFor is how long a majority's word counts for the holder of the singleton role.
	LeaseFor time.Duration
	// HolderPause is the time after a change of the holder before the new one acts, by when its predecessor has stopped.
	HolderPause time.Duration
	// ReturnPause is that time for a member that is one of the former holders, so that two do not take turns. It is no
	// shorter than HolderPause.
	ReturnPause time.Duration
	// FirstNonce is the number of this life's first ping. It is drawn anew for each life of a process, so that a pong which
	// answers a ping of an earlier life answers none of this one.
	FirstNonce uint64
	// Jitter gives a random part of a duration.
	Jitter func(time.Duration) time.Duration
}
