package requestsoak

import (
	"fmt"
	"sync"
	"time"
)

// RouteKind is the kind of a route.
type RouteKind string

// The kinds of routes. Streams that cannot be resumed count as non-idempotent.
const (
	Idempotent    RouteKind = "idempotent"
	NonIdempotent RouteKind = "non_idempotent"
	Streaming     RouteKind = "streaming"
	Resumable     RouteKind = "resumable" // a streaming route whose streams can be resumed
)

// runsOnce reports whether a request to a route of the kind may run only once.
func (k RouteKind) runsOnce() bool { return k == NonIdempotent || k == Streaming }

// isStream reports whether responses of a route of the kind are streams of events.
func (k RouteKind) isStream() bool { return k == Streaming || k == Resumable }

// configured returns the kind as the configuration of a route has it.
func (k RouteKind) configured() string {
	if k == Resumable {
		return string(Streaming)
	}
	return string(k)
}

// ConnectionEnd tells how a client's connection ended before a response was complete.
type ConnectionEnd string

// The ends of connections.
const (
	NotEnded    ConnectionEnd = ""            // the response was complete
	Unreachable ConnectionEnd = "unreachable" // no connection was made
	NotSent     ConnectionEnd = "not_sent"    // the request was not written completely
	Closed      ConnectionEnd = "closed"      // end of input before the first byte of a response
	Reset       ConnectionEnd = "reset"       // reset before the first byte of a response: the peer had not read the request
	Truncated   ConnectionEnd = "truncated"   // the connection ended within the response
	TimedOut    ConnectionEnd = "timed_out"   // the client's deadline passed
)

// Try is one request that a client sent to a proxy.
type Try struct {
	ID        string // X-Request-Id, different for each try
	Operation string // equal for the tries of one operation
	Kind      RouteKind
	Proxy     string // name of the proxy
	Sent      time.Duration
	Ended     time.Duration
	Deadline  time.Duration

	Status     int // 0 without a response head
	AnsweredID string
	Signature  string
	Body       string
	End        ConnectionEnd
}

// String formats the try for a trace.
func (t *Try) String() string {
	return fmt.Sprintf("%.3f s to %.3f s (deadline %.3f s): %s %s (operation %s) at %s: status %d, signature %q, end %q",
		t.Sent.Seconds(), t.Ended.Seconds(), t.Deadline.Seconds(), t.Kind, t.ID, t.Operation, t.Proxy, t.Status, t.Signature, t.End)
}

// Run is one execution of a request at an endpoint.
type Run struct {
	Request, Endpoint, Signature string
	Connection                   string // the proxy's end of the connection
	Began, Ended                 time.Duration
	Status                       int    // status of the response
	Complete                     bool   // the endpoint wrote the complete response, or the rest of it in a resumed stream
	BrokenOff                    bool   // the endpoint ended the connection before that
	Body                         string // of a response that was broken off, the part that may have been written
}

// EndpointEvent is something that an endpoint did with a request, other than running it.
type EndpointEvent struct {
	At                                  time.Duration
	Request, Endpoint, Connection, What string
}

// ProcessEvent is a signal to a proxy, or its start.
type ProcessEvent struct {
	At      time.Duration
	Process string
	What    processAction
}

// processAction is what happened to a process.
type processAction string

const (
	processStarted    processAction = "start"
	processTerminated processAction = "SIGTERM"
	processHungUp     processAction = "SIGHUP"
	processKilled     processAction = "SIGKILL"
	processFrozen     processAction = "SIGSTOP"
	processThawed     processAction = "SIGCONT"
	processExited     processAction = "exit"
)

// History is all that was recorded in a run of the scenario.
type History struct {
	Tries     []*Try
	Runs      []*Run
	Events    []EndpointEvent
	Processes []ProcessEvent
}

// recorder collects a history. It is safe for concurrent use.
type recorder struct {
	began time.Time

	mu      sync.Mutex
	history History
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

// now returns the time since the beginning of the history.
func (r *recorder) now() time.Duration { return time.Since(r.began) }

func (r *recorder) addTry(t *Try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Tries = append(r.history.Tries, t)
}

func (r *recorder) addRun(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Runs = append(r.history.Runs, run)
}

func (r *recorder) addEvent(e EndpointEvent) {
	e.At = r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Events = append(r.history.Events, e)
}

func (r *recorder) addProcessEvent(process string, what processAction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Processes = append(r.history.Processes, ProcessEvent{At: r.now(), Process: process, What: what})
}

// result returns the history. No more may be added afterwards.
func (r *recorder) result() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &r.history
}
