package coresim

import (
	"time"
)

// faultInjector injects the faults of a schedule. It skips a fault that would make more than Options.MostFailures members fail
// at once. Members are identified by their index at the start; a replacement has the index of the member that it replaces.
type faultInjector struct {
	sim *Simulation
	// overlap is Schedule.Overlap: the budget limits lost disks only, not failed members.
	overlap bool
	// failedUntil maps a member to the time until which it counts as failed, which includes the time to catch up.
	failedUntil map[int]time.Duration
	// downUntil maps a member to the end of its fault.
	downUntil map[int]time.Duration
	// lostDisks is the number of disks that were lost so far. It limits further losses if overlap is set.
	lostDisks int
	// overBudgetUntil is the time until which more members may be down than the core tolerates.
	overBudgetUntil time.Duration
	// lastChange is when the latest fault began or ended.
	lastChange time.Duration
	// leavingUntil maps a member that leaves permanently to the end of its grace period.
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

// isWithinBudget reports whether a fault may be injected now. Without overlap, KillAll and Split always may, since exceedBudget
// accounts for them.
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

// noMember is an index that no member has.
const noMember = -1

// otherFailed returns how many members, except the given one, count as failed.
func (f *faultInjector) otherFailed(member int) int {
	return countAfter(f.failedUntil, f.sim.now, member)
}

// down returns how many members have a fault that has not ended yet.
func (f *faultInjector) down() int { return countAfter(f.downUntil, f.sim.now, noMember) }

// countAfter returns how many members, except the given one, are mapped to a time after now.
func countAfter(times map[int]time.Duration, now time.Duration, except int) int {
	count := 0
	for member, until := range times {
		if member != except && until > now {
			count++
		}
	}
	return count
}

// markFailed marks a member as down for a duration, and as failed until catchUpTime after it.
func (f *faultInjector) markFailed(member int, duration time.Duration) {
	now := f.sim.now
	f.failedUntil[member] = max(f.failedUntil[member], now+duration+catchUpTime)
	f.downUntil[member] = max(f.downUntil[member], now+duration)
	f.scheduleChange(now)
	f.scheduleChange(now + duration)
}

// scheduleChange schedules that lastChange is set to the given time, at which a fault begins or ends.
func (f *faultInjector) scheduleChange(at time.Duration) {
	f.sim.at(at, func() { f.lastChange = max(f.lastChange, f.sim.now) })
}

// exceedBudget records that more members may be down than the core tolerates until a time. Without a majority, failed members
// cannot catch up and leaving members cannot leave before that time, so both count as failed until catchUpTime after it.
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
