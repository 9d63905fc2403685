package decision

import (
	"fmt"
	"time"
)

// RequestID identifies a request; the Balancer passes it back to the Host unchanged.
type RequestID string

// EndpointID identifies an endpoint; it stays the same when its process restarts.
type EndpointID uint32

// Request is one client request as it arrives.
type Request struct {
	ID        RequestID
	Class     int           // index in Settings.Classes
	Tenant    int           // index in Settings.Tenants; any other number means no tenant
	Remaining time.Duration // time until the client gives up on this attempt
	IsRetry   bool          // the client marks the request as a retry
	IdleConns int           // idle connections from callers to this instance, without the one of this request
	// LongBody says that most of the body has not arrived yet and is forwarded as it arrives. RequestSent
	// reports the last byte, and Remaining counts from then on.
	LongBody bool
}

// Status says how an attempt ended. Logs and the records of internal/lab contain its String form.
type Status int

// The statuses of an attempt. Where the String form differs from the name, the comment gives it in quotes.
const (
	OK              Status = iota
	Error                  // the endpoint answered with an error; the request may have run
	Rejected               // the endpoint was full and rejected the request before running it ("full")
	Timeout                // no answer arrived in time; the request may have run
	ConnectFailed          // no connection was established in time; the request never ran
	Reset                  // the connection broke; the request may have run
	Cancelled              // the Balancer withdrew the attempt; the request may have run
	NotSent                // the attempt was never sent ("moot")
	InvalidResponse        // the response is malformed, or only its connection broke; may have run ("spoilt")
)

// String returns the name of the status in logs.
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

// Load is the load report of an endpoint. A negative value means that the endpoint did not report it.
type Load struct {
	InFlight float64       // calls in flight
	Queue    float64       // calls that wait at the endpoint
	Util     float64       // utilization
	Service  time.Duration // recent service time, without the time in the queue
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID            RequestID
	Endpoint      EndpointID
	Attempt       int  // number of the attempt within its request, from 0
	Final         bool // the client has its final answer, through this outcome or before it
	Elapsed       time.Duration
	Status        Status
	Load          *Load // nil if the endpoint sent no load report
	NotReplayable bool  // the request cannot be sent again, because the body that was sent is not kept
}

// State is the state of an endpoint in the endpoint list.
type State int

// The states of a listed endpoint.
const (
	Ready    State = iota
	Draining       // the endpoint finishes its calls in flight and must get no new ones
	Departed       // the endpoint was removed; occurs only in a DeltaList
)

// Entry is the description of one endpoint in the endpoint list.
type Entry struct {
	Endpoint EndpointID
	Zone     int
	Kind     int // machine kind
	Cell     int // group of endpoints that share the duplicate detection of keyed requests
	State    State
	Weight   float64       // relative capacity
	Started  time.Duration // latest start of the process, on the clock of the events; 0 if long ago
}

// ListKind says which endpoints a List contains.
type ListKind int

// The kinds of a List.
const (
	DeltaList  ListKind = iota // only the entries that changed
	FullList                   // all endpoints
	CachedList                 // all endpoints, from a cache of this instance that may be outdated
	FailedList                 // no endpoints: the list could not be fetched, and the previous one stays valid
)

// List is an update of the endpoint list.
type List struct {
	Kind    ListKind
	Version uint64
	// VersionsRestart says that Version is not comparable with earlier versions: the list comes from another
	// discovery service, or from one that has restarted its count.
	VersionsRestart bool
	Entries         []Entry
}

// The parts of a Host. The Balancer calls their methods only while it handles an event; they must not call
// the Balancer.
type (
	// Sender sends and cancels attempts.
	Sender interface {
		// Send sends an attempt. With a timeout of 0 the attempt may last until the client gives up. The last byte
		// of the request must be sent within the duration within, unless that is 0; an attempt that cannot begin
		// in that time ends as NotSent.
		Send(id RequestID, to EndpointID, timeout, within time.Duration)
		// Cancel withdraws an attempt that is in flight; the Host still reports its outcome.
		Cancel(id RequestID, attempt int)
	}

	// Answerer sends the final answers that do not come from an endpoint.
	Answerer interface {
		// Refuse answers that the request was not served and that the client may safely retry it after retryAfter.
		Refuse(id RequestID, retryAfter time.Duration)
		// Fail answers that the request failed, without a statement on retries.
		Fail(id RequestID)
	}

	// ListSource requests the endpoint list from discovery. The Host reports each answer to Balancer.Targets.
	ListSource interface {
		// Watch starts, restarts or stops the watch for changes of the list.
		Watch(on bool)
		// Fetch requests the full list once.
		Fetch()
	}

	// TimerSetter sets timers. The Host reports an expired timer to Balancer.Timer with its token.
	TimerSetter interface {
		SetTimer(token uint64, after time.Duration)
	}

	// Logger writes messages to the operator's log.
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
