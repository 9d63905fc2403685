// Package decision makes the decisions of a load balancer for services that
// call services: which endpoint gets a call, when a call is tried again, held,
// refused or failed, and how the endpoint list is followed.
//
// This file is the interface: the settings a Balancer is started with, the
// values its events carry, and the actions it takes through a Host. All
// decisions are in admit.go, pick.go, outcome.go and lists.go. The package
// does no input or output, reads no clock and starts no goroutine: the program that embeds it hands over each
// event with the time, counted from an arbitrary start, and carries out the
// actions in the order they are asked for.
package decision

import (
	"fmt"
	"time"
)

// RequestID names a request; the Balancer returns it unchanged.
type RequestID string

// EndpointID names an endpoint; it stays the same when its process restarts.
type EndpointID uint32

// Request is one client request as it arrives.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Remaining time.Duration // time until the client gives this try up
	IsRetry   bool          // the client marks it as a repeat
	IdleConns int           // callers' connections to this instance that stand idle beside its own
	// Long says that most of it is still to come, and goes out as it does: Written tells of its end, and Left
	// counts from there.
	LongBody bool
}

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt.
const (
	OK              Status = iota
	Error                  // answered with an error; may have run
	Rejected               // turned away unseen
	Timeout                // no answer in time; may have run
	ConnectFailed          // no connection in time; never ran
	Reset                  // the connection broke; may have run
	Cancelled              // withdrawn; may have run
	NotSent                // never sent
	InvalidResponse        // what came is of no use, or its connection alone broke; may have run
)

// String is the status's name in a log.
func (s Status) String() string {
	names := [...]string{"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot",
		"spoilt"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprint(int(s))
	}
	return names[s]
}

// NeverRan reports whether the outcome proves that the attempt did not run.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// Load is an endpoint's load report; a field that was not reported is negative.
type Load struct {
	InFlight float64
	Queue    float64
	Util     float64
	Service  time.Duration // recent service time, without waiting
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID            RequestID
	Endpoint      EndpointID
	Attempt       int
	Final         bool // the request is finished, by this outcome or before it
	Elapsed       time.Duration
	Status        Status
	Load          *Load // nil without a report
	NotReplayable bool  // the request cannot be sent again: what went out of it is not kept
}

// State is an endpoint's state in the list.
type State int

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // finishing its work; send it nothing new
	Departed       // removed; only in deltas
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int
	Kind     int
	Cell     int
	State    State
	Weight   float64
	Started  time.Duration // latest start, on the event clock; 0 for long past
}

// ListKind tells how a list is to be read.
type ListKind int

// The kinds of list.
const (
	DeltaList  ListKind = iota // only entries that changed
	FullList                   // every endpoint there is
	CachedList                 // every endpoint, as this instance last knew them
	FailedList                 // the request for a list failed; the old one stands
)

// List is what discovery tells about the endpoints.
type List struct {
	Kind            ListKind
	Version         uint64
	VersionsRestart bool // versions count from this one on: it is another discovery's, or one that has begun anew
	Entries         []Entry
}

// Host carries out a Balancer's actions. It is called only from within the
// Balancer's event methods and must not call back into the Balancer.
type Host interface {
	// Send makes an attempt. Timeout 0 is until the client gives up. Within is how long its last byte may take
	// to be out, 0 for no bound: what cannot begin so soon, as its connection comes up late, ends as Moot.
	Send(id RequestID, to EndpointID, timeout, within time.Duration)
	Refuse(id RequestID, retryAfter time.Duration) // final answer: try again, it is harmless
	Fail(id RequestID)                             // final answer: failed, promising nothing
	Cancel(id RequestID, attempt int)
	SetTimer(token uint64, after time.Duration)
	Watch(on bool)
	Fetch()
	Log(text string)
}
