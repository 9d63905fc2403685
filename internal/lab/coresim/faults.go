package coresim

import (
	"fmt"
	"time"
)

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
