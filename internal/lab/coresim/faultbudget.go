package coresim

import (
	"time"
)

// losses keeps troubles within what is to be borne: those that lose a member wait for others to be back.
type faultInjector struct {
	world           *Simulation
	overlap         bool
	countedUntil    map[int]time.Duration // by member, when it no longer counts as lost
	downUntil       map[int]time.Duration // by member, when its trouble ends
	lostDisks       int                   // disks lost in a schedule whose troubles overlap
	overBudgetUntil time.Duration         // until when more may be lost than is to be borne
	lastChange      time.Duration         // when a trouble began or ended last
	leavingUntil    map[int]time.Duration // by member that leaves for good, until when at most
}

func newFaultInjector(w *Simulation, overlap bool) *faultInjector {
	return &faultInjector{world: w, overlap: overlap, countedUntil: map[int]time.Duration{}, downUntil: map[int]time.Duration{},
		leavingUntil: map[int]time.Duration{}}
}

// count is how many other members count as lost.
func (l *faultInjector) countFailed(except int) int {
	return countAfter(l.countedUntil, l.world.now, except)
}

// after counts the members whose time is not over.
func countAfter(times map[int]time.Duration, now time.Duration, except int) int {
	n := 0
	for member, until := range times {
		if member != except && until > now {
			n++
		}
	}
	return n
}

const noMember = -1

// note tells that a trouble begins, or ends, at a time.
func (l *faultInjector) noteChange(at time.Duration) {
	l.world.at(at, func() { l.lastChange = max(l.lastChange, l.world.now) })
}

// lose counts a member as lost for a time, and until it has caught up.
func (l *faultInjector) markFailed(member int, d time.Duration) {
	now := l.world.now
	l.countedUntil[member] = max(l.countedUntil[member], now+d+catchUpTime)
	l.downUntil[member] = max(l.downUntil[member], now+d)
	l.noteChange(now)
	l.noteChange(now + d)
}

// may tells whether a trouble may strike a member now.
func (l *faultInjector) isWithinBudget(step Fault) bool {
	most := l.world.options.MostFailures
	if l.overlap {
		return l.lostDisks+step.Kind.lostDisks(most) <= most
	}
	switch step.Kind {
	case KillAll, Split:
		return true
	case KillAllLoseDisks, LagThenRecover:
		return l.countFailed(noMember) == 0
	case KillAllLoseDisk:
		return l.countFailed(step.Member) < most
	case LoseDisk, Replace, PlannedReplacement, Leave:
		return l.countFailed(step.Member) < most && l.countedUntil[step.Member] <= l.world.now
	}
	return l.countFailed(step.Member) < most
}

// bear notes that more may be lost than is to be borne until a time. Members that count as lost, and those that cannot
// leave meanwhile as no majority agrees to it, count as lost until they have had their time after that.
func (l *faultInjector) exceedBudget(until time.Duration) {
	now := l.world.now
	if until <= now {
		return
	}
	l.overBudgetUntil = max(l.overBudgetUntil, until)
	l.noteChange(until)
	for member, lost := range l.countedUntil {
		if lost > now {
			l.countedUntil[member] = max(lost, until+catchUpTime)
		}
	}
	for member, leaves := range l.leavingUntil {
		if leaves > now {
			l.countedUntil[member] = max(l.countedUntil[member], until+catchUpTime)
		}
	}
}
