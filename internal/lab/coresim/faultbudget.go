package coresim

import (
	"time"
)

// faultInjector injects the faults of a schedule, and skips those that would exceed what Options.MostFailures tolerates.
// Members are identified by their index at the start; a replacement counts as the member that it replaces.
type faultInjector struct {
	sim *Simulation
	// overlap is Schedule.Overlap: only lost disks are limited.
	overlap bool
	// failedUntil is until when a member counts as failed: until it has recovered and caught up.
	failedUntil map[int]time.Duration
	// downUntil is when the fault of a member ends.
	downUntil map[int]time.Duration
	// lostDisks is the number of disks lost in a schedule whose faults overlap.
	lostDisks int
	// overBudgetUntil is until when more members may be down than is tolerated.
	overBudgetUntil time.Duration
	// lastChange is when the latest fault began or ended.
	lastChange time.Duration
	// leavingUntil is until when, at most, a member leaves for good.
	leavingUntil map[int]time.Duration
}

func newFaultInjector(sim *Simulation, overlap bool) *faultInjector {
	return &faultInjector{
		sim:          sim,
		overlap:      overlap,
		failedUntil:  map[int]time.Duration{},
		downUntil:    map[int]time.Duration{},
		leavingUntil: map[int]time.Duration{},
	}
}

// isWithinBudget reports whether a fault may be injected now.
func (f *faultInjector) isWithinBudget(fault Fault) bool {
	maxFailures := f.sim.options.MostFailures
	if f.overlap {
		return f.lostDisks+fault.Kind.lostDisks(maxFailures) <= maxFailures
	}
	switch fault.Kind {
	case KillAll, Split:
		return true
	case KillAllLoseDisks, LagThenRecover:
		return f.otherFailed(noMember) == 0
	case LoseDisk, Replace, PlannedReplacement, Leave, Remove:
		return f.otherFailed(fault.Member) < maxFailures && f.failedUntil[fault.Member] <= f.sim.now
	}
	return f.otherFailed(fault.Member) < maxFailures
}

// noMember is the index of no member.
const noMember = -1

// otherFailed returns how many members other than one count as failed.
func (f *faultInjector) otherFailed(member int) int {
	return countAfter(f.failedUntil, f.sim.now, member)
}

// down returns how many members have a fault that has not ended.
func (f *faultInjector) down() int { return countAfter(f.downUntil, f.sim.now, noMember) }

// countAfter returns how many members, except one, have a time after now.
func countAfter(times map[int]time.Duration, now time.Duration, except int) int {
	count := 0
	for member, until := range times {
		if member != except && until > now {
			count++
		}
	}
	return count
}

// markFailed counts a member as down for a time, and as failed until it has caught up after it.
func (f *faultInjector) markFailed(member int, duration time.Duration) {
	now := f.sim.now
	f.failedUntil[member] = max(f.failedUntil[member], now+duration+catchUpTime)
	f.downUntil[member] = max(f.downUntil[member], now+duration)
	f.scheduleChange(now)
	f.scheduleChange(now + duration)
}

// scheduleChange sets lastChange when a fault begins or ends at a time.
func (f *faultInjector) scheduleChange(at time.Duration) {
	f.sim.at(at, func() { f.lastChange = max(f.lastChange, f.sim.now) })
}

// exceedBudget allows that more members are down than is tolerated until a time. Members that count as failed cannot catch up
// before, and those that are leaving cannot leave, as no majority agrees to it: they count as failed until some time after it.
func (f *faultInjector) exceedBudget(until time.Duration) {
	now := f.sim.now
	if until <= now {
		return
	}
	f.overBudgetUntil = max(f.overBudgetUntil, until)
	f.scheduleChange(until)
	for member, failedUntil := range f.failedUntil {
		if failedUntil > now {
			f.failedUntil[member] = max(failedUntil, until+catchUpTime)
		}
	}
	for member, leavingUntil := range f.leavingUntil {
		if leavingUntil > now {
			f.failedUntil[member] = max(f.failedUntil[member], until+catchUpTime)
		}
	}
}
