package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"dykering/internal/lab/localprocess"
)

// faultStream is the first stream of the seed for faults; the callers use those below.
const faultStream = 1 << 32

// faults draws what happens to the control processes. Each lane loses one process at a time.
type faults struct {
	*system
	mu     sync.Mutex
	lost   map[*localprocess.Process]bool
	events []string
	err    error
}

// fault is what is drawn for a process that is lost.
type fault struct {
	frozen, killed, loses bool
	away                  time.Duration
}

func drawFault(random *rand.Rand) fault {
	f := fault{away: drawDuration(random, 50*time.Millisecond, 3*time.Second)}
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
	if f.frozen {
		return fmt.Sprintf("SIGSTOP for %v", f.away)
	}
	signal := lo.Ternary(f.killed, "SIGKILL", "SIGTERM")
	return fmt.Sprintf("%s, restart after %v%s", signal, f.away, lo.Ternary(f.loses, " without its data", ""))
}

// runLane loses one process after another until the scenario ends.
func (f *faults) runLane(lane int) {
	random := rand.New(rand.NewPCG(f.Seed, faultStream+uint64(lane)))
	for pause(f.done, drawDuration(random, 100*time.Millisecond, time.Second)) {
		index, what := random.IntN(len(f.processes)), drawFault(random)
		p := f.claim(index)
		f.tell(p.Name + ": " + what.String())
		if err := f.play(p, what, random); err != nil {
			f.fail(err)
			return
		}
		f.tell(p.Name + ": back")
		// A process counts as lost for so long after its return.
		pause(f.stopped, time.Duration(f.bounds.CatchUpS)*time.Second)
		f.release(p)
	}
}

// claim takes a process that is not lost, the one with the index or the next after it.
func (f *faults) claim(index int) *localprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.lost[f.processes[index]] {
		index = (index + 1) % len(f.processes)
	}
	f.lost[f.processes[index]] = true
	return f.processes[index]
}

func (f *faults) release(p *localprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[p] = false
}

// play loses a process and brings it back, in the end of the scenario too.
func (f *faults) play(p *localprocess.Process, what fault, random *rand.Rand) error {
	if p.HasEnded() {
		f.tell(p.Name + " had ended by itself")
		return f.start(p)
	}
	if what.frozen {
		p.Signal(syscall.SIGSTOP)
		pause(f.done, what.away/2)
		if random.IntN(2) == 0 {
			p.Signal(syscall.SIGHUP)
		}
		pause(f.done, what.away/2)
		p.Signal(syscall.SIGCONT)
		return nil
	}
	if what.killed {
		p.Kill()
	} else {
		p.Stop()
	}
	pause(f.done, what.away)
	if what.loses {
		if err := p.LoseData(); err != nil {
			return err
		}
	}
	return f.start(p)
}

func (f *faults) start(p *localprocess.Process) error { return p.Start(f.Program) }

// runHangups sends SIGHUP to processes that are not lost.
func (f *faults) runHangups() {
	random := rand.New(rand.NewPCG(f.Seed, faultStream-1))
	for pause(f.done, drawDuration(random, 200*time.Millisecond, 2*time.Second)) {
		p := f.processes[random.IntN(len(f.processes))]
		f.mu.Lock()
		if !f.lost[p] {
			p.Signal(syscall.SIGHUP)
		}
		f.mu.Unlock()
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
	f.err = err
}
