package flood

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/localsystem"
	"dykering/internal/lab/pause"
)

// Scenario is a whole system under drawn floods, while processes are signalled and restarted and the configuration changes.
type Scenario struct {
	Program  localprocess.Program
	Seed     uint64
	For      time.Duration // how long floods and faults are drawn
	Controls int           // 1, 3 or 5
	Proxies  int
	Clients  int // of each flood
	Limits   localprocess.Limits
	// Directory holds the settings, data and logs of the processes.
	Directory string
}

// Report is what a scenario showed.
type Report struct {
	Floods, Faults, Changes int
	Connections             int64
	Served                  int // ordinary requests that were served meanwhile
	Highest                 Usage
	Log                     []string // what was drawn, in order
	Violations              []string
}

// Summary describes the report in a line.
func (r *Report) Summary() string {
	return fmt.Sprintf("%d floods, %d connections, %d faults, %d changes, %d ordinary requests served, at most %v: %d violations",
		r.Floods, r.Connections, r.Faults, r.Changes, r.Served, r.Highest, len(r.Violations))
}

const (
	// processesPerLane is the number of processes for each series of floods and each series of faults. The series overlap.
	processesPerLane = 3
	minFloodTime     = 500 * time.Millisecond
	maxFloodTime     = 3 * time.Second
	maxFaultPause    = 1500 * time.Millisecond
	maxFreeze        = 800 * time.Millisecond
)

// soak is the state of a running scenario.
type soak struct {
	Scenario
	system  *localsystem.System
	members []*member
	done    <-chan struct{} // closed when no further floods and faults are drawn
	began   time.Time

	mu     sync.Mutex
	report Report
}

// member is a process of the system, which the scenario may restart.
type member struct {
	process *localprocess.Process
	targets []Target

	mu        sync.Mutex // held while the process is signalled or restarted
	monitor   *Monitor
	startedAt time.Time
}

// Run plays the scenario. It returns an error if the system does not start.
func (s Scenario) Run(ctx context.Context) (*Report, error) {
	size := localsystem.Size{Controls: s.Controls, Proxies: s.Proxies, MachineFailures: (s.Controls - 1) / 2, Limits: s.Limits}
	system, err := localsystem.NewOfSize(ctx, s.Directory, size)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	if err := system.Start(s.Program); err != nil {
		return nil, err
	}
	if _, err := system.AwaitReady(); err != nil { //nolint:contextcheck // each attempt has a time limit of its own
		return nil, err
	}
	drawing, stop := context.WithTimeout(ctx, s.For)
	defer stop()
	running := &soak{Scenario: s, system: system, done: drawing.Done(), began: time.Now()}
	running.addMembers() //nolint:contextcheck // the requests of the targets have time limits of their own
	system.StartLoad()
	running.play(ctx)
	running.finish(ctx)
	return &running.report, nil
}

func (s *soak) addMembers() {
	for _, control := range s.system.Control {
		targets := []Target{ControlPlane(control), Configuration(control), Internal(control)}
		s.members = append(s.members, &member{process: control, targets: targets, monitor: Watch(control.PID())})
	}
	for _, proxy := range s.system.Proxies {
		targets := []Target{Frontend(s.system, proxy), Readiness(proxy)}
		s.members = append(s.members, &member{process: proxy, targets: targets, monitor: Watch(proxy.PID())})
	}
}

// play draws floods and faults until the time is over.
func (s *soak) play(ctx context.Context) {
	lanes := (len(s.members) + processesPerLane - 1) / processesPerLane
	var running sync.WaitGroup
	for lane := range lanes {
		floods := rand.New(rand.NewPCG(s.Seed, uint64(2*lane)))
		faults := rand.New(rand.NewPCG(s.Seed, uint64(2*lane+1)))
		running.Go(func() { s.drawFloods(ctx, floods) })
		running.Go(func() { s.drawFaults(faults) })
	}
	running.Wait()
}

func (s *soak) drawFloods(ctx context.Context, dice *rand.Rand) {
	for {
		target := s.drawTarget(dice)
		behavior := target.behaviors[dice.IntN(len(target.behaviors))]
		duration := minFloodTime + time.Duration(dice.Int64N(int64(maxFloodTime-minFloodTime)))
		s.note("flood %s of %s for %v", behavior, target.Address, duration.Round(time.Millisecond))
		clients := Start(ctx, target, behavior, s.Clients)
		goesOn := pause.For(s.done, duration)
		clients.Close()
		s.mu.Lock()
		s.report.Floods++
		s.report.Connections += clients.Connections()
		s.mu.Unlock()
		if !goesOn {
			return
		}
	}
}

func (s *soak) drawTarget(dice *rand.Rand) Target {
	m := s.members[dice.IntN(len(s.members))]
	return m.targets[dice.IntN(len(m.targets))]
}

func (s *soak) drawFaults(dice *rand.Rand) {
	for pause.For(s.done, time.Duration(dice.Int64N(int64(maxFaultPause)))) {
		s.fault(dice, s.members[dice.IntN(len(s.members))])
		s.mu.Lock()
		s.report.Faults++
		s.mu.Unlock()
	}
}

// finish floods one target of each process, and checks that ordinary requests are served meanwhile.
func (s *soak) finish(ctx context.Context) {
	dice := rand.New(rand.NewPCG(s.Seed, uint64(len(s.members))))
	var floods []*Clients
	for i, m := range s.members {
		if i >= maxFinalFloods {
			break
		}
		target := m.targets[dice.IntN(len(m.targets))]
		behavior := target.behaviors[dice.IntN(len(target.behaviors))]
		s.note("last flood %s of %s", behavior, target.Address)
		floods = append(floods, Start(ctx, target, behavior, s.Clients))
	}
	pause.For(ctx.Done(), settleTime)
	for _, m := range s.members {
		s.checkMember(ctx, m)
	}
	for _, flood := range floods {
		s.report.Connections += flood.Connections()
		flood.Close()
	}
	s.report.Changes = s.system.Operator.Changes()
	s.report.Served = s.system.Clients.Answers()[200]
}

// maxFinalFloods bounds the floods at the end, whose clients run in this process.
const maxFinalFloods = 6

// checkMember checks that a process runs, is within its limits and serves an ordinary request at each listener.
func (s *soak) checkMember(ctx context.Context, m *member) {
	for _, target := range m.targets {
		if !awaitServed(ctx, target, m.process) {
			s.violate("%s: no ordinary request was served at %s", m.process.Name, target.Name)
		}
	}
	s.endLife(m)
}

// endLife checks the usage of a process since its last start, and that it has not ended by itself. It stops its monitor.
func (s *soak) endLife(m *member) {
	if m.process.HasEnded() {
		s.violate("%s ended by itself", m.process.Name)
	}
	usage := m.monitor.Stop()
	for _, violation := range overLimits(usage, s.Limits, false) {
		s.violate("%s: %s; most memory at %.2f s", m.process.Name, violation, usage.ReadAt.Sub(s.began).Seconds())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Highest = s.report.Highest.highest(usage)
}

func (s *soak) violate(format string, arguments ...any) {
	violation := fmt.Sprintf(format, arguments...)
	s.note("VIOLATION %s", violation)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, violation)
}

// note adds a line to the log of the report.
func (s *soak) note(format string, arguments ...any) {
	line := fmt.Sprintf("%6.2f s %s", time.Since(s.began).Seconds(), strings.TrimSpace(fmt.Sprintf(format, arguments...)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Log = append(s.report.Log, line)
}
