package coresim

import (
	"time"
)

// watchProgress checks again and again that operations are acknowledged while no more members are lost than is to be
// borne, and that has been so for a while.
func (l *losses) watchProgress() {
	const look = 250 * time.Millisecond
	w := l.world
	acks, since := 0, time.Duration(0)
	var check func()
	check = func() {
		if w.checker.Acks > acks || w.now < calmStart || w.now-l.changed < progressIn || w.now < l.beyond ||
			after(l.down, w.now, none) > l.mostDown() {
			acks, since = w.checker.Acks, w.now
		}
		if w.now-since > progressIn {
			w.checker.fail("nothing is acknowledged for %v though only %d members are lost: %+v", progressIn,
				after(l.down, w.now, none), w.State())
		}
		w.after(look, check)
	}
	w.after(look, check)
}

// mostDown is with how many members down operations must be acknowledged: none where a disk may have been lost meanwhile.
func (l *losses) mostDown() int {
	if l.overlap {
		return 0
	}
	return l.world.options.MostFailures
}

// Progress tells whether operations are still acknowledged, by waiting until one is.
func (w *World) Progress(within time.Duration) bool {
	before := w.checker.Acks
	until := w.now + within
	for w.now < until {
		if w.Run(w.now+callPatience/4) != nil {
			return false
		}
		if w.checker.Acks > before {
			return true
		}
	}
	return false
}
