package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// phase is what the time of a request is spent on before its response starts.
type phase int

// The phases.
const (
	phaseNoEndpoint     phase = iota // waiting: the service has no endpoint
	phaseModelNotLoaded              // waiting: no endpoint has the model loaded
	phaseAdapterMissing              // waiting: some endpoint has the model loaded, none the adapter
	phaseNoCapacity                  // waiting: those that have it loaded are full, ejected or were tried
	phaseDial                        // connecting to an endpoint
	phaseFailedAttempt               // at endpoints that did not answer the request in the end
	phaseFirstByte                   // at the endpoint that answered, until its response started
	phaseCount
)

// phaseNames are the phases' names in metrics and explanations, which are fixed.
var phaseNames = [phaseCount]string{"no_endpoint", "no_copy", "no_adapter", "no_room", "dial", "earlier_try", "first_answer"}

// waitingPhase is what a request waits for after a selection that found nothing.
func waitingPhase(result routing.SelectionResult) phase {
	switch result {
	case routing.ModelNotLoaded:
		return phaseModelNotLoaded
	case routing.AdapterNotLoaded:
		return phaseAdapterMissing
	case routing.NoneAvailable:
		return phaseNoCapacity
	}
	return phaseNoEndpoint
}

// phase is what the time from sending a request to the head of its response counts for.
func (r attemptResult) phase() phase {
	if r.answered {
		return phaseFirstByte
	}
	return phaseFailedAttempt
}

// requestTiming is where the time of one request goes. The goroutine of the request owns it.
type requestTiming struct {
	phaseDurations    [phaseCount]time.Duration
	responseStartedAt time.Time // when the response started; zero before
	lastChunkAt       time.Time
	longestPause      time.Duration // between two chunks of the response
}

// addTime adds the time since a moment to a phase.
func (t *requestTiming) addTime(p phase, since time.Time) { t.phaseDurations[p] += time.Since(since) }

// recordChunk notes that a recordChunk of the response came.
func (t *requestTiming) recordChunk(now time.Time) {
	if t.responseStartedAt.IsZero() {
		t.responseStartedAt, t.lastChunkAt = now, now
		return
	}
	t.longestPause = max(t.longestPause, now.Sub(t.lastChunkAt))
	t.lastChunkAt = now
}

// longestPhase is the phase that took most of the time.
func (t *requestTiming) longestPhase() phase {
	longest := phaseNoEndpoint
	for p := range phaseCount {
		if t.phaseDurations[p] > t.phaseDurations[longest] {
			longest = p
		}
	}
	return longest
}

// The results of requests, as metrics and explanations name them. The names are fixed.
const (
	resultInTime   = "in_time"
	resultLate     = "late"
	resultRejected = "refused" // with the promise that it has not run
	resultFailed   = "failed"  // without it, or cut after the response had started
	resultCanceled = "withdrawn"
)

// causePause is the cause of a stream that is late for a pause between its events.
const causePause = "pause"

// requestOutcome is how a request ended, as it is counted.
type requestOutcome struct {
	kind     fleetconfig.RouteKind
	priority int    // of the route
	result   string // one of the results
	cause    string // the phase that took longest, or the failure; empty for what was answered in time
}

// outcome judges a request at its end. Failure is nil for one that was answered, and says why the response was cut for one
// whose response has started.
func (x *exchange) outcome(failure *rejection) requestOutcome {
	route := x.request.route
	outcome := requestOutcome{kind: route.Kind, priority: routePriority(route), result: resultInTime}
	switch {
	case x.clientLeft:
		outcome.result, outcome.cause = resultCanceled, x.latenessCause()
	case failure != nil && errkind.AnswerOf(failure.kind).NotExecuted:
		outcome.result, outcome.cause = resultRejected, phaseNames[x.timing.longestPhase()]
	case failure != nil:
		outcome.result, outcome.cause = resultFailed, errkind.AnswerOf(failure.kind).Text
	default:
		if outcome.cause = x.latenessCause(); outcome.cause != "" {
			outcome.result = resultLate
		}
	}
	return outcome
}

// latenessCause is why a response is late; empty for one in time.
func (x *exchange) latenessCause() string {
	timing, route := &x.timing, x.request.route
	target := route.TargetLatency()
	if target > 0 && (timing.responseStartedAt.IsZero() || timing.responseStartedAt.Sub(x.request.arrivedAt) > target) {
		return phaseNames[timing.longestPhase()]
	}
	maxPause := route.TargetGap()
	if route.Kind == fleetconfig.Streaming && maxPause > 0 && timing.longestPause > maxPause {
		return causePause
	}
	return ""
}

// maxDistinctOutcomes bounds the outcomes that are told apart.
const maxDistinctOutcomes = 1024

// countOutcome counts how a request ended. The tables' owner calls it.
func (s *Server) countOutcome(outcome requestOutcome) {
	if _, known := s.outcomes[outcome]; known || len(s.outcomes) < maxDistinctOutcomes {
		s.outcomes[outcome]++
	}
}
