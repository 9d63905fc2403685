package coresim

import (
	"fmt"
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

// target is the member that a step strikes, or the one that has taken its place.
func (l *losses) target(step Step) *machine {
	m := l.world.machines[step.Member]
	for m.successor != nil {
		m = m.successor
	}
	return m
}

func (l *losses) begin(step Step) {
	m := l.target(step)
	if m.removed || !m.up || m.leaveBy != 0 || m.replaced || !l.may(step) {
		return
	}
	l.wiped += step.Kind.disksLost(l.world.options.MostFailures)
	l.world.note(step.Kind, m)
	switch step.Kind {
	case KillAll, WipeOfAll, WipeMost:
		l.killAll(step, m)
	case Split:
		l.split(step)
	case KillAfterHeal:
		l.killAfterHeal(step, m)
	case Behind:
		l.behind(step, m)
	default:
		l.one(step, m)
	}
}

// one strikes one member.
func (l *losses) one(step Step, m *machine) {
	w := l.world
	if step.Kind == PlannedChange {
		l.plannedChange(step, m)
		return
	}
	l.lose(step.Member, step.For)
	switch step.Kind {
	case Kill:
		m.kill()
		w.after(step.For, m.restart)
	case Freeze:
		m.frozenUntil = w.now + step.For
	case Isolate:
		w.isolate(m, step.For, true, true)
	case OneWay:
		w.isolate(m, step.For, true, false)
	case DeafWay:
		w.isolate(m, step.For, false, true)
	case Hold:
		w.holdAll(m, step.For, true)
	case HoldInbound:
		w.holdAll(m, step.For, false)
	case Stall:
		m.stalledUntil = w.now + step.For
	case Wipe:
		m.kill()
		m.wipe()
		w.after(step.For, m.restart)
	case Replace:
		m.kill()
		m.removed = true
		fresh := w.successorOf(m)
		w.after(step.For, func() { fresh.start(false) })
	case Leave:
		m.leave(step.For)
		l.lose(step.Member, step.For+stopWithin)
	}
}

// plannedChange starts the machine that takes the place of another, and has that one leave for good. The new one counts as
// lost until it has had its time, the other one not at all.
func (l *losses) plannedChange(step Step, m *machine) {
	w := l.world
	fresh := w.successorOf(m)
	m.successor = nil // the old one is struck until it leaves
	m.replaced = true
	l.until[step.Member] = w.now + catchUp
	l.note(w.now)
	fresh.start(false)
	var leave func()
	leave = func() {
		if !m.runs() { // it waits its turn
			w.after(tickEvery, leave)
			return
		}
		m.successor = fresh
		l.note(w.now)
		m.leave(0)
		l.leaving[step.Member] = w.now + stopWithin
		l.bear(max(l.beyond, w.now))
	}
	w.after(step.For, leave)
}

// successorOf makes the machine that takes the place of another.
func (w *World) successorOf(m *machine) *machine {
	w.spares++
	m.successor = w.addMachine(fmt.Sprintf("n%d", w.spares))
	m.successor.newcomer = true
	w.newSeeds()
	return m.successor
}

// newSeeds has machines that start from now on ask three that are there.
func (w *World) newSeeds() {
	w.seeds = nil
	for _, m := range w.machines {
		if !m.removed && len(w.seeds) < mostSeeds {
			w.seeds = append(w.seeds, m.address)
		}
	}
}

// killAll ends all processes. A member that was lost before, or loses its disk now, counts as lost until it is back and
// has had its time.
func (l *losses) killAll(step Step, struck *machine) {
	w := l.world
	back := step.For * 3 / 2 // the last one is back by then
	l.bear(w.now + back)
	wipes := map[*machine]bool{struck: step.Kind != KillAll}
	for i := 1; step.Kind == WipeMost && i < w.options.MostFailures; i++ {
		wipes[l.target(Step{Member: (step.Member + i) % w.options.Members})] = true
		l.until[(step.Member+i)%w.options.Members] = w.now + back + catchUp
	}
	if wipes[struck] {
		l.until[step.Member] = w.now + back + catchUp
	}
	for _, m := range w.machines {
		if m.removed || !m.up {
			continue
		}
		m.kill()
		if wipes[m] {
			m.wipe()
		}
		w.after(step.For/2+w.jitter(step.For), m.restart)
	}
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

// split cuts the members into two halves.
func (l *losses) split(step Step) {
	w := l.world
	l.bear(w.now + step.For)
	running := w.present()
	for i, a := range running {
		for j, b := range running {
			if (i+step.Member)%2 != (j+step.Member)%2 {
				w.cut(a.address, b.address, step.For)
			}
		}
	}
}

// killAfterHeal cuts a member off and ends all others just after it is back.
func (l *losses) killAfterHeal(step Step, m *machine) {
	w := l.world
	const soon = 300 * time.Millisecond
	const downFor = time.Second
	l.lose(step.Member, step.For)
	w.isolate(m, step.For, true, true)
	w.after(step.For+w.jitter(soon), func() {
		l.bear(w.now + downFor)
		for _, other := range w.present() {
			if other != m {
				other.kill()
				w.after(w.jitter(downFor), other.restart)
			}
		}
	})
}

// behind cuts a member off, has another lose its disk and the rest dark, and heals the cut while they are.
func (l *losses) behind(step Step, m *machine) {
	w := l.world
	victim := (step.Member + 1) % w.options.Members
	end := w.now + step.For
	l.bear(end)
	for member := range w.options.Members {
		l.until[member] = max(l.until[member], end+catchUp)
	}
	w.isolate(m, step.For/2, true, true)
	w.after(step.For/3, func() {
		other := l.target(Step{Member: victim})
		for _, one := range w.present() {
			if one == m {
				continue
			}
			one.kill()
			back := end - w.now
			if one == other {
				one.wipe()
				back = step.For / 8
			}
			w.after(back, one.restart)
		}
	})
}

// present are the machines whose processes run or stand still.
func (w *World) present() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if m.up && !m.removed {
			present = append(present, m)
		}
	}
	return present
}

func (m *machine) restart() {
	if !m.up && !m.removed {
		m.frozenUntil = 0
		m.start(false)
	}
}

func (w *World) isolate(m *machine, d time.Duration, out, in bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		if out {
			w.cut(m.address, other.address, d)
		}
		if in {
			w.cut(other.address, m.address, d)
		}
	}
}

// holdAll has the messages to a member wait and, where both is set, those that it sends.
func (w *World) holdAll(m *machine, d time.Duration, both bool) {
	for _, other := range w.machines {
		if other == m {
			continue
		}
		w.hold(other.address, m.address, d)
		if both {
			w.hold(m.address, other.address, d)
		}
	}
}
