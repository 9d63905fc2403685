package protocol

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/coordination"
)

// CoordinationWrite asks the head of the chain to execute a command of the coordination service. A control process sends it to
// forward a caller's request; the head answers with a Reply. If either is lost, the outcome of the command is not known.
type CoordinationWrite struct {
	From    string // address to which the reply is sent
	ID      uint64 // number of the call, unique for the sender's incarnation
	Command coordination.Command
}

// CoordinationRead asks the tail of the chain for a cell or for the revision of a group; the other name is empty. If it or its
// Reply is lost, the caller's request fails as unavailable.
type CoordinationRead struct {
	From  string // address to which the reply is sent
	ID    uint64 // number of the call, unique for the sender's incarnation
	Cell  string
	Group string
}

// CoordinationStatus is the coordination service as one control process sees it.
type CoordinationStatus struct {
	// Locks, Numbers, Cells, Groups and Events are the sizes of the tables in the committed state. Events are the puts that
	// are kept for watches.
	Locks, Numbers, Cells, Groups, Events int
	// Bytes is what the names and values of the tables take, approximately.
	Bytes int
	// Watches is how many callers wait at this process.
	Watches int
}

// LockExplainRequest asks a control process who has a lock, and why others do not get it. An operator's command sends it as
// the only message on a connection; the answer is a LockExplanation. If either is lost, the command times out.
type LockExplainRequest struct {
	Lock string
}

// LockExplanation answers a LockExplainRequest.
type LockExplanation struct {
	Lock string
	Now  time.Duration // on the clock of the process that answers, as are all times here
	// Head is the member that decides on locks. IsHead is true if it is the process that answers: only then are EndsAt and
	// Events known.
	Head   chain.MemberID
	IsHead bool
	// Held is true if the lock is held in the committed state, by Holder, which took it with FirstToken and has Token now.
	Held       bool
	Holder     string
	FirstToken uint64
	Token      uint64
	HoldMs     int64         // the longest time that the holder has asked for
	EndsAt     time.Duration // when another caller can have the lock, unless it is renewed
	Events     []LockEvent   // oldest first; bounded
}

// LockEventKind is what a LockEvent tells.
type LockEventKind string

// The kinds of lock events.
const (
	// LockRefused is a begin that found the lock held by another caller.
	LockRefused LockEventKind = "refused"
	// LockRenewalRefused is a renewal by a caller that does not hold the lock any more.
	LockRenewalRefused LockEventKind = "renewal refused"
	// LockTakenOver is a begin that replaced a hold that was over.
	LockTakenOver LockEventKind = "taken over"
)

// LockEvent is something that callers of a lock have met.
type LockEvent struct {
	At     time.Duration // the last time
	Count  int           // how many times in a row
	Lock   string
	Kind   LockEventKind
	Caller string
	Token  uint64 // of the caller: the one that it got, or brought
	// Holder and HolderToken are the hold that was in the way or was replaced; empty where nobody held the lock.
	Holder      string
	HolderToken uint64
}
