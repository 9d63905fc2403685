package coresim

import (
	"time"
)

// progressCheckInterval is the time between two checks of whether operations are acknowledged.
const progressCheckInterval = 250 * time.Millisecond

// watchProgress checks periodically that operations are acknowledged while the faults are within the budget and no fault has
// begun or ended for progressTimeout.
func (f *faultInjector) watchProgress() {
	sim := f.sim
	lastAcks := 0
	lastProgress := time.Duration(0)
	var check func()
	check = func() {
		if sim.checker.acks > lastAcks || !f.mustProgress() {
			lastAcks = sim.checker.acks
			lastProgress = sim.now
		}
		if sim.now-lastProgress > progressTimeout {
			sim.checker.fail("nothing is acknowledged for %v although only %d members are down; views: %+v", progressTimeout,
				f.down(), sim.Views())
		}
		sim.after(progressCheckInterval, check)
	}
	sim.after(progressCheckInterval, check)
}

// mustProgress reports whether operations must be acknowledged now.
func (f *faultInjector) mustProgress() bool {
	now := f.sim.now
	return now >= firstFaultAt &&
		now-f.lastChange >= progressTimeout &&
		now >= f.overBudgetUntil &&
		f.down() <= f.maxDown()
}

// maxDown returns the number of members that may be down while operations must still be acknowledged. With overlapping faults it
// is 0, since disks may have been lost in addition.
func (f *faultInjector) maxDown() int {
	if f.overlap {
		return 0
	}
	return f.sim.options.MostFailures
}

// MakesProgress runs the simulation until an operation is acknowledged, and reports whether that happens within a timeout.
func (sim *Simulation) MakesProgress(timeout time.Duration) bool {
	acks := sim.checker.acks
	deadline := sim.now + timeout
	for sim.now < deadline {
		if sim.Run(sim.now+callTimeout/4) != nil {
			return false
		}
		if sim.checker.acks > acks {
			return true
		}
	}
	return false
}
