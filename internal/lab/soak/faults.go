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
	"dykering/internal/lab/pause"
)

// The random streams of the faults. The callers use lower stream numbers.
const (
	hangupStream      = 1 << 32
	blackoutStream    = 2 << 32
	singleFaultStream = 3 << 32
)

// unexpectedExit is the rule that a process violates by exiting while no fault acts on it.
const unexpectedExit = "FAULT"

// faultInjector draws and applies the faults of the control processes. It runs one goroutine of single faults for each tolerated
// failure, and each of these goroutines takes down one process at a time.
type faultInjector struct {
	*system
	// blackoutMutex is read-locked while a single fault is in progress, and write-locked during a blackout of all processes.
	blackoutMutex sync.RWMutex

	mu              sync.Mutex
	down            map[*localprocess.Process]bool
	events          []string
	unexpectedExits []history.Violation
	firstErr        error
}

// fault is a drawn fault of one process.
type fault struct {
	frozen, killed, losesData bool
	// afterAcknowledgement makes the fault strike the next process that acknowledges a call, right after the acknowledgement.
	afterAcknowledgement bool
	downtime             time.Duration
}

func drawFault(random *rand.Rand) fault {
	f := fault{downtime: drawDuration(random, 50*time.Millisecond, 3*time.Second), afterAcknowledgement: random.IntN(2) == 0}
	switch random.IntN(5) {
	case 0:
		f.frozen = true
	case 1:
		f.killed = true
	case 2:
		f.killed, f.losesData = true, true
	case 3: // SIGTERM
	case 4:
		f.losesData = true
	}
	return f
}

func (f fault) String() string {
	moment := lo.Ternary(f.afterAcknowledgement, " after an acknowledgement", "")
	if f.frozen {
		return fmt.Sprintf("SIGSTOP for %v%s", f.downtime, moment)
	}
	signal := lo.Ternary(f.killed, "SIGKILL", "SIGTERM")
	return fmt.Sprintf("%s%s, restart after %v%s", signal, moment, f.downtime, lo.Ternary(f.losesData, " without its data", ""))
}

// runSingleFaults takes down one process after another until no further faults start.
func (f *faultInjector) runSingleFaults(lane int) {
	random := rand.New(rand.NewPCG(f.Seed, singleFaultStream+uint64(lane)))
	for pause.For(f.faultsDone, drawDuration(random, 100*time.Millisecond, time.Second)) {
		if err := f.takeDownOne(random); err != nil {
			f.recordError(err)
			return
		}
	}
}

// takeDownOne takes down a process, restarts it and waits until it has caught up.
func (f *faultInjector) takeDownOne(random *rand.Rand) error {
	f.blackoutMutex.RLock()
	defer f.blackoutMutex.RUnlock()
	index, what := random.IntN(len(f.processes)), drawFault(random)
	p := f.claim(index, what.afterAcknowledgement)
	defer f.release(p)
	f.recordEvent(p.Name + ": " + what.String())
	if err := f.play(p, what, random); err != nil {
		return err
	}
	f.recordEvent(p.Name + ": back")
	f.awaitCatchUp()
	return nil
}

// awaitCatchUp waits catch_up_s seconds, after which a restarted process no longer counts as down.
func (f *faultInjector) awaitCatchUp() {
	pause.For(f.cancelled, time.Duration(f.bounds.CatchUpS)*time.Second)
}

