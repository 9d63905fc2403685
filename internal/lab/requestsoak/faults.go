package requestsoak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

const (
	maxFaultPause  = 2 * time.Second
	maxDowntime    = 600 * time.Millisecond
	maxFreeze      = 2500 * time.Millisecond
	maxSignalPause = 900 * time.Millisecond
	maxSignals     = 4
	// proxiesPerLane is the number of proxies for each goroutine that injects faults into proxies.
	proxiesPerLane = 3
	// maxEndpointPause bounds the time between two faults of endpoints.
	maxEndpointPause = 1500 * time.Millisecond
	maxResetFraction = 0.5
)

// processFaults injects faults into a group of processes. Several goroutines share it, and each has one process down at a time.
type processFaults struct {
	system    *system
	processes []*localprocess.Process

	mu   sync.Mutex
	busy map[*localprocess.Process]bool
	err  error
}

// claim takes a random process that no other fault acts on. It returns nil if there is none.
func (f *processFaults) claim(d *dice) *localprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := d.number(len(f.processes))
	for i := range f.processes {
		p := f.processes[(first+i)%len(f.processes)]
		if !f.busy[p] {
			f.busy[p] = true
			return p
		}
	}
	return nil
}

func (f *processFaults) release(p *localprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, p)
}

// run injects one fault after another until no further faults start. settle is the time after each fault in which the process is
// left alone.
func (f *processFaults) run(d *dice, settle time.Duration) {
	for pause.For(f.system.faultsDone, d.duration(0, maxFaultPause)) {
		p := f.claim(d)
		if p == nil {
			continue
		}
		err := f.strike(p, d)
		pause.For(f.system.faultsDone, settle)
		f.release(p)
		if err != nil {
			f.mu.Lock()
			f.err = err
			f.mu.Unlock()
			return
		}
	}
}

// strike injects a drawn fault into a process, and restarts it if it has exited.
func (f *processFaults) strike(p *localprocess.Process, d *dice) error {
	switch d.number(6) {
	case 0, 1, 2:
		f.stop(p, d)
	case 3:
		f.signal(p, syscall.SIGKILL)
		p.Kill()
	case 4:
		f.freeze(p, d.duration(0, maxFreeze))
	case 5:
		for range 1 + d.number(maxSignals) {
			f.signal(p, syscall.SIGHUP)
			pause.For(f.system.faultsDone, d.duration(0, maxSignalPause))
		}
	}
	if !p.HasEnded() {
		return nil
	}
	f.system.recorder.addProcessEvent(p.Name, processExited)
	pause.For(f.system.faultsDone, d.duration(0, maxDowntime))
	return f.system.start(p)
}

// stop sends SIGTERM and further signals in series, until the process has exited or its grace period is over. It then kills it.
func (f *processFaults) stop(p *localprocess.Process, d *dice) {
	killAt := time.Now().Add(f.system.grace())
	f.signal(p, syscall.SIGTERM)
	for range d.number(maxSignals) {
		pause.For(f.system.cancelled, min(d.duration(0, maxSignalPause), time.Until(killAt)))
		if p.HasEnded() {
			return
		}
		switch d.number(3) {
		case 0:
			f.signal(p, syscall.SIGHUP)
		case 1:
			f.signal(p, syscall.SIGTERM)
		case 2:
			f.freeze(p, d.duration(0, maxSignalPause))
		}
	}
	for !p.HasEnded() && time.Now().Before(killAt) {
		pause.For(f.system.cancelled, exitPollInterval)
	}
	if !p.HasEnded() {
		f.signal(p, syscall.SIGKILL)
		p.Kill()
	}
}

// freeze stops a process for a time without ending it.
func (f *processFaults) freeze(p *localprocess.Process, duration time.Duration) {
	f.signal(p, syscall.SIGSTOP)
	pause.For(f.system.cancelled, duration)
	f.signal(p, syscall.SIGCONT)
}

var signalActions = map[syscall.Signal]processAction{
	syscall.SIGTERM: processTerminated, syscall.SIGHUP: processHungUp, syscall.SIGKILL: processKilled,
	syscall.SIGSTOP: processFrozen, syscall.SIGCONT: processThawed,
}

// signal records and sends a signal.
func (f *processFaults) signal(p *localprocess.Process, s syscall.Signal) {
	f.system.recorder.addProcessEvent(p.Name, signalActions[s])
	p.Signal(s)
}

// endpointSlot is a place that an endpoint fills. When the endpoint has ended, another one replaces it.
type endpointSlot struct {
	index, generation int
	service           string
	system            *system
	current           *endpoint
	dice              *dice
}

// replace starts the next endpoint of the slot at an address, or at any if that is empty or taken.
func (s *endpointSlot) replace(address string) error {
	s.generation++
	id := fmt.Sprintf("e%d-%d", s.index, s.generation)
	d := newDice(s.system.Seed, endpointStream+uint64(s.index)<<16+uint64(s.generation))
	next, err := startEndpoint(id, s.service, address, s.system.recorder, s.system.control, d)
	if err != nil && address != "" {
		next, err = startEndpoint(id, s.service, "", s.system.recorder, s.system.control, d)
	}
	if err != nil {
		return err
	}
	s.current = next
	return nil
}

// run injects one fault after another into the slot's endpoint until no further faults start.
func (s *endpointSlot) run() error {
	for pause.For(s.system.faultsDone, s.dice.duration(0, maxEndpointPause)) {
		old := s.current
		switch s.dice.number(8) {
		case 0: // a crash, after which the endpoint is back at its address
			old.crash()
			pause.For(s.system.faultsDone, s.dice.duration(0, maxDowntime))
			if err := s.replace(old.address); err != nil {
				return err
			}
		case 1: // a planned end: the successor is there before
			if err := s.replace(""); err != nil {
				return err
			}
			old.leave(s.system.faultsDone, s.system.drainTimeout())
		default:
			old.resetConnections(maxResetFraction * float64(s.dice.number(100)) / 100)
		}
	}
	return nil
}
