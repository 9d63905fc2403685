package orders

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
)

// phase is the state of an order. The package comment describes the states and their transitions.
type phase int

const (
	publishing phase = iota
	preparing
	posting
	retrying
	executing
	uncertain
	inherited
	awaitingIdle
)

// task tracks the order of an endpoint. In the phase awaitingIdle, the order has been dropped and the task only keeps the
// endpoint from getting the next order.
type task struct {
	phase       phase
	order       placement.Order
	engine      *fleetconfig.Engine // nil if the phase is inherited
	address     string
	token       uint64 // fencing token of the lease that the order was planned under
	hadRequests bool   // Request.HadRequests
	conflicts   int    // number of Conflict answers so far
	// call is the call in flight, whose answer is awaited. It is 0 if no call is in flight.
	call CallID
	// due is the time of the next step. It has no meaning while a call is in flight.
	due time.Duration
	// recordedAt is the start of the load in the ledger.
	recordedAt time.Duration
	// acceptedAt is the time at which the endpoint has accepted the order.
	acceptedAt time.Duration
	// expectedEnd is the time by which the order should have been executed.
	expectedEnd time.Duration
	// failedReports counts the consecutive report calls without an answer.
	failedReports int
}

// countsAsExecuted reports whether the planner should see the endpoint in the state after the order. It should not if the
// outcome is uncertain and the endpoint does not answer, since requests may wait for a model that will not be loaded there.
func (t *task) countsAsExecuted() bool {
	switch t.phase {
	case awaitingIdle:
		return false
	case uncertain, inherited:
		return t.failedReports == 0
	}
	return true
}

// usesOrigin reports whether a load counts against the capacity of the origin, the store that weights are loaded from. A load
// counts until its expected end. If no report has shown its end MaxReportAge + minPollInterval later, the load is late and
// counts again.
func (t *task) usesOrigin(now time.Duration) bool {
	if t.phase == awaitingIdle || !LoadsWeights(t.order) {
		return false
	}
	return t.phase != executing || now < t.expectedEnd || now > t.expectedEnd+MaxReportAge+minPollInterval
}

// isAssumedDone reports whether the order counts as executed at its expected end without a report. This holds for orders that
// are normally short. If one takes longer, the next order to the endpoint is answered with a conflict and retried.
func (t *task) isAssumedDone() bool {
	return t.order.Adapter != "" || t.order.Operation == placement.Unload && !t.hadRequests
}

// scheduleStep sets the phase and the time of the next step.
func (t *task) scheduleStep(next phase, due time.Duration) {
	t.phase, t.due, t.call = next, due, 0
}
