// Package coresim emulates the core in virtual time: members that run the state machine of internal/chain, the network
// between them, their disks, and the callers that write, read and watch the holder of the singleton role. What callers
// saw is checked against what was promised to them.
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

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
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

// at has something happen at a time.
func (w *World) at(when time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: max(when, w.now), order: w.order, do: do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now+d, do) }

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

// machine finds the machine at an address.
func (w *World) machine(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// heldLink is a link whose messages wait.
type heldLink struct {
	until    time.Duration
	messages []any
}

// send carries a message, in the order in which a link's messages were sent.
func (w *World) send(from *machine, envelope chain.Envelope) {
	envelope.Message = w.options.Flaw.message(envelope.Message)
	link := [2]string{from.address, envelope.To}
	if w.cuts[link] > 0 {
		return
	}
	if held := w.held[link]; held != nil {
		held.messages = append(held.messages, envelope.Message)
		return
	}
	arrives := max(w.now+leastDelay+time.Duration(w.random.Int64N(int64(mostDelay))), w.arrival[link]+time.Microsecond)
	w.arrival[link] = arrives
	w.at(arrives, func() {
		to := w.machine(envelope.To)
		if to == nil || w.cuts[link] > 0 {
			return
		}
		to.hear(envelope.Message)
	})
}

// hold has the messages from one address to another wait for a time: then all arrive, in order, also at a process that has
// started again meanwhile.
func (w *World) hold(from, to string, d time.Duration) {
	link := [2]string{from, to}
	if held := w.held[link]; held != nil {
		held.until = max(held.until, w.now+d)
		return
	}
	w.held[link] = &heldLink{until: w.now + d}
	w.release(link)
}

// release delivers what a link holds once its time is over.
func (w *World) release(link [2]string) {
	held := w.held[link]
	w.at(held.until, func() {
		if w.now < held.until {
			w.release(link)
			return
		}
		delete(w.held, link)
		for _, message := range held.messages {
			if to := w.machine(link[1]); to != nil && w.cuts[link] == 0 {
				to.hear(message)
			}
		}
	})
}

// cut breaks the links from one address to another for a time.
func (w *World) cut(from, to string, d time.Duration) {
	link := [2]string{from, to}
	w.cuts[link]++
	w.after(d, func() { w.cuts[link]-- })
}
