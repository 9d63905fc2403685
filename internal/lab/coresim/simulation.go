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
	tickInterval       = 50 * time.Millisecond
	pingInterval       = 100 * time.Millisecond
	suspectTimeout     = 600 * time.Millisecond
	proposalTimeout    = 500 * time.Millisecond
	chainLeaseDuration = 750 * time.Millisecond
	leaseDuration      = 3 * time.Second
	takeoverSlack      = 300 * time.Millisecond
	diskTimeout        = 500 * time.Millisecond
	syncDuration       = 5 * time.Millisecond
	minDelay           = 200 * time.Microsecond
	maxExtraDelay      = 3 * time.Millisecond
)

// mostSeeds is how many machines a starting one is told of.
const maxSeeds = 3

// Options of a world.
type Options struct {
	Seed         uint64
	Members      int
	MostFailures int
	Busy         bool // operators pause for little: hundreds of operations
	Flaw         Flaw
}

// World is one emulated core.
type Simulation struct {
	options       Options
	random        *rand.Rand
	now           time.Duration
	lastEvent     uint64
	events        eventQueue
	machines      []*machine
	seeds         []string
	blocked       map[[2]string]int // from, to
	delayed       map[[2]string]*delayedLink
	lastArrival   map[[2]string]time.Duration
	checker       *checker
	coverage      Coverage
	lastOperation uint64
	replacements  int
}

// NewWorld makes a core whose members start for the first time.
func NewSimulation(options Options) *Simulation {
	w := &Simulation{options: options, random: rand.New(rand.NewPCG(options.Seed, 1)), blocked: map[[2]string]int{},
		delayed:     map[[2]string]*delayedLink{},
		lastArrival: map[[2]string]time.Duration{}, checker: newChecker(), coverage: Coverage{}}
	for i := range options.Members {
		w.addMachine(fmt.Sprintf("m%d", i))
	}
	for i := range min(options.Members, maxSeeds) {
		w.seeds = append(w.seeds, w.machines[i].address)
	}
	for _, m := range w.machines {
		m.start(true)
	}
	w.startClients()
	return w
}

func (w *Simulation) addMachine(address string) *machine {
	m := &machine{world: w, address: address}
	w.machines = append(w.machines, m)
	return m
}

// machine finds the machine at an address.
func (w *Simulation) machine(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// present are the machines whose processes run or stand still.
func (w *Simulation) runningMachines() []*machine {
	var present []*machine
	for _, m := range w.machines {
		if m.up && !m.removed {
			present = append(present, m)
		}
	}
	return present
}

// newSeeds has machines that start from now on ask three that are there.
func (w *Simulation) refreshSeeds() {
	w.seeds = nil
	for _, m := range w.machines {
		if !m.removed && len(w.seeds) < maxSeeds {
			w.seeds = append(w.seeds, m.address)
		}
	}
}

// Run plays until a time, or until a promise is broken.
func (w *Simulation) Run(until time.Duration) error {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		if w.checker.violation != nil {
			return fmt.Errorf("at %v: %w", w.now, w.checker.violation)
		}
	}
	w.now = until
	return nil
}

// jitter draws a part of a duration.
func (w *Simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// State describes the members, for those who look at a failure.
func (w *Simulation) Views() []chain.View {
	var views []chain.View
	for _, m := range w.machines {
		if m.up {
			views = append(views, m.node.View())
		}
	}
	return views
}
