package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// phase is what the time of a request is spent on before its answer begins.
type phase int

// The phases.
const (
	phaseNoEndpoint phase = iota // waiting: the service has no endpoint
	phaseNoCopy                  // waiting: no endpoint holds the model
	phaseNoAdapter               // waiting: the model stands somewhere, the adapter nowhere
	phaseNoRoom                  // waiting: those that hold the model are full, isolated or were tried
	phaseDial                    // connecting to an endpoint
	phaseEarlier                 // at endpoints that did not answer it in the end
	phaseFirst                   // at the endpoint that answered, until its answer began
	phases
)

var phaseNames = [phases]string{"no_endpoint", "no_copy", "no_adapter", "no_room", "dial", "earlier_try", "first_answer"}

// phaseOf is what a request waits for after a pick that found nothing.
func phaseOf(verdict routing.SelectionResult) phase {
	switch verdict {
	case routing.ModelNotLoaded:
		return phaseNoCopy
	case routing.AdapterNotLoaded:
		return phaseNoAdapter
	case routing.NoneAvailable:
		return phaseNoRoom
	}
	return phaseNoEndpoint
}

// The results of requests.
const (
	resultInTime    = "in_time"
	resultLate      = "late"
	resultRefused   = "refused" // with the promise that it has not run
	resultFailed    = "failed"
	resultWithdrawn = "withdrawn" // its client left or its time was over
)

// causePause is the cause of a stream that is late for a pause between its events.
const causePause = "pause"

// account is where the time of one request goes. The goroutine that carries the request owns it.
type account struct {
	spent     [phases]time.Duration
	began     time.Time // when the answer began; zero before
	lastPiece time.Time
	pause     time.Duration // the longest between two pieces of the answer
}

// spend counts the time since a moment.
func (a *account) spend(on phase, since time.Time) { a.spent[on] += time.Since(since) }

// piece notes that a piece of the answer came.
func (a *account) piece(now time.Time) {
	if a.began.IsZero() {
		a.began, a.lastPiece = now, now
		return
	}
	a.pause = max(a.pause, now.Sub(a.lastPiece))
	a.lastPiece = now
}

// longest is the phase that took most of the time.
func (a *account) longest() phase {
	most := phaseNoEndpoint
	for p := range phases {
		if a.spent[p] > a.spent[most] {
			most = p
		}
	}
	return most
}

// ending tells how a request ended, as it is counted.
type ending struct {
	kind     fleetconfig.RouteKind
	priority int
	result   string
	cause    string // empty for what was answered in time
}

// mostEndings bounds the endings that are told apart.
const mostEndings = 1024

// end judges a request whose carrying is over. Refused is nil for one that was answered, and says why the answer was cut for
// one whose answer has begun.
func (c *carrying) end(refused *refusal) ending {
	q := c.request
	e := ending{kind: q.route.Kind, priority: priorityOf(q.route), result: resultInTime}
	switch {
	case c.withdrawn:
		e.result, e.cause = resultWithdrawn, c.lateFor()
	case refused != nil && errkind.AnswerOf(refused.kind).NotExecuted:
		e.result, e.cause = resultRefused, phaseNames[c.account.longest()]
	case refused != nil:
		e.result, e.cause = resultFailed, errkind.AnswerOf(refused.kind).Text
	default:
		if e.cause = c.lateFor(); e.cause != "" {
			e.result = resultLate
		}
	}
	return e
}

// lateFor is why an answer is late; empty for one in time.
func (c *carrying) lateFor() string {
	a, route := &c.account, c.request.route
	target := route.Target()
	if target > 0 && (a.began.IsZero() || a.began.Sub(c.request.arrived) > target) {
		return phaseNames[a.longest()]
	}
	gap := time.Duration(route.GapAimMs * float64(time.Millisecond))
	if route.Kind == fleetconfig.Streaming && gap > 0 && a.pause > gap {
		return causePause
	}
	return ""
}
