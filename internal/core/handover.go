package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// HandoverInterval is the interval at which a stopping process reports its calls in flight to its successor. It is
	// shorter than most calls, and long compared with the time that a report takes.
	HandoverInterval = 50 * time.Millisecond
	// HandoverValidity is how long a successor relies on the last report. The reports then expire, because a process that
	// is killed sends no final one.
	HandoverValidity = 10 * HandoverInterval
)

// HandoverUpdate is a report of a stopping process to its successor. Its JSON form is fixed, because the two processes may
// run different builds.
type HandoverUpdate struct {
	Snapshot *decision.Snapshot          `json:"learnt,omitempty"` // statistics of the Balancer; only in the first update
	InFlight map[decision.EndpointID]int `json:"calls,omitempty"`  // number of calls in flight by endpoint
}

// HandoverUpdate returns an update with the current calls in flight. The first update also contains the statistics of this
// process.
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

// ApplyHandoverUpdate passes an update from the predecessor of this process to the Balancer.
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
