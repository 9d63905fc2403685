package orders

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
)

// phase is the state of an order; see the package comment.
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

// task is the order that an endpoint has, or the pause after one (settling).
type task struct {
	phase       phase
	order       placement.Order
	engine      *fleetconfig.Engine // nil if the order is adopted
	address     string
	token       uint64 // of the lease that it was planned under
	hadRequests bool
	conflicts   int // answers Conflict so far
	// call is the call whose answer is awaited; 0 for none.
	call CallID
	// due is when the next step is due; it has no meaning while a call is in flight.
	due time.Duration
	// recordedAt is when the ledger has the load start.
	recordedAt time.Duration
	// acceptedAt is when the endpoint has accepted the order.
	acceptedAt time.Duration
	// expectedEnd is when the order should have been executed.
	expectedEnd time.Duration
	// failedReports counts the reports in a row that were not answered.
	failedReports int
}

// countsAsExecuted reports whether the planner is to see the endpoint as it will be after the order: not where its outcome is
// uncertain and the endpoint does not answer, as requests may wait for the model.
func (t *task) countsAsExecuted() bool {
	switch t.phase {
	case awaitingIdle:
		return false
	case uncertain, inherited:
		return t.failedReports == 0
	}
	return true
}

// usesOrigin reports whether a load still takes part of what the origin of the weights can carry: until its expected end, and
// again from when its end should have been noticed, as it is late then.
func (t *task) usesOrigin(now time.Duration) bool {
	if t.phase == awaitingIdle || !LoadsWeights(t.order) {
		return false
	}
	return t.phase != executing || now < t.expectedEnd || now > t.expectedEnd+MaxReportAge+minPollInterval
}

// isAssumedDone reports whether the order is not asked after at its expected end: it is short as a rule. Where it takes longer,
// the next order to the endpoint meets a conflict and is retried.
func (t *task) isAssumedDone() bool {
	return t.order.Adapter != "" || t.order.Operation == placement.Unload && !t.hadRequests
}

// scheduleStep has the next step follow at a time.
func (t *task) scheduleStep(next phase, due time.Duration) {
	t.phase, t.due, t.call = next, due, 0
}
