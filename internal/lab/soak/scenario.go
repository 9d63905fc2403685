package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"dykering/internal/lab/history"
	"dykering/internal/lab/localprocess"
)

const (
	contenderCount = 6
	counterCount   = 2
	editorCount    = 4
	operatorCount  = 2
	// watcherStream is the first stream of the seed for watchers.
	watcherStream = 1 << 16
	// startTimeout is how long the system has until the first fault.
	startTimeout = 10 * time.Second
)

var (
	locks   = []string{"l1", "l2", "l3"}
	numbers = []string{"n1", "n2"}
	groups  = []string{"g1.", "g2."}
	keys    = []string{"g1.a", "g1.b", "g1.c", "g1.d", "g2.a", "g2.b"}
)

// Scenario is a soak of control processes.
type Scenario struct {
	Program localprocess.Program
	Seed    uint64
	For     time.Duration
	// Cores is the number of control processes: 3, of which one may be lost at a time, or 5, of which two may.
	Cores int
	// Directory has settings, data and logs of the processes, and the history of a run that broke a rule.
	Directory string
}

// Report is what came of a run.
type Report struct {
	Calls []history.Call
	// Faults are what was done to the processes, and then when other work slowed the machine.
	Faults     []string
	Violations []history.Violation
	// Pause is the longest time between two puts that succeeded, and PauseEnd when it ended.
	Pause, PauseEnd time.Duration
	// Recovery is the time from the return of all processes, in the end, to the first answer from each.
	Recovery time.Duration
	// TimerDelay and SyncTime are the longest delay of a timer and the longest sync of a file, as the machine was.
	TimerDelay, SyncTime time.Duration
	// CalmTime is for how long the machine was not slowed by other work.
	CalmTime time.Duration
}

// system is the system of a run.
type system struct {
	Scenario
	bounds      localprocess.Bounds
	processes   []*localprocess.Process
	addresses   []string
	recorder    *history.Recorder
	faultsDone  chan struct{}   // closed when faults end
	clientsDone chan struct{}   // closed when clients end, once all processes are back
	cancelled   <-chan struct{} // closed when the run is to end early
	// acknowledged takes the address that a call was acknowledged by, while a fault waits for it.
	acknowledged chan string
	machine      probe
	probeDone    chan struct{} // closed when the run has ended
	probeWorkers sync.WaitGroup
}

