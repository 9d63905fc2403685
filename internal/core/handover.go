package core

import (
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

// TellEvery is how often a process that ends tells its successor what it still has in flight: often beside what a
// call takes, and rarely beside what telling it costs. BelievedFor is how long a successor goes by the last that it
// was told: a process that is killed says nothing.
const (
	HandoverInterval = 50 * time.Millisecond
	HandoverValidity = 10 * HandoverInterval
)

// Word is what a process that ends tells its successor of itself.
type HandoverUpdate struct {
	Snapshot *decision.Snapshot          `json:"learnt,omitempty"`
	InFlight map[decision.EndpointID]int `json:"calls,omitempty"`
}

// Word is what is to be told now: what is in flight and, at first, what this process has learnt.
func (l *Loop) HandoverUpdate(first bool) HandoverUpdate {
	return look(l, func() HandoverUpdate {
		w := HandoverUpdate{InFlight: l.balancer.InFlight()}
		if first {
			learnt := l.balancer.Snapshot(l.now())
			w.Snapshot = &learnt
		}
		return w
	})
}

// Heed takes the word of the process before.
func (l *Loop) ApplyHandoverUpdate(w *HandoverUpdate) {
	l.Post(func() {
		if w.Snapshot != nil {
			if err := l.balancer.Restore(l.now(), *w.Snapshot); err != nil {
				l.log.Warn("handover.figures_refused", zap.Error(err))
			}
		}
		l.balancer.SetPredecessorCalls(l.now(), w.InFlight, l.now()+HandoverValidity)
	})
}
