package coresim

import (
	"slices"
	"time"
)

// RecoveryTarget is the member that the fault of a recovery measurement affects.
type RecoveryTarget string

// The targets: the member with a role in the chain, or all members.
const (
	TargetHead   RecoveryTarget = "head"
	TargetMiddle RecoveryTarget = "middle"
	TargetTail   RecoveryTarget = "tail"
	TargetAll    RecoveryTarget = "all"
)

// RecoveryTimes contains the times from a fault to the next acknowledgement of a write that began after the fault.
type RecoveryTimes struct{ times []time.Duration }

// Percentile returns the percentile p, from 0 to 1, of the times. It returns 0 if there are no times.
func (r RecoveryTimes) Percentile(p float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[int(p*float64(len(r.times)-1))]
}

// recoveryTimeout is the longest time that a measurement waits for the recovery. It is also the result without a recovery.
const recoveryTimeout = 20 * time.Second

// MeasureRecovery injects a fault of one second into a core of three members without other faults. It does so once for each
// seed, at a random time.
func MeasureRecovery(target RecoveryTarget, kind FaultKind, seeds uint64) RecoveryTimes {
	var r RecoveryTimes
	for seed := range seeds {
		r.times = append(r.times, measureRecovery(target, kind, seed+1))
	}
	slices.Sort(r.times)
	return r
}

// measureRecovery returns the time of one recovery, or recoveryTimeout if the core does not recover.
func measureRecovery(target RecoveryTarget, kind FaultKind, seed uint64) time.Duration {
	sim := NewSimulation(Options{Seed: seed, Members: 3, MostFailures: 1})
	at := firstFaultAt + time.Duration(sim.random.Int64N(int64(time.Second)))
	if sim.Run(at) != nil {
		return recoveryTimeout
	}
	injector := newFaultInjector(sim, false)
	injector.inject(Fault{At: at, Kind: kind, Member: sim.targetIndex(target), For: time.Second})
	firstOperation := sim.lastOperation + 1
	for sim.now < at+recoveryTimeout {
		if sim.Run(sim.now+time.Millisecond) != nil {
			break
		}
		if n := len(sim.checker.acked); n > 0 && sim.checker.acked[n-1] >= firstOperation {
			return sim.now - at
		}
	}
	return recoveryTimeout
}

// targetIndex returns the index of the target member. For TargetAll it returns 0, as the fault affects all members.
func (sim *Simulation) targetIndex(target RecoveryTarget) int {
	role := map[RecoveryTarget]Role{TargetHead: RoleHead, TargetMiddle: RoleMiddle, TargetTail: RoleTail}[target]
	for i, m := range sim.machines {
		if m.role() == role {
			return i
		}
	}
	return 0
}
