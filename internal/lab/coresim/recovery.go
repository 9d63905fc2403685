package coresim

import (
	"slices"
	"time"
)

// Struck is what a trouble strikes, for the measurement of recovery.
type RecoveryTarget string

// What can be struck.
const (
	TargetHead   RecoveryTarget = "head"
	TargetMiddle RecoveryTarget = "middle"
	TargetTail   RecoveryTarget = "tail"
	TargetAll    RecoveryTarget = "all"
)

// RecoveryTimes are the times from a trouble to the next acknowledgement of a write that began after it.
type RecoveryTimes struct{ times []time.Duration }

// Percentile of the times, from 0 to 1.
func (r RecoveryTimes) Percentile(p float64) time.Duration {
	if len(r.times) == 0 {
		return 0
	}
	return r.times[int(p*float64(len(r.times)-1))]
}

// recoveryPatience bounds how long a recovery is waited for.
const recoveryTimeout = 20 * time.Second

// MeasureRecovery strikes a calm core of three members once for each seed, at another moment each time.
func MeasureRecovery(struck RecoveryTarget, kind FaultKind, seeds uint64) RecoveryTimes {
	var r RecoveryTimes
	for seed := range seeds {
		r.times = append(r.times, measureRecovery(struck, kind, seed+1))
	}
	slices.Sort(r.times)
	return r
}

func measureRecovery(struck RecoveryTarget, kind FaultKind, seed uint64) time.Duration {
	sim := NewSimulation(Options{Seed: seed, Members: 3, MostFailures: 1})
	at := firstFaultAt + time.Duration(sim.random.Int64N(int64(time.Second)))
	if sim.Run(at) != nil {
		return recoveryTimeout
	}
	member := sim.targetIndex(struck)
	losses := newFaultInjector(sim, false)
	losses.inject(Fault{At: at, Kind: kind, Member: member, For: time.Second})
	first := sim.lastOperation + 1
	for sim.now < at+recoveryTimeout {
		if sim.Run(sim.now+time.Millisecond) != nil {
			break
		}
		if n := len(sim.checker.acked); n > 0 && sim.checker.acked[n-1] >= first {
			return sim.now - at
		}
	}
	return recoveryTimeout
}

// struck is the number of the member that is struck.
func (sim *Simulation) targetIndex(what RecoveryTarget) int {
	role := map[RecoveryTarget]Role{TargetHead: HeadRole, TargetMiddle: MiddleRole, TargetTail: TailRole}[what]
	for i, m := range sim.machines {
		if m.role() == role {
			return i
		}
	}
	return 0
}
