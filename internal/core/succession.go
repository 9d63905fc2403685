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
	TellEvery   = 50 * time.Millisecond
	BelievedFor = 10 * TellEvery
)

// Word is what a process that ends tells its successor of itself.
type Word struct {
	Learnt *decision.Snapshot          `json:"learnt,omitempty"`
	Calls  map[decision.EndpointID]int `json:"calls,omitempty"`
}

// Word is what is to be told now: what is in flight and, at first, what this process has learnt.
func (l *Loop) Word(first bool) Word {
	return look(l, func() Word {
		w := Word{Calls: l.balancer.InFlight()}
		if first {
			learnt := l.balancer.Snapshot(l.now())
			w.Learnt = &learnt
		}
		return w
	})
}

// Heed takes the word of the process before.
func (l *Loop) Heed(w *Word) {
	l.Post(func() {
		if w.Learnt != nil {
			if err := l.balancer.Restore(l.now(), *w.Learnt); err != nil {
				l.log.Warn("handover.figures_refused", zap.Error(err))
			}
		}
		l.balancer.SetPredecessorCalls(l.now(), w.Calls, l.now()+BelievedFor)
	})
}
