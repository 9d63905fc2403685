package coresim

import (
	"slices"
	"time"
)

// RecoveryTarget is what a fault affects in the measurement of recovery times.
type RecoveryTarget string

// The targets: a member by its role, or all members.
const (
	TargetHead   RecoveryTarget = "head"
	TargetMiddle RecoveryTarget = "middle"
	TargetTail   RecoveryTarget = "tail"
	TargetAll    RecoveryTarget = "all"
)

// RecoveryTimes are the times from a fault to the next acknowledgement of a write that began after it.
type RecoveryTimes struct{ times []time.Duration }

// Percentile returns a percentile, from 0 to 1, of the times, or 0 if there are none.
func (r RecoveryTimes) Percentile(p float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[int(p*float64(len(r.times)-1))]
}

// recoveryTimeout bounds the time that a recovery is waited for.
const recoveryTimeout = 20 * time.Second

// MeasureRecovery injects a fault of a second into a calm core of three members, once for each seed and each time at another
// moment.
func MeasureRecovery(target RecoveryTarget, kind FaultKind, seeds uint64) RecoveryTimes {
	var r RecoveryTimes
	for seed := range seeds {
		r.times = append(r.times, measureRecovery(target, kind, seed+1))
	}
	slices.Sort(r.times)
	return r
}

// measureRecovery returns the time of one recovery, or recoveryTimeout if there was none.
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

// targetIndex returns the index of the member that is the target; for all, any one.
func (sim *Simulation) targetIndex(target RecoveryTarget) int {
	role := map[RecoveryTarget]Role{TargetHead: RoleHead, TargetMiddle: RoleMiddle, TargetTail: RoleTail}[target]
	for i, m := range sim.machines {
		if m.role() == role {
			return i
		}
	}
	return 0
}