// Run plays the scenario. It returns an error if it could not be played; broken rules are in the report.
func (s Scenario) Run(ctx context.Context) (*Report, error) {
	bounds := localprocess.SiteBounds()
	processes, err := localprocess.New(ctx, localprocess.Layout{
		Directory: s.Directory, Controls: s.Cores, MachineFailures: (s.Cores - 1) / 2, Bounds: bounds,
	})
	if err != nil {
		return nil, err
	}
	r := &system{
		Scenario: s, bounds: bounds, processes: processes, recorder: history.NewRecorder(), faultsDone: make(chan struct{}),
		clientsDone: make(chan struct{}), cancelled: ctx.Done(), acknowledged: make(chan string),
		probeDone: make(chan struct{}),
	}
	defer r.close()
	if err := r.startProbe(); err != nil {
		return nil, err
	}
	for _, p := range processes {
		r.addresses = append(r.addresses, p.Public)
		if err := p.Start(s.Program); err != nil {
			return nil, err
		}
	}
	if err := r.awaitStart(); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// startProbe begins to probe the machine, until the run has ended.
func (s *system) startProbe() error {
	file, err := os.Create(filepath.Join(s.Directory, "probe"))
	if err != nil {
		return err
	}
	s.probeWorkers.Go(func() {
		defer file.Close()
		s.machine.run(s.probeDone, file)
	})
	return nil
}

// awaitStart waits until a first configuration is acknowledged.
func (s *system) awaitStart() error {
	c := s.newCaller("first", 0)
	for began := time.Now(); time.Since(began) < startTimeout; {
		if c.configure(0, 1, "first").Status == http.StatusOK {
			return nil
		}
		pause(s.cancelled, resendPause)
	}
	return errors.Errorf("no configuration is acknowledged within %v", startTimeout)
}

// play runs clients and faults, then what is asked in the end, and checks the history.
func (s *system) play(ctx context.Context) (*Report, error) {
	var clients, lanes sync.WaitGroup
	s.startClients(&clients)
	watchers := s.startWatchers(&clients)
	f := &faultInjector{system: s, down: map[*localprocess.Process]bool{}}
	for lane := range (s.Cores - 1) / 2 {
		lanes.Go(func() { f.runSingleFaults(lane) })
	}
	lanes.Go(f.runHangups)
	lanes.Go(f.runBlackouts)
	pause(s.cancelled, s.For)
	close(s.faultsDone)
	lanes.Wait()
	back, calm, err := f.finalBlackout()
	close(s.clientsDone)
	clients.Wait()
	if err := firstError(f.firstErr, err, ctx.Err()); err != nil {
		return nil, errors.Wrap(err, "not played to its end")
	}
	unanswered := s.makeFinalCalls(watchers, back, calm)
	for _, p := range s.processes {
		f.recordUnexpectedExit(p)
	}
	calls := s.recorder.Calls()
	report := &Report{Calls: calls, Faults: slices.Concat(f.events, s.machine.trace(s.recorder.Began())), Recovery: recovery(calls, back)}
	report.Pause, report.PauseEnd = longestPause(calls)
	report.Violations = slices.Concat(f.unexpectedExits, unanswered, history.Check(calls, time.Duration(s.bounds.HistoryS)*time.Second))
	report.TimerDelay, report.SyncTime, report.CalmTime = s.machine.totals()
	if len(report.Violations) > 0 {
		return report, s.save(report)
	}
	return report, nil
}

// startClients starts the clients and the operators.
func (s *system) startClients(clients *sync.WaitGroup) {
	stream := uint64(0)
	start := func(kind string, count int, run func(c *caller)) {
		for i := range count {
			stream++
			c := s.newCaller(fmt.Sprintf("%s-%d", kind, i), stream)
			clients.Go(func() { run(c) })
		}
	}
	start("contender", contenderCount, func(c *caller) { c.contendForLocks(locks) })
	start("counter", counterCount, func(c *caller) { c.drawNumbers(numbers) })
	start("editor", editorCount, func(c *caller) { c.editKeys(keys) })
	start("operator", operatorCount, func(c *caller) { c.changeConfigurations() })
}

// watcher is a client that watches a group, and what it may resume from in the end.
type watcher struct {
	name, group string
	revisions   []savedRevision
}

// startWatchers starts a watcher for each group.
func (s *system) startWatchers(clients *sync.WaitGroup) []*watcher {
	var watchers []*watcher
	for i, group := range groups {
		w := &watcher{name: "watcher-" + group, group: group}
		watchers = append(watchers, w)
		c := s.newCaller(w.name, watcherStream+uint64(i))
		clients.Go(func() { w.revisions = c.watchGroup(group, time.Duration(s.bounds.HistoryS-1)*time.Second) })
	}
	return watchers
}

// longestPause returns the longest time between two puts that succeeded, and when it ended.
func longestPause(calls []history.Call) (longest, end time.Duration) {
	var last time.Duration
	for _, call := range calls {
		if call.Operation != history.Put || call.Status != http.StatusOK {
			continue
		}
		if pause := call.Received - last; last > 0 && pause > longest {
			longest, end = pause, call.Received
		}
		last = call.Received
	}
	return longest, end
}

// recovery returns the time from the return of all processes to the latest of their first answers to reads of keys.
func recovery(calls []history.Call, back time.Duration) time.Duration {
	first := map[string]time.Duration{}
	for _, call := range calls {
		answered := call.Operation == history.Read && (call.Status == http.StatusOK || call.Status == http.StatusNotFound)
		if answered && call.Sent >= back && first[call.Address] == 0 {
			first[call.Address] = call.Received - back
		}
	}
	return lo.Max(lo.Values(first))
}

// firstError returns the first error that is not nil.
func firstError(all ...error) error {
	err, _ := lo.Find(all, func(err error) bool { return err != nil })
	return err
}

// save writes the history and the faults of a run.
func (s *system) save(report *Report) error {
	file, err := os.Create(filepath.Join(s.Directory, "history.jsonl"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := history.Write(file, report.Calls); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.Directory, "faults.txt"), []byte(strings.Join(report.Faults, "\n")+"\n"), 0o600)
}

// close ends all processes.
func (s *system) close() {
	close(s.probeDone)
	s.probeWorkers.Wait()
	for _, p := range s.processes {
		p.Kill()
	}
}

// Succeeded returns how many calls of an operation were answered with 200.
func (r *Report) Succeeded(operation history.Operation) int {
	return lo.CountBy(r.Calls, func(call history.Call) bool { return call.Operation == operation && call.Status == http.StatusOK })
}

// Summary lists the answers by operation and status.
func (r *Report) Summary() string {
	counts := map[string]int{}
	for _, call := range r.Calls {
		counts[fmt.Sprintf("%s %d", call.Operation, call.Status)]++
	}
	var parts []string
	for _, answer := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", answer, counts[answer]))
	}
	return fmt.Sprintf("%d calls (%s); longest time without a put %v until %.3f s; recovery in the end %v; "+
		"timers up to %v late, syncs up to %v, the machine calm for %v", len(r.Calls), strings.Join(parts, ", "), r.Pause.Round(time.Millisecond),
		r.PauseEnd.Seconds(), r.Recovery.Round(time.Millisecond), r.TimerDelay.Round(time.Millisecond), r.SyncTime.Round(time.Millisecond), r.CalmTime.Round(time.Second))
}
