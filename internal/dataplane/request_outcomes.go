package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// phase is an activity that takes time before the response to a request starts.
type phase int

// The phases.
const (
	phaseNoEndpoint     phase = iota // waiting because the service has no endpoint
	phaseModelNotLoaded              // waiting because no endpoint has the model loaded
	phaseAdapterMissing              // waiting because no endpoint with the model has the adapter loaded
	phaseNoCapacity                  // waiting because all endpoints with the model are full, ejected or already tried
	phaseDial                        // connecting to an endpoint
	phaseFailedAttempt               // waiting for the response of an endpoint whose attempt failed
	phaseFirstByte                   // waiting for the response of the endpoint that answered the request
	phaseCount
)

// phaseNames are the names of the phases in metrics and explanations. They are part of the operator's interface and must not
// change.
var phaseNames = [phaseCount]string{"no_endpoint", "no_copy", "no_adapter", "no_room", "dial", "earlier_try", "first_answer"}

// waitingPhase returns the phase of a request that waits after a selection without an endpoint.
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

// phase returns the phase that the time from sending the request to the head of the response counts towards.
func (r attemptResult) phase() phase {
	if r.answered {
		return phaseFirstByte
	}
	return phaseFailedAttempt
}

// requestTiming records how the time of one request is spent. Only the goroutine of the request uses it.
type requestTiming struct {
	phaseDurations    [phaseCount]time.Duration
	responseStartedAt time.Time // zero until the response starts
	lastChunkAt       time.Time
	longestPause      time.Duration // longest time between two chunks of the response
}

// addTime adds the time since a given moment to a phase.
func (t *requestTiming) addTime(p phase, since time.Time) { t.phaseDurations[p] += time.Since(since) }

// recordChunk records the arrival of a chunk of the response. The first call marks the start of the response.
func (t *requestTiming) recordChunk(now time.Time) {
	if t.responseStartedAt.IsZero() {
		t.responseStartedAt, t.lastChunkAt = now, now
		return
	}
	t.longestPause = max(t.longestPause, now.Sub(t.lastChunkAt))
	t.lastChunkAt = now
}

// longestPhase returns the phase that took the most time.
func (t *requestTiming) longestPhase() phase {
	longest := phaseNoEndpoint
	for p := range phaseCount {
		if t.phaseDurations[p] > t.phaseDurations[longest] {
			longest = p
		}
	}
	return longest
}

// The results of requests in metrics and explanations. The values are part of the operator's interface and must not change.
const (
	resultInTime   = "in_time"
	resultLate     = "late"
	resultRejected = "refused"   // rejected, with the promise that the request has not run
	resultFailed   = "failed"    // failed without that promise, or truncated after the response had started
	resultCanceled = "withdrawn" // the client left before the end of the response
)

// causePause is the cause if a stream is late because of too long a pause between two of its events.
const causePause = "pause"

// requestOutcome describes how a request ended. Requests are counted by it.
type requestOutcome struct {
	kind     fleetconfig.RouteKind
	priority int    // priority of the route
	result   string // one of the result constants
	cause    string // the longest phase, causePause or the failure; empty for a request that was answered in time
}

// outcome determines the outcome of a request that has ended. The failure is nil for an answered request. If the response has
// started, the failure is the reason why it was truncated.
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

// latenessCause returns why a response is late, or an empty string if it is in time.
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

// maxDistinctOutcomes bounds the distinct outcomes that are counted. Requests with further outcomes are not counted.
const maxDistinctOutcomes = 1024

// countOutcome counts how a request ended. Only the table loop calls it.
func (s *Server) countOutcome(outcome requestOutcome) {
	if _, known := s.outcomes[outcome]; known || len(s.outcomes) < maxDistinctOutcomes {
		s.outcomes[outcome]++
	}
}
