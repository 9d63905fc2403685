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
	Class     int           // index in Settings.Classes
	Tenant    int           // index in Settings.Tenants; another one is of no tenant
	Remaining time.Duration // until the client gives up this attempt of its own
	IsRetry   bool          // the client marks it as a retry
	IdleConns int           // connections of callers to this instance that are idle, beside its own
	// LongBody says that most of the body is still to come, and is sent as it arrives. RequestSent reports its
	// end, and Remaining counts from there.
	LongBody bool
}

// Status is how an attempt ended. Its String form is in logs and the laboratory's records.
type Status int

// The outcomes of an attempt.
const (
	OK              Status = iota
	Error                  // answered with an error; may have run
	Rejected               // rejected unseen; never ran ("full")
	Timeout                // no answer in time; may have run
	ConnectFailed          // no connection in time; never ran
	Reset                  // the connection broke; may have run
	Cancelled              // withdrawn by the Balancer; may have run
	NotSent                // never sent ("moot")
	InvalidResponse        // the response cannot be used, or its connection alone broke; may have run ("spoilt")
)

// String is the status's name in a log.
func (s Status) String() string {
	names := [...]string{
		"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot",
		"spoilt",
	}
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
	Attempt       int  // number of the attempt of its request, from 0
	Final         bool // the request has its final answer, by this outcome or before it
	Elapsed       time.Duration
	Status        Status
	Load          *Load // nil without a report
	NotReplayable bool  // the request cannot be sent again: the body that was sent is not kept
}

// State is an endpoint's state in the list.
type State int

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // finishes its calls; nothing new may be sent
	Departed       // removed; only in deltas
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int
	Kind     int // of machine
	Cell     int
	State    State
	Weight   float64
	Started  time.Duration // latest start, on the event clock; 0 for long past
}

// ListKind says how a list is to be read.
type ListKind int

// The kinds of list.
const (
	DeltaList  ListKind = iota // only entries that changed
	FullList                   // every endpoint
	CachedList                 // every endpoint, as this instance last knew them
	FailedList                 // the list could not be had; the last one stands
)

// List is an update of the endpoint list.
type List struct {
	Kind    ListKind
	Version uint64
	// VersionsRestart says that versions count from this one on: the list is of another discovery, or of one
	// that has begun to count anew.
	VersionsRestart bool
	Entries         []Entry
}

// The roles of a Host. Their methods are called only from within the Balancer's events, and must not call
// back.
type (
	// Sender makes and cancels attempts.
	Sender interface {
		// Send makes an attempt. A timeout of 0 lasts until the client gives up. Within is the time by which the
		// last byte must be sent, 0 for no bound; an attempt that cannot begin by then ends as NotSent.
		Send(id RequestID, to EndpointID, timeout, within time.Duration)
		// Cancel withdraws an attempt that is in flight; its outcome is still reported.
		Cancel(id RequestID, attempt int)
	}

	// Answerer gives the final answers that are not an endpoint's.
	Answerer interface {
		// Refuse answers that the request was not served and that the client may safely retry it after a time.
		Refuse(id RequestID, retryAfter time.Duration)
		// Fail answers that the request failed, and promises nothing about retries.
		Fail(id RequestID)
	}

	// ListSource asks discovery for the endpoint list; answers are reported to Targets.
	ListSource interface {
		// Watch begins (again) or ends to follow changes.
		Watch(on bool)
		// Fetch asks for the full list once.
		Fetch()
	}

	// TimerSetter sets timers that are reported to Timer.
	TimerSetter interface {
		SetTimer(token uint64, after time.Duration)
	}

	// Logger takes notes for the operator.
	Logger interface {
		Log(text string)
	}
)

// Host carries out a Balancer's actions.
type Host interface {
	Sender
	Answerer
	ListSource
	TimerSetter
	Logger
}
