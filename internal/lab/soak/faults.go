package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"dykering/internal/lab/history"
	"dykering/internal/lab/localprocess"
)

// The streams of the seed for faults; the callers use those below.
const (
	hangupStream   = 1 << 32
	blackoutStream = 2 << 32
	laneStream     = 3 << 32
)

// ownEnd is the rule that is broken by a process that ends by itself.
const ownEnd = "FAULT"

// faults draws what happens to the control processes. Each lane loses one process at a time.
type faults struct {
	*system
	// present is held for reading by a lane while it has lost a process, and for writing by a fault of all processes.
	present sync.RWMutex

	mu       sync.Mutex
	lost     map[*localprocess.Process]bool
	events   []string
	ownEnds  []history.Violation
	firstErr error
}

// fault is what is drawn for a process that is lost.
type fault struct {
	frozen, killed, loses bool
	// afterAnswer takes the process that acknowledges a call next, at once.
	afterAnswer bool
	away        time.Duration
}

func drawFault(random *rand.Rand) fault {
	f := fault{away: drawDuration(random, 50*time.Millisecond, 3*time.Second), afterAnswer: random.IntN(2) == 0}
	switch random.IntN(5) {
	case 0:
		f.frozen = true
	case 1:
		f.killed = true
	case 2:
		f.killed, f.loses = true, true
	case 3: // SIGTERM
	case 4:
		f.loses = true
	}
	return f
}

func (f fault) String() string {
	moment := lo.Ternary(f.afterAnswer, " after an acknowledgement", "")
	if f.frozen {
		return fmt.Sprintf("SIGSTOP for %v%s", f.away, moment)
	}
	signal := lo.Ternary(f.killed, "SIGKILL", "SIGTERM")
	return fmt.Sprintf("%s%s, restart after %v%s", signal, moment, f.away, lo.Ternary(f.loses, " without its data", ""))
}

// runLane loses one process after another until the scenario ends.
func (f *faults) runLane(lane int) {
	random := rand.New(rand.NewPCG(f.Seed, laneStream+uint64(lane)))
	for pause(f.calm, drawDuration(random, 100*time.Millisecond, time.Second)) {
		if err := f.loseOne(random); err != nil {
			f.fail(err)
			return
		}
	}
}

// loseOne loses a process, until it counts as present again.
func (f *faults) loseOne(random *rand.Rand) error {
	f.present.RLock()
	defer f.present.RUnlock()
	index, what := random.IntN(len(f.processes)), drawFault(random)
	p := f.claim(index, what.afterAnswer)
	defer f.release(p)
	f.tell(p.Name + ": " + what.String())
	if err := f.play(p, what, random); err != nil {
		return err
	}
	f.tell(p.Name + ": back")
	f.awaitPresent()
	return nil
}

// awaitPresent waits until a process that is back counts as present.
func (f *faults) awaitPresent() { pause(f.stopped, time.Duration(f.bounds.CatchUpS)*time.Second) }

// claim takes a process that is not lost: the one that acknowledges a call next, or the one with the index or next after it.
func (f *faults) claim(index int, afterAnswer bool) *localprocess.Process {
	for afterAnswer {
		select {
		case <-f.calm:
			afterAnswer = false
		case address := <-f.acknowledged:
			if p := f.claimAt(address); p != nil {
				return p
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.lost[f.processes[index]] {
		index = (index + 1) % len(f.processes)
	}
	f.lost[f.processes[index]] = true
	return f.processes[index]
}

// claimAt takes the process at an address, and returns nil if it is lost.
func (f *faults) claimAt(address string) *localprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.Public == address && !f.lost[p] {
			f.lost[p] = true
			return p
		}
	}
	return nil
}

func (f *faults) release(p *localprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[p] = false
}

// play loses a process and brings it back, in the end of the scenario too.
func (f *faults) play(p *localprocess.Process, what fault, random *rand.Rand) error {
	if f.endedByItself(p) {
		return p.Start(f.Program)
	}
	if what.frozen {
		p.Signal(syscall.SIGSTOP)
		pause(f.calm, what.away/2)
		if random.IntN(2) == 0 {
			p.Signal(syscall.SIGHUP)
		}
		pause(f.calm, what.away/2)
		p.Signal(syscall.SIGCONT)
		return nil
	}
	if what.killed {
		p.Kill()
	} else {
		p.Stop()
	}
	pause(f.calm, what.away)
	if what.loses {
		if err := p.LoseData(); err != nil {
			return err
		}
	}
	return p.Start(f.Program)
}

// endedByItself notes a process that has ended while nothing was done to it.
func (f *faults) endedByItself(p *localprocess.Process) bool {
	if !p.HasEnded() {
		return false
	}
	f.tell(p.Name + ": had ended by itself")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownEnds = append(f.ownEnds, history.Violation{Rule: ownEnd, Reason: p.Name + " had ended by itself"})
	return true
}

// runBlackouts kills all processes at once from time to time, while each has its data.
func (f *faults) runBlackouts() {
	random := rand.New(rand.NewPCG(f.Seed, blackoutStream))
	for pause(f.calm, drawDuration(random, 5*time.Second, 30*time.Second)) {
		f.present.Lock()
		err := f.blackOut(drawDuration(random, 0, time.Second), nil)
		f.awaitPresent()
		f.present.Unlock()
		if err != nil {
			f.fail(err)
			return
		}
	}
}

// blackOutFinally kills all processes at once, after an acknowledgement, and as many as may be lost come back without their data.
// It returns the time at which all were back, and for how long the machine had been calm by then.
func (f *faults) blackOutFinally() (back, calm time.Duration, err error) {
	random := rand.New(rand.NewPCG(f.Seed, blackoutStream+1))
	losing := random.Perm(len(f.processes))[:f.Cores/2]
	defer f.awaitPresent()
	select {
	case <-f.acknowledged:
	case <-f.stopped:
	case <-time.After(callTimeout):
	}
	err = f.blackOut(drawDuration(random, 0, time.Second), losing)
	return f.recorder.Now(), f.machine.calmTime(), err
}

// blackOut kills all processes at once and starts them again. Those of some indices lose their data.
func (f *faults) blackOut(away time.Duration, losing []int) error {
	f.tell(fmt.Sprintf("all: SIGKILL, restart after %v, without their data %v", away, losing))
	for _, p := range f.processes {
		f.endedByItself(p)
		p.Signal(syscall.SIGKILL)
	}
	for i, p := range f.processes {
		p.Kill()
		if !slices.Contains(losing, i) {
			continue
		}
		if err := p.LoseData(); err != nil {
			return err
		}
	}
	pause(f.stopped, away)
	for _, p := range f.processes {
		if err := p.Start(f.Program); err != nil {
			return err
		}
	}
	return nil
}

// runHangups sends SIGHUP to processes that are not lost.
func (f *faults) runHangups() {
	random := rand.New(rand.NewPCG(f.Seed, hangupStream))
	for pause(f.calm, drawDuration(random, 200*time.Millisecond, 2*time.Second)) {
		p := f.processes[random.IntN(len(f.processes))]
		f.present.RLock()
		f.mu.Lock()
		if !f.lost[p] {
			p.Signal(syscall.SIGHUP)
		}
		f.mu.Unlock()
		f.present.RUnlock()
	}
}

func (f *faults) tell(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%.3f s: %s", f.recorder.Now().Seconds(), event))
}

func (f *faults) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}
