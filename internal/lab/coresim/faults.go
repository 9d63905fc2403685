package coresim

import (
	"fmt"
	"time"
)

// target is the member that a step strikes, or the one that has taken its place.
func (l *faultInjector) target(step Fault) *machine {
	m := l.world.machines[step.Member]
	for m.successor != nil {
		m = m.successor
	}
	return m
}

func (l *faultInjector) inject(step Fault) {
	m := l.target(step)
	if m.removed || !m.up || m.leaveDeadline != 0 || m.isBeingReplaced || !l.isWithinBudget(step) {
		return
	}
	l.lostDisks += step.Kind.lostDisks(l.world.options.MostFailures)
	l.world.recordFault(step.Kind, m)
	switch step.Kind {
	case KillAll, KillAllLoseDisk, KillAllLoseDisks:
		l.killAll(step, m)
	case Split:
		l.split(step)
	case KillAfterHeal:
		l.killAfterHeal(step, m)
	case LagThenRecover:
		l.lagThenRecover(step, m)
	default:
		l.injectAtMember(step, m)
	}
}

// one strikes one member.
func (l *faultInjector) injectAtMember(step Fault, m *machine) {
	w := l.world
	if step.Kind == PlannedReplacement {
		l.plannedChange(step, m)
		return
	}
	l.markFailed(step.Member, step.For)
	switch step.Kind {
	case Kill:
		m.kill()
		w.after(step.For, m.restart)
	case Freeze:
		m.frozenUntil = w.now + step.For
	case Isolate:
		w.isolate(m, step.For, true, true)
	case DropOutbound:
		w.isolate(m, step.For, true, false)
	case DropInbound:
		w.isolate(m, step.For, false, true)
	case DelayMessages:
		w.delayMember(m, step.For, true)
	case DelayInbound:
		w.delayMember(m, step.For, false)
	case StallDisk:
		m.stalledUntil = w.now + step.For
	case LoseDisk:
		m.kill()
		m.wipe()
		w.after(step.For, m.restart)
	case Replace:
		m.kill()
		m.removed = true
		fresh := w.addReplacement(m)
		w.after(step.For, func() { fresh.start(false) })
	case Leave:
		m.leave(step.For)
		l.markFailed(step.Member, step.For+leaveTimeout)
	}
}

// plannedChange starts the machine that takes the place of another, and has that one leave for good. The new one counts as
// lost until it has had its time, the other one not at all.
func (l *faultInjector) plannedChange(step Fault, m *machine) {
	w := l.world
	fresh := w.addReplacement(m)
	m.successor = nil // the old one is struck until it leaves
	m.isBeingReplaced = true
	l.countedUntil[step.Member] = w.now + catchUpTime
	l.noteChange(w.now)
	fresh.start(false)
	var leave func()
	leave = func() {
		if !m.isRunning() { // it waits its turn
			w.after(tickInterval, leave)
			return
		}
		m.successor = fresh
		l.noteChange(w.now)
		m.leave(0)
		l.leavingUntil[step.Member] = w.now + leaveTimeout
		l.exceedBudget(max(l.overBudgetUntil, w.now))
	}
	w.after(step.For, leave)
}

// successorOf makes the machine that takes the place of another.
func (w *Simulation) addReplacement(m *machine) *machine {
	w.replacements++
	m.successor = w.addMachine(fmt.Sprintf("n%d", w.replacements))
	m.successor.isReplacement = true
	w.refreshSeeds()
	return m.successor
}

// killAll ends all processes. A member that was lost before, or loses its disk now, counts as lost until it is back and
// has had its time.
func (l *faultInjector) killAll(step Fault, struck *machine) {
	w := l.world
	back := step.For * 3 / 2 // the last one is back by then
	l.exceedBudget(w.now + back)
	wipes := map[*machine]bool{struck: step.Kind != KillAll}
	for i := 1; step.Kind == KillAllLoseDisks && i < w.options.MostFailures; i++ {
		wipes[l.target(Fault{Member: (step.Member + i) % w.options.Members})] = true
		l.countedUntil[(step.Member+i)%w.options.Members] = w.now + back + catchUpTime
	}
	if wipes[struck] {
		l.countedUntil[step.Member] = w.now + back + catchUpTime
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
func (l *faultInjector) split(step Fault) {
	w := l.world
	l.exceedBudget(w.now + step.For)
	running := w.runningMachines()
	for i, a := range running {
		for j, b := range running {
			if (i+step.Member)%2 != (j+step.Member)%2 {
				w.block(a.address, b.address, step.For)
			}
		}
	}
}

// killAfterHeal cuts a member off and ends all others just after it is back.
func (l *faultInjector) killAfterHeal(step Fault, m *machine) {
	w := l.world
	const soon = 300 * time.Millisecond
	const downFor = time.Second
	l.markFailed(step.Member, step.For)
	w.isolate(m, step.For, true, true)
	w.after(step.For+w.jitter(soon), func() {
		l.exceedBudget(w.now + downFor)
		for _, other := range w.runningMachines() {
			if other != m {
				other.kill()
				w.after(w.jitter(downFor), other.restart)
			}
		}
	})
}

// behind cuts a member off, has another lose its disk and the rest dark, and heals the cut while they are.
func (l *faultInjector) lagThenRecover(step Fault, m *machine) {
	w := l.world
	victim := (step.Member + 1) % w.options.Members
	end := w.now + step.For
	l.exceedBudget(end)
	for member := range w.options.Members {
		l.countedUntil[member] = max(l.countedUntil[member], end+catchUpTime)
	}
	w.isolate(m, step.For/2, true, true)
	w.after(step.For/3, func() {
		other := l.target(Fault{Member: victim})
		for _, one := range w.runningMachines() {
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
