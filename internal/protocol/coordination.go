package protocol

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/coordination"
)

// CoordinationWrite asks the head of the chain to execute a command of the coordination service. A control process sends it to
// forward a caller's request; the head answers with a Reply. If either is lost, the outcome of the command is unknown.
type CoordinationWrite struct {
	From    string // address to which the reply is sent
	ID      uint64 // number of the call, unique for the sender's incarnation
	Command coordination.Command
}

// CoordinationRead requests a cell, or the revision of a group of cells, from the tail of the chain, which answers with a Reply.
// If either is lost, the caller's request fails as unavailable.
type CoordinationRead struct {
	From  string // address to which the reply is sent
	ID    uint64 // number of the call, unique for the sender's incarnation
	Cell  string // name of the cell; empty to read a group
	Group string // name of the group; empty to read a cell
}

// CoordinationStatus is the status of the coordination service as one control process knows it.
type CoordinationStatus struct {
	// Locks, Numbers, Cells, Groups and Events are the numbers of entries in the tables of the committed state. The events are
	// the puts that are kept for watches.
	Locks, Numbers, Cells, Groups, Events int
	// Bytes is the approximate size of the names and values in the tables.
	Bytes int
	// Watches is the number of callers that wait for events at this process.
	Watches int
}

// LockExplainRequest asks a control process who holds a lock and why other callers cannot acquire it. An operator's command
// sends it as the only message on a connection; the answer is a LockExplanation. If either is lost, the command times out.
type LockExplainRequest struct {
	Lock string
}

// LockExplanation answers a LockExplainRequest.
type LockExplanation struct {
	Lock string
	Now  time.Duration // current time on the clock of the answering process, which all times here refer to
	// Head is the head of the chain, which decides on locks. IsHead is true if the answering process is the head. EndsAt and
	// Events are set only in that case.
	Head   chain.MemberID
	IsHead bool
	// Held is true if Holder holds the lock in the committed state. The holder acquired the lock with FirstToken; Token is its
	// current token.
	Held       bool
	Holder     string
	FirstToken uint64
	Token      uint64
	HoldMs     int64         // longest hold time that the holder has requested, in milliseconds
	EndsAt     time.Duration // when another caller can acquire the lock, unless the holder renews it
	Events     []LockEvent   // oldest first; bounded
}

// LockEventKind is the kind of a LockEvent.
type LockEventKind string

// The kinds of lock events.
const (
	// LockRefused is an attempt to acquire the lock while another caller held it.
	LockRefused LockEventKind = "refused"
	// LockRenewalRefused is a renewal by a caller that no longer held the lock.
	LockRenewalRefused LockEventKind = "renewal refused"
	// LockTakenOver is the acquisition of a lock whose previous hold had expired.
	LockTakenOver LockEventKind = "taken over"
)

// LockEvent is a series of equal outcomes of one caller's requests for a lock.
type LockEvent struct {
	At     time.Duration // time of the last outcome in the series
	Count  int           // number of outcomes in the series
	Lock   string
	Kind   LockEventKind
	Caller string
	Token  uint64 // token that the caller acquired, or sent with its renewal
	// Holder and HolderToken identify the hold that blocked the request or was replaced. They are empty if nobody held the
	// lock.
	Holder      string
	HolderToken uint64
}
