package coresim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is a kind of fault. The values are part of written schedules and of the commands' output: they are fixed.
type FaultKind string

// Faults that affect one member.
const (
	// Kill ends the process and restarts it.
	Kill FaultKind = "kill"
	// Freeze suspends the process, as a paused virtual machine.
	Freeze FaultKind = "freeze"
	// Isolate loses all messages to and from the member.
	Isolate FaultKind = "isolate"
	// DropOutbound loses the messages that the member sends.
	DropOutbound FaultKind = "one-way"
	// DropInbound loses the messages that are sent to the member.
	DropInbound FaultKind = "deaf"
	// DelayMessages holds the messages to and from the member back; all arrive at the end.
	DelayMessages FaultKind = "hold"
	// DelayInbound holds the messages to the member back; all arrive at the end.
	DelayInbound FaultKind = "hold-inbound"
	// StallDisk lets no sync of the member's disk end.
	StallDisk FaultKind = "stall"
	// LoseDisk ends the process, empties its disk and restarts it.
	LoseDisk FaultKind = "wipe"
	// Replace removes the machine for good and starts an empty one at another address.
	Replace FaultKind = "replace"
	// Leave stops the process as planned and restarts it.
	Leave FaultKind = "leave"
	// PlannedReplacement starts an empty machine at another address and then removes this one as planned.
	PlannedReplacement FaultKind = "planned-change"
	// Remove stops the process as planned and removes the machine for good. An empty one starts at another address later.
	Remove FaultKind = "remove"
)

// Faults that affect several members.
const (
	// KillAll kills all processes at once.
	KillAll FaultKind = "kill-all"
	// KillAllLoseDisk kills all processes at once, of which one loses its disk.
	KillAllLoseDisk FaultKind = "wipe-of-all"
	// KillAllLoseDisks kills all processes at once, of which as many as is tolerated lose their disks.
	KillAllLoseDisks FaultKind = "wipe-most"
	// Split partitions the members into two halves.
	Split FaultKind = "split"
	// KillAfterHeal isolates a member and kills all others when the isolation has ended.
	KillAfterHeal FaultKind = "kill-after-heal"
	// LagThenRecover isolates a member, kills all others, of which one loses its disk, and ends the isolation while only the
	// lagging and the empty member run.
	LagThenRecover FaultKind = "behind"
)

// faultKinds are all kinds. Their order determines what Generate returns for a seed.
var faultKinds = []FaultKind{
	Kill, Freeze, Isolate, DropOutbound, DropInbound, StallDisk, LoseDisk, Replace, KillAll, KillAllLoseDisk, KillAllLoseDisks,
	Split, DelayMessages, DelayInbound, Leave, PlannedReplacement, KillAfterHeal, LagThenRecover,
	Remove,
}

// lostDisks returns the number of disks that a fault loses, if at most maxFailures may be lost.
func (k FaultKind) lostDisks(maxFailures int) int {
	switch k {
	case LoseDisk, Replace, KillAllLoseDisk, PlannedReplacement, LagThenRecover, Remove:
		return 1
	case KillAllLoseDisks:
		return maxFailures
	}
	return 0
}

// Fault is one fault of a schedule. Written schedules contain it: the names of the fields are fixed.
type Fault struct {
	// At is when the fault begins.
	At   time.Duration
	Kind FaultKind
	// Member is the index, at the start, of the member that it affects.
	Member int
	// For is how long it lasts.
	For time.Duration
}

// String describes the fault in one line.
func (f Fault) String() string { return fmt.Sprintf("%v %s m%d for %v", f.At, f.Kind, f.Member, f.For) }

// Schedule is a simulation with the faults that are injected. The command writes it for a failure: the names of the fields
// are fixed.
type Schedule struct {
	Options Options
	Steps   []Fault
	// Overlap allows faults at more members at once than is tolerated, as long as they lose no disk. Nothing need be
	// acknowledged then, but no guarantee of consistency may be violated.
	Overlap bool
}

// Times of a run.
const (
	// firstFaultAt is the earliest time of a fault.
	firstFaultAt = 2 * time.Second
	// catchUpTime is how long a member counts as failed after its fault has ended.
	catchUpTime = 4 * time.Second
	// quietPeriod is how long a run continues after the last fault has ended.
	quietPeriod = 8 * time.Second
	// progressTimeout is within what time an operation must be acknowledged, if no fault prevents it.
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

// Generate draws a schedule. The same seed gives the same one.
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
			// The next one begins about when this one ends: many bugs need a fault during the recovery from another one.
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

// runWithCoverage runs a schedule and also returns what it has covered.
func (s Schedule) runWithCoverage() (Coverage, error) {
	sim, err := s.play(nil)
	return sim.coverage, err
}

// RunTraced runs a schedule, and tells what happens to the calls of the coordination service, a line each.
func (s Schedule) RunTraced(trace func(line string)) error {
	_, err := s.play(trace)
	return err
}

// play runs a schedule and returns the simulation as it is at the end, or where a guarantee was violated. The trace is nil for
// none.
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
