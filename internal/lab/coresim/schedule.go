package coresim

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of trouble.
type Kind string

// The kinds.
const (
	Kill          Kind = "kill"            // the process ends and starts again
	Freeze        Kind = "freeze"          // the machine stands still
	Isolate       Kind = "isolate"         // cut off from all others, both ways
	OneWay        Kind = "one-way"         // what it sends does not arrive
	DeafWay       Kind = "deaf"            // what others send it does not arrive
	Stall         Kind = "stall"           // its disk answers nothing
	Wipe          Kind = "wipe"            // its process ends and its disk is lost
	Replace       Kind = "replace"         // it is gone for good, an empty one comes at another address
	KillAll       Kind = "kill-all"        // all processes end at once
	WipeOfAll     Kind = "wipe-of-all"     // all end at once, one with its disk lost
	WipeMost      Kind = "wipe-most"       // all end at once, as many as may be lost with their disks
	Split         Kind = "split"           // the members are cut into two halves
	Hold          Kind = "hold"            // messages to and from it wait, and all arrive then
	HoldInbound   Kind = "hold-inbound"    // messages to it wait, and all arrive then
	Leave         Kind = "leave"           // it ends as planned, and starts again
	PlannedChange Kind = "planned-change"  // an empty one comes at another address, then it ends as planned, for good
	KillAfterHeal Kind = "kill-after-heal" // it is cut off, and as it is back all others are killed
	Behind        Kind = "behind"          // it is cut off, another loses its disk, the rest are dark, and the cut heals
)

var kinds = []Kind{Kill, Freeze, Isolate, OneWay, DeafWay, Stall, Wipe, Replace, KillAll, WipeOfAll, WipeMost, Split, Hold, HoldInbound, Leave,
	PlannedChange, KillAfterHeal, Behind}

// disksLost is how many disks are lost by a trouble where some number may be.
func (k Kind) disksLost(most int) int {
	switch k {
	case Wipe, Replace, WipeOfAll, PlannedChange, Behind:
		return 1
	case WipeMost:
		return most
	}
	return 0
}

// Step is one trouble of a schedule.
type Step struct {
	At     time.Duration
	Kind   Kind
	Member int
	For    time.Duration
}

func (s Step) String() string { return fmt.Sprintf("%v %s m%d for %v", s.At, s.Kind, s.Member, s.For) }

// Schedule is a world and its troubles.
type Schedule struct {
	Options Options
	Steps   []Step
	// Overlap lets troubles that lose no disk strike more members at once than are to be borne: then nothing needs to be
	// served, and nothing may be lost or shown in an older state.
	Overlap bool
}

const (
	calmStart = 2 * time.Second
	// catchUp is how long a member that is back counts as lost.
	catchUp    = 4 * time.Second
	calmEnd    = 8 * time.Second
	progressIn = 4 * time.Second
	mostSteps  = 8
	longest    = 5 * time.Second
	// longestCut is how long a member may be cut off.
	longestCut = 20 * time.Second
	mostGap    = 3 * time.Second
	// aroundEnd is how far from the end of a trouble another one may be drawn to begin.
	aroundEnd = 700 * time.Millisecond
)

// Draw draws a schedule.
func Draw(seed uint64, flaw Flaw) Schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	s := Schedule{Options: Options{Seed: seed, Members: 3, MostFailures: 1, Flaw: flaw}}
	if random.IntN(3) == 0 {
		s.Options.Members, s.Options.MostFailures = 5, 2
	}
	s.Options.Busy = random.IntN(8) == 0
	s.Overlap = random.IntN(4) == 0
	at := calmStart
	for range 1 + random.IntN(mostSteps) {
		at += time.Duration(random.Int64N(int64(mostGap)))
		step := Step{At: at, Kind: kinds[random.IntN(len(kinds))], Member: random.IntN(s.Options.Members),
			For: 100*time.Millisecond + time.Duration(random.Int64N(int64(longest)))}
		if step.Kind == Isolate && random.IntN(4) == 0 {
			step.For = time.Duration(random.Int64N(int64(longestCut)))
		}
		s.Steps = append(s.Steps, step)
		if random.IntN(3) == 0 { // the next one begins about when this one ends
			at = max(at, step.At+step.For-aroundEnd/2+time.Duration(random.Int64N(int64(aroundEnd)))-mostGap/2)
		}
	}
	return s
}

// Play plays a schedule and tells which promise was broken, if any.
func (s Schedule) Play() error {
	_, err := s.play()
	return err
}

// play plays a schedule, and tells also what it has covered.
func (s Schedule) play() (Coverage, error) {
	w := NewWorld(s.Options)
	var end time.Duration
	losses := newLosses(w, s.Overlap)
	for _, step := range s.Steps {
		end = max(end, step.At+step.For)
		w.at(step.At, func() { losses.begin(step) })
	}
	losses.watchProgress()
	if err := w.Run(end + calmEnd); err != nil {
		return w.coverage, err
	}
	if !w.Progress(progressIn) {
		if w.checker.broken != nil {
			return w.coverage, w.checker.broken
		}
		return w.coverage, fmt.Errorf("nothing is acknowledged in %v of calm: %+v", progressIn, w.State())
	}
	if err := w.caughtUp(); err != nil {
		return w.coverage, err
	}
	w.checkCopies(nil)
	return w.coverage, w.checker.broken
}
