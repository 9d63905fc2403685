package coresim

import (
	"time"
)

// losses keeps troubles within what is to be borne: those that lose a member wait for others to be back.
type losses struct {
	world   *World
	overlap bool
	until   map[int]time.Duration // by member, when it no longer counts as lost
	down    map[int]time.Duration // by member, when its trouble ends
	wiped   int                   // disks lost in a schedule whose troubles overlap
	beyond  time.Duration         // until when more may be lost than is to be borne
	changed time.Duration         // when a trouble began or ended last
	leaving map[int]time.Duration // by member that leaves for good, until when at most
}

func newLosses(w *World, overlap bool) *losses {
	return &losses{world: w, overlap: overlap, until: map[int]time.Duration{}, down: map[int]time.Duration{},
		leaving: map[int]time.Duration{}}
}

// count is how many other members count as lost.
func (l *losses) count(except int) int { return after(l.until, l.world.now, except) }

// after counts the members whose time is not over.
func after(times map[int]time.Duration, now time.Duration, except int) int {
	n := 0
	for member, until := range times {
		if member != except && until > now {
			n++
		}
	}
	return n
}

const none = -1

// note tells that a trouble begins, or ends, at a time.
func (l *losses) note(at time.Duration) {
	l.world.at(at, func() { l.changed = max(l.changed, l.world.now) })
}

// lose counts a member as lost for a time, and until it has caught up.
func (l *losses) lose(member int, d time.Duration) {
	now := l.world.now
	l.until[member] = max(l.until[member], now+d+catchUp)
	l.down[member] = max(l.down[member], now+d)
	l.note(now)
	l.note(now + d)
}

// may tells whether a trouble may strike a member now.
func (l *losses) may(step Step) bool {
	most := l.world.options.MostFailures
	if l.overlap {
		return l.wiped+step.Kind.disksLost(most) <= most
	}
	switch step.Kind {
	case KillAll, Split:
		return true
	case WipeMost, Behind:
		return l.count(none) == 0
	case WipeOfAll:
		return l.count(step.Member) < most
	case Wipe, Replace, PlannedChange, Leave:
		return l.count(step.Member) < most && l.until[step.Member] <= l.world.now
	}
	return l.count(step.Member) < most
}

// bear notes that more may be lost than is to be borne until a time. Members that count as lost, and those that cannot
// leave meanwhile as no majority agrees to it, count as lost until they have had their time after that.
func (l *losses) bear(until time.Duration) {
	now := l.world.now
	if until <= now {
		return
	}
	l.beyond = max(l.beyond, until)
	l.note(until)
	for member, lost := range l.until {
		if lost > now {
			l.until[member] = max(lost, until+catchUp)
		}
	}
	for member, leaves := range l.leaving {
		if leaves > now {
			l.until[member] = max(l.until[member], until+catchUp)
		}
	}
}
