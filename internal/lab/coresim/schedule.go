package coresim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of trouble.
type FaultKind string

// The kinds.
const (
	Kill               FaultKind = "kill"            // the process ends and starts again
	Freeze             FaultKind = "freeze"          // the machine stands still
	Isolate            FaultKind = "isolate"         // cut off from all others, both ways
	DropOutbound       FaultKind = "one-way"         // what it sends does not arrive
	DropInbound        FaultKind = "deaf"            // what others send it does not arrive
	StallDisk          FaultKind = "stall"           // its disk answers nothing
	LoseDisk           FaultKind = "wipe"            // its process ends and its disk is lost
	Replace            FaultKind = "replace"         // it is gone for good, an empty one comes at another address
	KillAll            FaultKind = "kill-all"        // all processes end at once
	KillAllLoseDisk    FaultKind = "wipe-of-all"     // all end at once, one with its disk lost
	KillAllLoseDisks   FaultKind = "wipe-most"       // all end at once, as many as may be lost with their disks
	Split              FaultKind = "split"           // the members are cut into two halves
	DelayMessages      FaultKind = "hold"            // messages to and from it wait, and all arrive then
	DelayInbound       FaultKind = "hold-inbound"    // messages to it wait, and all arrive then
	Leave              FaultKind = "leave"           // it ends as planned, and starts again
	PlannedReplacement FaultKind = "planned-change"  // an empty one comes at another address, then it ends as planned, for good
	KillAfterHeal      FaultKind = "kill-after-heal" // it is cut off, and as it is back all others are killed
	LagThenRecover     FaultKind = "behind"          // it is cut off, another loses its disk, the rest are dark, and the cut heals
)

var faultKinds = []FaultKind{Kill, Freeze, Isolate, DropOutbound, DropInbound, StallDisk, LoseDisk, Replace, KillAll, KillAllLoseDisk, KillAllLoseDisks, Split, DelayMessages, DelayInbound, Leave,
	PlannedReplacement, KillAfterHeal, LagThenRecover}

// disksLost is how many disks are lost by a trouble where some number may be.
func (k FaultKind) lostDisks(most int) int {
	switch k {
	case LoseDisk, Replace, KillAllLoseDisk, PlannedReplacement, LagThenRecover:
		return 1
	case KillAllLoseDisks:
		return most
	}
	return 0
}

// Step is one trouble of a schedule.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Member int
	For    time.Duration
}

func (s Fault) String() string { return fmt.Sprintf("%v %s m%d for %v", s.At, s.Kind, s.Member, s.For) }

// Schedule is a world and its troubles.
type Schedule struct {
	Options Options
	Steps   []Fault
	// Overlap lets troubles that lose no disk strike more members at once than are to be borne: then nothing needs to be
	// served, and nothing may be lost or shown in an older state.
	Overlap bool
}

const (
	firstFaultAt = 2 * time.Second
	// catchUp is how long a member that is back counts as lost.
	catchUpTime      = 4 * time.Second
	quietPeriod      = 8 * time.Second
	progressTimeout  = 4 * time.Second
	maxFaults        = 8
	maxFaultDuration = 5 * time.Second
	// longestCut is how long a member may be cut off.
	maxIsolation = 20 * time.Second
	maxGap       = 3 * time.Second
	// aroundEnd is how far from the end of a trouble another one may be drawn to begin.
	overlapWindow = 700 * time.Millisecond
)

// Draw draws a schedule.
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
		step := Fault{At: at, Kind: faultKinds[random.IntN(len(faultKinds))], Member: random.IntN(s.Options.Members),
			For: 100*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration)))}
		if step.Kind == Isolate && random.IntN(4) == 0 {
			step.For = time.Duration(random.Int64N(int64(maxIsolation)))
		}
		s.Steps = append(s.Steps, step)
		if random.IntN(3) == 0 { // the next one begins about when this one ends
			at = max(at, step.At+step.For-overlapWindow/2+time.Duration(random.Int64N(int64(overlapWindow)))-maxGap/2)
		}
	}
	return s
}

// Play plays a schedule and tells which promise was broken, if any.
func (s Schedule) Run() error {
	_, err := s.runWithCoverage()
	return err
}

// play plays a schedule, and tells also what it has covered.
func (s Schedule) runWithCoverage() (Coverage, error) {
	w := NewSimulation(s.Options)
	var end time.Duration
	losses := newFaultInjector(w, s.Overlap)
	for _, step := range s.Steps {
		end = max(end, step.At+step.For)
		w.at(step.At, func() { losses.inject(step) })
	}
	losses.watchProgress()
	if err := w.Run(end + quietPeriod); err != nil {
		return w.coverage, err
	}
	if !w.MakesProgress(progressTimeout) {
		if w.checker.violation != nil {
			return w.coverage, w.checker.violation
		}
		return w.coverage, fmt.Errorf("nothing is acknowledged in %v of calm: %+v", progressTimeout, w.Views())
	}
	if err := w.checkCaughtUp(); err != nil {
		return w.coverage, err
	}
	w.checkReplicas(nil)
	return w.coverage, w.checker.violation
}
