package coresim

import (
	"time"
)

// inject injects a fault, unless its member is down, leaving or being replaced, or the fault would exceed the budget.
func (f *faultInjector) inject(fault Fault) {
	m := f.target(fault.Member)
	if m.removed || !m.up || m.leaveDeadline != 0 || m.isBeingReplaced || !f.isWithinBudget(fault) {
		return
	}
	f.lostDisks += fault.Kind.lostDisks(f.sim.options.MostFailures)
	f.sim.countFault(fault.Kind, m)
	switch fault.Kind {
	case KillAll, KillAllLoseDisk, KillAllLoseDisks:
		f.killAll(fault, m)
	case Split:
		f.split(fault)
	case KillAfterHeal:
		f.killAfterHeal(fault, m)
	case LagThenRecover:
		f.lagThenRecover(fault, m)
	case PlannedReplacement:
		f.replaceAsPlanned(fault, m)
	default:
		f.injectAtMember(fault, m)
	}
}

// target returns the machine of a member, or the latest machine that has replaced it.
func (f *faultInjector) target(member int) *machine {
	m := f.sim.machines[member]
	for m.successor != nil {
		m = m.successor
	}
	return m
}

// injectAtMember injects a fault that affects a single member.
func (f *faultInjector) injectAtMember(fault Fault, m *machine) {
	sim := f.sim
	f.markFailed(fault.Member, fault.For)
	switch fault.Kind {
	case Kill:
		m.kill()
		sim.after(fault.For, m.restart)
	case Freeze:
		m.frozenUntil = sim.now + fault.For
	case Isolate:
		sim.isolate(m, fault.For, true, true)
	case DropOutbound:
		sim.isolate(m, fault.For, true, false)
	case DropInbound:
		sim.isolate(m, fault.For, false, true)
	case DelayMessages:
		sim.delayMachine(m, fault.For, true)
	case DelayInbound:
		sim.delayMachine(m, fault.For, false)
	case StallDisk:
		m.stalledUntil = sim.now + fault.For
	case LoseDisk:
		m.kill()
		m.loseDisk()
		sim.after(fault.For, m.restart)
	case Replace:
		m.kill()
		m.removed = true
		replacement := sim.addReplacement(m)
		sim.after(fault.For, func() { replacement.start(false) })
	case Leave:
		m.leave(fault.For)
		f.markFailed(fault.Member, fault.For+gracePeriod)
	case Remove:
		f.markFailed(fault.Member, max(fault.For, gracePeriod))
		m.leave(0)
		sim.after(fault.For, func() { sim.addReplacement(m).start(false) })
	}
}

// replaceAsPlanned starts a replacement of a machine, which later leaves permanently. The member counts as failed until the
// replacement has had the time to join. The planned stop of the old machine does not count as a failure.
func (f *faultInjector) replaceAsPlanned(fault Fault, m *machine) {
	sim := f.sim
	replacement := sim.addReplacement(m)
	m.successor = nil // faults still affect the old machine until it leaves
	m.isBeingReplaced = true
	f.failedUntil[fault.Member] = sim.now + catchUpTime
	f.scheduleChange(sim.now)
	replacement.start(false)
	var leave func()
	leave = func() {
		if !m.isRunning() {
			sim.after(tickInterval, leave)
			return
		}
		m.successor = replacement
		f.scheduleChange(sim.now)
		m.leave(0)
		f.leavingUntil[fault.Member] = sim.now + gracePeriod
		f.exceedBudget(max(f.overBudgetUntil, sim.now))
	}
	sim.after(fault.For, leave)
}

// killAll kills all processes. Some of them lose their disks, according to the kind of the fault.
func (f *faultInjector) killAll(fault Fault, m *machine) {
	sim := f.sim
	allRestarted := sim.now + fault.For*3/2
	f.exceedBudget(allRestarted)
	losesDisk := map[*machine]bool{m: fault.Kind != KillAll}
	for i := 1; fault.Kind == KillAllLoseDisks && i < sim.options.MostFailures; i++ {
		member := (fault.Member + i) % sim.options.Members
		losesDisk[f.target(member)] = true
		f.failedUntil[member] = allRestarted + catchUpTime
	}
	if losesDisk[m] {
		f.failedUntil[fault.Member] = allRestarted + catchUpTime
	}
	for _, other := range sim.machines {
		if other.removed || !other.up {
			continue
		}
		other.kill()
		if losesDisk[other] {
			other.loseDisk()
		}
		sim.after(fault.For/2+sim.jitter(fault.For), other.restart)
	}
}

// split partitions the members into two halves.
func (f *faultInjector) split(fault Fault) {
	sim := f.sim
	f.exceedBudget(sim.now + fault.For)
	running := sim.runningMachines()
	for i, a := range running {
		for j, b := range running {
			if (i+fault.Member)%2 != (j+fault.Member)%2 {
				sim.block(a.address, b.address, fault.For)
			}
		}
	}
}

const (
	// killAfterHealWithin is the longest time from the end of the isolation until the other members are killed.
	killAfterHealWithin = 300 * time.Millisecond
	// maxRestartDelay is the longest time until a killed member restarts.
	maxRestartDelay = time.Second
)

// killAfterHeal isolates a member and kills all others just after the isolation has ended.
func (f *faultInjector) killAfterHeal(fault Fault, m *machine) {
	sim := f.sim
	f.markFailed(fault.Member, fault.For)
	sim.isolate(m, fault.For, true, true)
	sim.after(fault.For+sim.jitter(killAfterHealWithin), func() {
		f.exceedBudget(sim.now + maxRestartDelay)
		for _, other := range sim.runningMachines() {
			if other != m {
				other.kill()
				sim.after(sim.jitter(maxRestartDelay), other.restart)
			}
		}
	})
}

// lagThenRecover isolates a member, so that it lags behind, and kills all others, of which one loses its disk. The isolation
// ends while only the lagging member and the one with the empty disk run.
func (f *faultInjector) lagThenRecover(fault Fault, lagging *machine) {
	sim := f.sim
	end := sim.now + fault.For
	f.exceedBudget(end)
	for member := range sim.options.Members {
		f.failedUntil[member] = max(f.failedUntil[member], end+catchUpTime)
	}
	sim.isolate(lagging, fault.For/2, true, true)
	sim.after(fault.For/3, func() {
		empty := f.target((fault.Member + 1) % sim.options.Members)
		for _, m := range sim.runningMachines() {
			if m == lagging {
				continue
			}
			m.kill()
			restartDelay := end - sim.now
			if m == empty {
				m.loseDisk()
				restartDelay = fault.For / 8
			}
			sim.after(restartDelay, m.restart)
		}
	})
}
