package coresim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
)

// The times of the emulated core, as of a deployment with a contact time of 3 s.
const (
	tickEvery      = 50 * time.Millisecond
	pingEvery      = 100 * time.Millisecond
	suspectAfter   = 600 * time.Millisecond
	proposeTimeout = 500 * time.Millisecond
	leaseFor       = 750 * time.Millisecond
	leaseDuration  = 3 * time.Second
	thawSlack      = 300 * time.Millisecond
	diskPatience   = 500 * time.Millisecond
	syncTime       = 5 * time.Millisecond
	leastDelay     = 200 * time.Microsecond
	mostDelay      = 3 * time.Millisecond
)

// mostSeeds is how many machines a starting one is told of.
const mostSeeds = 3

// Options of a world.
type Options struct {
	Seed         uint64
	Members      int
	MostFailures int
	Busy         bool // operators pause for little: hundreds of operations
	Flaw         Flaw
}

// World is one emulated core.
type World struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	order    uint64
	queue    events
	machines []*machine
	seeds    []string
	cuts     map[[2]string]int // from, to
	held     map[[2]string]*heldLink
	arrival  map[[2]string]time.Duration
	checker  *checker
	coverage Coverage
	nextOp   uint64
	spares   int
}

// NewWorld makes a core whose members start for the first time.
func NewWorld(options Options) *World {
	w := &World{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), cuts: map[[2]string]int{},
		held:    map[[2]string]*heldLink{},
		arrival: map[[2]string]time.Duration{}, checker: newChecker(), coverage: Coverage{}}
	for i := range options.Members {
		w.addMachine(fmt.Sprintf("m%d", i))
	}
	for i := range min(options.Members, mostSeeds) {
		w.seeds = append(w.seeds, w.machines[i].address)
	}
	for _, m := range w.machines {
		m.start(true)
	}
	w.clients()
	return w
}

func (w *World) addMachine(address string) *machine {
	m := &machine{world: w, address: address}
	w.machines = append(w.machines, m)
	return m
}

// machine finds the machine at an address.
func (w *World) machine(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// present are the machines whose processes run or stand still.
func (w *World) present() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if m.up && !m.removed {
			present = append(present, m)
		}
	}
	return present
}

// newSeeds has machines that start from now on ask three that are there.
func (w *World) newSeeds() {
	w.seeds = nil
	for _, m := range w.machines {
		if !m.removed && len(w.seeds) < mostSeeds {
			w.seeds = append(w.seeds, m.address)
		}
	}
}

// Run plays until a time, or until a promise is broken.
func (w *World) Run(until time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if w.checker.broken != nil {
			return fmt.Errorf("at %v: %w", w.now, w.checker.broken)
		}
	}
	w.now = until
	return nil
}

// jitter draws a part of a duration.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// State describes the members, for those who look at a failure.
func (w *World) State() []chain.View {
	var views []chain.View
	for _, m := range w.machines {
		if m.up {
			views = append(views, m.node.View())
		}
	}
	return views
}