// claim marks a process that is up as down and returns it. With afterAcknowledgement it claims the next process that acknowledges
// a call. Otherwise it claims the process at the index, or the next one that is up.
func (f *faultInjector) claim(index int, afterAnswer bool) *localprocess.Process {
	for afterAnswer {
		select {
		case <-f.faultsDone:
			afterAnswer = false
		case address := <-f.acknowledged:
			if p := f.claimAt(address); p != nil {
				return p
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.down[f.processes[index]] {
		index = (index + 1) % len(f.processes)
	}
	f.down[f.processes[index]] = true
	return f.processes[index]
}

// claimAt marks the process at an address as down and returns it. It returns nil if the process is already down.
func (f *faultInjector) claimAt(address string) *localprocess.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.Public == address && !f.down[p] {
			f.down[p] = true
			return p
		}
	}
	return nil
}

func (f *faultInjector) release(p *localprocess.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[p] = false
}

// play applies a fault to a process and restarts the process. It restarts the process also when the scenario ends meanwhile.
func (f *faultInjector) play(p *localprocess.Process, what fault, random *rand.Rand) error {
	if f.recordUnexpectedExit(p) {
		return p.Start(f.Program)
	}
	if what.frozen {
		p.Signal(syscall.SIGSTOP)
		pause.For(f.faultsDone, what.downtime/2)
		if random.IntN(2) == 0 {
			p.Signal(syscall.SIGHUP)
		}
		pause.For(f.faultsDone, what.downtime/2)
		p.Signal(syscall.SIGCONT)
		return nil
	}
	if what.killed {
		p.Kill()
	} else {
		p.Stop()
	}
	pause.For(f.faultsDone, what.downtime)
	if what.losesData {
		if err := p.RemoveData(); err != nil {
			return err
		}
	}
	return p.Start(f.Program)
}

// recordUnexpectedExit records a violation and returns true if the process has exited while no fault acted on it.
func (f *faultInjector) recordUnexpectedExit(p *localprocess.Process) bool {
	if !p.HasEnded() {
		return false
	}
	f.recordEvent(p.Name + ": exited while no fault acted on it")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unexpectedExits = append(f.unexpectedExits, history.Violation{Rule: unexpectedExit, Reason: p.Name + " exited while no fault acted on it"})
	return true
}

// runBlackouts kills all processes at once from time to time. The processes keep their data.
func (f *faultInjector) runBlackouts() {
	random := rand.New(rand.NewPCG(f.Seed, blackoutStream))
	for pause.For(f.faultsDone, drawDuration(random, 5*time.Second, 30*time.Second)) {
		f.blackoutMutex.Lock()
		err := f.blackout(drawDuration(random, 0, time.Second), nil)
		f.awaitCatchUp()
		f.blackoutMutex.Unlock()
		if err != nil {
			f.recordError(err)
			return
		}
	}
}

// finalBlackout kills all processes at once right after an acknowledgement. As many of them as the system tolerates restart without
// their data. It returns the time at which all processes were restarted, and the machine's calm time at that moment.
func (f *faultInjector) finalBlackout() (back, calm time.Duration, err error) {
	random := rand.New(rand.NewPCG(f.Seed, blackoutStream+1))
	losing := random.Perm(len(f.processes))[:f.Cores/2]
	defer f.awaitCatchUp()
	select {
	case <-f.acknowledged:
	case <-f.cancelled:
	case <-time.After(callTimeout):
	}
	err = f.blackout(drawDuration(random, 0, time.Second), losing)
	return f.recorder.Now(), f.machine.calmTime(), err
}

// blackout kills all processes at once and restarts them. The processes at the indices in losing lose their data.
func (f *faultInjector) blackout(away time.Duration, losing []int) error {
	f.recordEvent(fmt.Sprintf("all: SIGKILL, restart after %v, without their data %v", away, losing))
	for _, p := range f.processes {
		f.recordUnexpectedExit(p)
		p.Signal(syscall.SIGKILL)
	}
	for i, p := range f.processes {
		p.Kill()
		if !slices.Contains(losing, i) {
			continue
		}
		if err := p.RemoveData(); err != nil {
			return err
		}
	}
	pause.For(f.cancelled, away)
	for _, p := range f.processes {
		if err := p.Start(f.Program); err != nil {
			return err
		}
	}
	return nil
}

// runHangups sends SIGHUP to random processes that are up.
func (f *faultInjector) runHangups() {
	random := rand.New(rand.NewPCG(f.Seed, hangupStream))
	for pause.For(f.faultsDone, drawDuration(random, 200*time.Millisecond, 2*time.Second)) {
		p := f.processes[random.IntN(len(f.processes))]
		f.blackoutMutex.RLock()
		f.mu.Lock()
		if !f.down[p] {
			p.Signal(syscall.SIGHUP)
		}
		f.mu.Unlock()
		f.blackoutMutex.RUnlock()
	}
}

func (f *faultInjector) recordEvent(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%.3f s: %s", f.recorder.Now().Seconds(), event))
}

func (f *faultInjector) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstErr == nil {
		f.firstErr = err
	}
}
