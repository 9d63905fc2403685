package coresim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dykering/internal/chain"
)

// Times of the simulated processes. They are those of a deployment with a contact_ms of 3,000.
const (
	tickInterval    = 50 * time.Millisecond
	pingInterval    = 100 * time.Millisecond
	suspectTimeout  = 600 * time.Millisecond
	proposalTimeout = 500 * time.Millisecond
	// chainLeaseDuration is the time for which a confirmation by a majority allows the lease holder to act.
	chainLeaseDuration = 750 * time.Millisecond
	// leaseDuration is the deployment's lease_duration_ms, within which the role must not return to a former holder.
	leaseDuration = 3 * time.Second
	// takeoverSlack is the deployment's thaw_slack_ms: the time for which a process that was frozen may act before it notices.
	takeoverSlack = 300 * time.Millisecond
	// diskTimeout is the duration of a sync from which on the process reports its disk as unhealthy.
	diskTimeout = 500 * time.Millisecond
)

// Times of the simulated hardware.
const (
	syncDuration = 5 * time.Millisecond
	// A message takes minDelay plus a random part of maxExtraDelay.
	minDelay      = 200 * time.Microsecond
	maxExtraDelay = 3 * time.Millisecond
)

// maxSeeds is the number of seed addresses in the configuration of a process.
const maxSeeds = 3

// Options configure a simulation. Schedule files contain them, so the names of the fields must not change.
type Options struct {
	// Seed determines all random choices of the run.
	Seed uint64
	// Members is the number of machines at the start.
	Members int
	// MostFailures is the number of members that may fail at the same time (chain.Config.MaxFailures).
	MostFailures int
	// Busy makes the operators send with short pauses, which gives several hundred operations in a run.
	Busy bool
	// Flaw is the planted flaw; NoFlaw for none.
	Flaw Flaw
	// Placement makes the lease holder send orders to emulated endpoints.
	Placement bool `json:",omitempty"`
	// Sessions adds emulated endpoints that keep sessions with the members, drain and deregister.
	Sessions bool `json:",omitempty"`
	// Coordination adds emulated applications that use locks, numbers, cells and watches.
	Coordination bool `json:",omitempty"`
}

// Simulation is one simulated core with its clients.
type Simulation struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	lastEvent uint64
	events    eventQueue
	// machines are all machines, including removed ones, in the order of their creation.
	machines []*machine
	// seeds are the seed addresses in the configuration of a starting process.
	seeds []string
	// blocked counts the faults that currently block each link.
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

// NewSimulation returns a simulation of a new core, whose members start for the first time.
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

// addReplacement adds an empty machine as the successor of another one. The caller starts it.
func (sim *Simulation) addReplacement(m *machine) *machine {
	sim.replacements++
	m.successor = sim.addMachine(fmt.Sprintf("n%d", sim.replacements))
	m.successor.isReplacement = true
	sim.refreshSeeds()
	return m.successor
}

// machine returns the machine with an address, or nil.
func (sim *Simulation) machine(address string) *machine {
	for _, m := range sim.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// runningMachines returns the machines of the deployment whose processes run or are frozen.
func (sim *Simulation) runningMachines() []*machine {
	var running []*machine
	for _, m := range sim.machines {
		if m.up && !m.removed {
			running = append(running, m)
		}
	}
	return running
}

// refreshSeeds sets the seeds to the first machines that have not been removed.
func (sim *Simulation) refreshSeeds() {
	sim.seeds = nil
	for _, m := range sim.machines {
		if !m.removed && len(sim.seeds) < maxSeeds {
			sim.seeds = append(sim.seeds, m.address)
		}
	}
}

// Run runs the simulation until a time, or until a guarantee is violated, which it returns as an error.
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

// violation returns the first violation that any of the checkers has recorded, or nil.
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

// jitter returns a random duration of at least 0 and less than d.
func (sim *Simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(d)))
}

// Views returns the views of the running members. Descriptions of failures contain them.
func (sim *Simulation) Views() []chain.View {
	var views []chain.View
	for _, m := range sim.machines {
		if m.up {
			views = append(views, m.node.View())
		}
	}
	return views
}
