package coresim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of fault. The values are part of schedule files and of the commands' output and must not change.
type FaultKind string

// Faults that affect one member.
const (
	// Kill ends the process and restarts it.
	Kill FaultKind = "kill"
	// Freeze suspends the process, like a pause of its virtual machine.
	Freeze FaultKind = "freeze"
	// Isolate drops all messages to and from the member.
	Isolate FaultKind = "isolate"
	// DropOutbound drops the messages that the member sends.
	DropOutbound FaultKind = "one-way"
	// DropInbound drops the messages that are sent to the member.
	DropInbound FaultKind = "deaf"
	// DelayMessages holds back the messages to and from the member. They all arrive when the fault ends.
	DelayMessages FaultKind = "hold"
	// DelayInbound holds back the messages to the member. They all arrive when the fault ends.
	DelayInbound FaultKind = "hold-inbound"
	// StallDisk prevents syncs of the member's disk from completing before the fault ends.
	StallDisk FaultKind = "stall"
	// LoseDisk ends the process, empties its disk and restarts it.
	LoseDisk FaultKind = "wipe"
	// Replace kills and permanently removes the machine, and starts an empty one at another address.
	Replace FaultKind = "replace"
	// Leave makes a planned stop of the process and restarts it.
	Leave FaultKind = "leave"
	// PlannedReplacement starts an empty machine at another address and then removes this one by a planned stop.
	PlannedReplacement FaultKind = "planned-change"
	// Remove makes a planned stop of the process and permanently removes the machine. An empty one starts at another address
	// later.
	Remove FaultKind = "remove"
)

// Faults that affect several members.
const (
	// KillAll kills all processes at once.
	KillAll FaultKind = "kill-all"
	// KillAllLoseDisk kills all processes at once. One of them loses its disk.
	KillAllLoseDisk FaultKind = "wipe-of-all"
	// KillAllLoseDisks kills all processes at once. As many as the core tolerates lose their disks.
	KillAllLoseDisks FaultKind = "wipe-most"
	// Split partitions the members into two halves.
	Split FaultKind = "split"
	// KillAfterHeal isolates a member and kills all others just after the isolation has ended.
	KillAfterHeal FaultKind = "kill-after-heal"
	// LagThenRecover isolates a member and kills all others, of which one loses its disk. The isolation ends while only the
	// lagging member and the one with the empty disk run.
	LagThenRecover FaultKind = "behind"
)

// faultKinds are all kinds. Their order determines the schedule that Generate returns for a seed.
var faultKinds = []FaultKind{
	Kill, Freeze, Isolate, DropOutbound, DropInbound, StallDisk, LoseDisk, Replace, KillAll, KillAllLoseDisk, KillAllLoseDisks,
	Split, DelayMessages, DelayInbound, Leave, PlannedReplacement, KillAfterHeal, LagThenRecover,
	Remove,
}

// lostDisks returns the number of disks that a fault of the kind loses in a core that tolerates maxFailures failures.
func (k FaultKind) lostDisks(maxFailures int) int {
	switch k {
	case LoseDisk, Replace, KillAllLoseDisk, PlannedReplacement, LagThenRecover, Remove:
		return 1
	case KillAllLoseDisks:
		return maxFailures
	}
	return 0
}

// Fault is one fault of a schedule. Schedule files contain it, so the names of the fields must not change.
type Fault struct {
	// At is the time at which the fault begins.
	At   time.Duration
	Kind FaultKind
	// Member is the index, at the start of the run, of the affected member.
	Member int
	// For is the duration of the fault.
	For time.Duration
}

// String describes the fault in one line.
func (f Fault) String() string { return fmt.Sprintf("%v %s m%d for %v", f.At, f.Kind, f.Member, f.For) }

// Schedule contains the options of a simulation and the faults to inject. The explore command writes it to a file for a failure,
// so the names of the fields must not change.
type Schedule struct {
	Options Options
	Steps   []Fault
	// Overlap allows faults of more members at once than the core tolerates, provided that at most MostFailures disks are lost in
	// the run. Operations then need not be acknowledged, but the guarantees of consistency must hold.
	Overlap bool
}

// Times of a run.
const (
	// firstFaultAt is the earliest time of a fault.
	firstFaultAt = 2 * time.Second
	// catchUpTime is the time after the end of its fault for which a member still counts as failed.
	catchUpTime = 4 * time.Second
	// quietPeriod is the time for which a run continues after the end of the last fault.
	quietPeriod = 8 * time.Second
	// progressTimeout is the time within which an operation must be acknowledged if no fault prevents it.
	progressTimeout = 4 * time.Second
)

// Limits of the schedules that Generate draws.
const (
	maxFaults        = 8
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// maxIsolation is the longest duration of an Isolate in one of four cases.
	maxIsolation = 20 * time.Second
	// maxGap is the longest time from the beginning of a fault to that of the next one.
	maxGap = 3 * time.Second
	// overlapWindow is the width of the window around the end of a fault within which the next one may begin.
	overlapWindow = 700 * time.Millisecond
)

// Generate returns a random schedule. The same seed always gives the same schedule.
func Generate(seed uint64, flaw Flaw) Schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	s := Schedule{Options: Options{Seed: seed, Members: 3, MostFailures: 1, Flaw: flaw}}
	if random.IntN(3) == 0 {
		s.Options.Members, s.Options.MostFailures = 5, 2
	}
	s.Options.Busy = random.IntN(8) == 0
	s.Overlap = random.IntN(4) == 0
	at := firstFaultAt
	for range 1 + random.IntN(maxFaults) {
		at += time.Duration(random.Int64N(int64(maxGap)))
		fault := Fault{
			At:     at,
			Kind:   faultKinds[random.IntN(len(faultKinds))],
			Member: random.IntN(s.Options.Members),
			For:    minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration))),
		}
		if fault.Kind == Isolate && random.IntN(4) == 0 {
			fault.For = time.Duration(random.Int64N(int64(maxIsolation)))
		}
		s.Steps = append(s.Steps, fault)
		if random.IntN(3) == 0 {
			// The next fault begins near the end of this one, as many bugs need a fault during the recovery from another one.
			nearEnd := at + fault.For - overlapWindow/2 + time.Duration(random.Int64N(int64(overlapWindow)))
			at = max(at, nearEnd-maxGap/2)
		}
	}
	return s
}

// Run runs a schedule. It returns an error if a guarantee was violated.
func (s Schedule) Run() error {
	_, err := s.runWithCoverage()
	return err
}

// runWithCoverage runs a schedule and returns its coverage and the violation, if any.
func (s Schedule) runWithCoverage() (Coverage, error) {
	sim, err := s.play(nil)
	return sim.coverage, err
}

// RunTraced runs a schedule. It passes a line for each event of a call of the coordination service to trace.
func (s Schedule) RunTraced(trace func(line string)) error {
	_, err := s.play(trace)
	return err
}

// play runs a schedule and returns the simulation in its state at the end, or when a guarantee is violated. The trace may be nil.
func (s Schedule) play(trace func(line string)) (*Simulation, error) {
	sim := NewSimulation(s.Options)
	if sim.coordination != nil {
		sim.coordination.trace = trace
	}
	injector := newFaultInjector(sim, s.Overlap)
	var end time.Duration
	for _, fault := range s.Steps {
		end = max(end, fault.At+fault.For)
		sim.at(fault.At, func() { injector.inject(fault) })
	}
	injector.watchProgress()
	if err := sim.Run(end + quietPeriod); err != nil {
		return sim, err
	}
	return sim, sim.checkEnd()
}
