package coresim

import (
	"time"
)

// watchProgress checks again and again that operations are acknowledged while no more members are lost than is to be
// borne, and that has been so for a while.
func (l *faultInjector) watchProgress() {
	const look = 250 * time.Millisecond
	w := l.world
	acks, since := 0, time.Duration(0)
	var check func()
	check = func() {
		if w.checker.acks > acks || w.now < firstFaultAt || w.now-l.lastChange < progressTimeout || w.now < l.overBudgetUntil ||
			countAfter(l.downUntil, w.now, noMember) > l.maxDown() {
			acks, since = w.checker.acks, w.now
		}
		if w.now-since > progressTimeout {
			w.checker.fail("nothing is acknowledged for %v though only %d members are lost: %+v", progressTimeout,
				countAfter(l.downUntil, w.now, noMember), w.Views())
		}
		w.after(look, check)
	}
	w.after(look, check)
}

// mostDown is with how many members down operations must be acknowledged: none where a disk may have been lost meanwhile.
func (l *faultInjector) maxDown() int {
	if l.overlap {
		return 0
	}
	return l.world.options.MostFailures
}

// Progress tells whether operations are still acknowledged, by waiting until one is.
func (w *Simulation) MakesProgress(within time.Duration) bool {
	before := w.checker.acks
	until := w.now + within
	for w.now < until {
		if w.Run(w.now+callTimeout/4) != nil {
			return false
		}
		if w.checker.acks > before {
			return true
		}
	}
	return false
}
