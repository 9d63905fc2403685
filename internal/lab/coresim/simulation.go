package coresim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
)

// Times of the simulated processes. They are those of a deployment with a contact time (contact_ms) of 3 s.
const (
	tickInterval    = 50 * time.Millisecond
	pingInterval    = 100 * time.Millisecond
	suspectTimeout  = 600 * time.Millisecond
	proposalTimeout = 500 * time.Millisecond
	// chainLeaseDuration is how long the confirmation by a majority lets the lease holder act.
	chainLeaseDuration = 750 * time.Millisecond
	// leaseDuration is the deployment's lease_duration_ms, within which the role must not return to a former holder.
	leaseDuration = 3 * time.Second
	// takeoverSlack is the deployment's thaw_slack_ms: how long a process may act after it was frozen before it notices.
	takeoverSlack = 300 * time.Millisecond
	// diskTimeout is how long a sync may take before the process reports its disk as unhealthy.
	diskTimeout = 500 * time.Millisecond
)

// Times of the simulated hardware.
const (
	syncDuration = 5 * time.Millisecond
	// A message takes minDelay and a random part of maxExtraDelay.
	minDelay      = 200 * time.Microsecond
	maxExtraDelay = 3 * time.Millisecond
)

// maxSeeds is how many addresses of other machines a process is configured with.
const maxSeeds = 3

// Options configure a simulation. Written schedules contain them: the names of the fields are fixed.
type Options struct {
	// Seed determines all random choices of the run.
	Seed uint64
	// Members is the number of machines at the start.
	Members int
	// MostFailures is the number of members that may fail at the same time (chain.Config.MaxFailures).
	MostFailures int
	// Busy makes the operators send without long pauses: several hundred operations in a run.
	Busy bool
	// Flaw is the planted flaw; NoFlaw for none.
	Flaw Flaw
	// Placement has the lease holder send orders to emulated endpoints.
	Placement bool `json:",omitempty"`
	// Sessions has emulated endpoints keep sessions with the members, drain and deregister.
	Sessions bool `json:",omitempty"`
	// Coordination has emulated applications call for locks, numbers, cells and watches.
	Coordination bool `json:",omitempty"`
}

// Simulation is one simulated core with its clients.
type Simulation struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	lastEvent uint64
	events    eventQueue
	// machines are all that ever were, in the order of their creation.
	machines []*machine
	// seeds are the addresses that a starting process is configured with.
	seeds []string
	// blocked counts the faults that block a link.
	blocked       map[link]int
	delayed       map[link]*delayedLink
	lastArrival   map[link]time.Duration
	checker       *checker
	placement     *placementTable    // nil without Options.Placement
	sessions      *sessionTable      // nil without Options.Sessions
	coordination  *coordinationTable // nil without Options.Coordination
	coverage      Coverage
	lastOperation uint64
	replacements  int
}

// NewSimulation returns a core whose members start for the first time.
func NewSimulation(options Options) *Simulation {
	sim := &Simulation{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		blocked:     map[link]int{},
		delayed:     map[link]*delayedLink{},
		lastArrival: map[link]time.Duration{},
		checker:     newChecker(),
		coverage:    Coverage{},
	}
	for i := range options.Members {
		sim.addMachine(fmt.Sprintf("m%d", i))
	}
	for i := range min(options.Members, maxSeeds) {
		sim.seeds = append(sim.seeds, sim.machines[i].address)
	}
	if options.Placement {
		newPlacementTable(sim)
	}
	if options.Sessions {
		sim.sessions = newSessionTable(sim)
	}
	if options.Coordination {
		sim.coordination = newCoordinationTable(sim)
	}
	for _, m := range sim.machines {
		m.start(true)
	}
	sim.startClients()
	return sim
}

func (sim *Simulation) addMachine(address string) *machine {
	m := &machine{sim: sim, address: address}
	sim.machines = append(sim.machines, m)
	return m
}

// addReplacement adds the machine that replaces another one. The caller starts it.
func (sim *Simulation) addReplacement(m *machine) *machine {
	sim.replacements++
	m.successor = sim.addMachine(fmt.Sprintf("n%d", sim.replacements))
	m.successor.isReplacement = true
	sim.refreshSeeds()
	return m.successor
}

// machine returns the machine at an address; nil for none.
func (sim *Simulation) machine(address string) *machine {
	for _, m := range sim.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// runningMachines returns the machines whose processes run or are frozen.
func (sim *Simulation) runningMachines() []*machine {
	var running []*machine
	for _, m := range sim.machines {
		if m.up && !m.removed {
			running = append(running, m)
		}
	}
	return running
}

// refreshSeeds sets the seeds to the first machines that are part of the deployment now.
func (sim *Simulation) refreshSeeds() {
	sim.seeds = nil
	for _, m := range sim.machines {
		if !m.removed && len(sim.seeds) < maxSeeds {
			sim.seeds = append(sim.seeds, m.address)
		}
	}
}

// Run runs until a time. It returns an error if a guarantee was violated before.
func (sim *Simulation) Run(until time.Duration) error {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
		if err := sim.violation(); err != nil {
			return fmt.Errorf("at %v: %w", sim.now, err)
		}
	}
	sim.now = until
	return nil
}

// violation returns the first violated guarantee; nil for none.
func (sim *Simulation) violation() error {
	switch {
	case sim.checker.violation != nil:
		return sim.checker.violation
	case sim.placement != nil && sim.placement.checker.violation != nil:
		return sim.placement.checker.violation
	case sim.sessions != nil && sim.sessions.checker.violation != nil:
		return sim.sessions.checker.violation
	case sim.coordination != nil:
		return sim.coordination.violation()
	}
	return nil
}

// jitter returns a random part of a duration.
func (sim *Simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

// Views returns the views of the running members, for the description of a failure.
func (sim *Simulation) Views() []chain.View {
	var views []chain.View
	for _, m := range sim.machines {
		if m.up {
			views = append(views, m.node.View())
		}
	}
	return views
}
