package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// HandoverInterval is how often a process that ends reports its calls in flight to its successor: often compared
	// with the duration of a call, and rarely compared with the cost of a report.
	HandoverInterval = 50 * time.Millisecond
	// HandoverValidity is how long a successor relies on the last report: a process that is killed sends none.
	HandoverValidity = 10 * HandoverInterval
)

// HandoverUpdate is what a process that ends reports to its successor. Its JSON form is fixed: the two processes may be
// of different builds.
type HandoverUpdate struct {
	Snapshot *decision.Snapshot          `json:"learnt,omitempty"` // in the first update
	InFlight map[decision.EndpointID]int `json:"calls,omitempty"`  // calls by endpoint
}

// HandoverUpdate returns the present update; with the statistics of this process if it is the first.
func (l *Loop) HandoverUpdate(first bool) HandoverUpdate {
	return query(l, func() HandoverUpdate {
		update := HandoverUpdate{InFlight: l.balancer.InFlight()}
		if first {
			snapshot := l.balancer.Snapshot(l.now())
			update.Snapshot = &snapshot
		}
		return update
	})
}

// ApplyHandoverUpdate takes an update of the preceding process.
func (l *Loop) ApplyHandoverUpdate(update *HandoverUpdate) {
	l.Post(func() {
		if update.Snapshot != nil {
			if err := l.balancer.Restore(l.now(), *update.Snapshot); err != nil {
				l.log.Warn("handover.figures_refused", zap.Error(err))
			}
		}
		l.balancer.SetPredecessorCalls(l.now(), update.InFlight, l.now()+HandoverValidity)
	})
}
