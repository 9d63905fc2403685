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
	"dykering/internal/lab/pause"
)

const (
	contenderCount = 6
	counterCount   = 2
	editorCount    = 4
	operatorCount  = 2
	// watcherStream is the first random stream of the watchers.
	watcherStream = 1 << 16
	// startTimeout bounds the time until the first configuration is acknowledged.
	startTimeout = 10 * time.Second
)

var (
	locks   = []string{"l1", "l2", "l3"}
	numbers = []string{"n1", "n2"}
	groups  = []string{"g1.", "g2."}
	keys    = []string{"g1.a", "g1.b", "g1.c", "g1.d", "g2.a", "g2.b"}
)

// Scenario describes a soak test of control processes.
type Scenario struct {
	Program localprocess.Program
	Seed    uint64
	For     time.Duration
	// Cores is the number of control processes: 3, which tolerate one failure at a time, or 5, which tolerate two.
	Cores int
	// Directory holds the settings, data and logs of the processes, and the history if the run violated a rule.
	Directory string
}

// Report holds the recorded calls and the measurements of a run.
type Report struct {
	Calls []history.Call
	// Faults lists the injected faults, followed by the times at which other work slowed the machine.
	Faults     []string
	Violations []history.Violation
	// Pause is the longest time between two successful puts, and PauseEnd is the time at which it ended.
	Pause, PauseEnd time.Duration
	// Recovery is the time from the restart of all processes after the last fault until each of them has answered a read.
	Recovery time.Duration
	// TimerDelay and SyncTime are the longest delay of a timer and the longest sync of a file that the probe measured.
	TimerDelay, SyncTime time.Duration
	// CalmTime is the total time in which other work did not slow the machine.
	CalmTime time.Duration
}

// system holds the processes and the shared state of a run.
type system struct {
	Scenario
	bounds      localprocess.Bounds
	processes   []*localprocess.Process
	addresses   []string
	recorder    *history.Recorder
	faultsDone  chan struct{}   // closed when no further faults start
	clientsDone chan struct{}   // closed when the clients must stop, after the final restart of all processes
	cancelled   <-chan struct{} // closed when the caller cancels the run
	// acknowledged receives the address of a process that acknowledged a call, while a fault waits for one.
	acknowledged chan string
	machine      probe
	probeDone    chan struct{} // closed to stop the probe
	probeWorkers sync.WaitGroup
}

// Run plays the scenario. It returns an error if the scenario could not be completed. Rule violations are in the report.
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

// startProbe starts the probe of the machine, which runs until probeDone is closed.
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

// awaitStart sends the first configuration until it is acknowledged.
func (s *system) awaitStart() error {
	c := s.newCaller("first", 0)
	for began := time.Now(); time.Since(began) < startTimeout; {
		if c.configure(0, 1, "first").Status == http.StatusOK {
			return nil
		}
		pause.For(s.cancelled, resendPause)
	}
	return errors.Errorf("no control process acknowledged the first configuration within %v", startTimeout)
}

// play runs the clients and the faults, then makes the final calls and checks the history.
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
	pause.For(s.cancelled, s.For)
	close(s.faultsDone)
	lanes.Wait()
	back, calm, err := f.finalBlackout()
	close(s.clientsDone)
	clients.Wait()
	if err := firstError(f.firstErr, err, ctx.Err()); err != nil {
		return nil, errors.Wrap(err, "the soak scenario did not run to its end")
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

// watcher is a client that watches a group. It keeps the revisions that a final watch may resume from.
type watcher struct {
	name, group string
	revisions   []savedRevision
}

// startWatchers starts one watcher for each group. The retention is one second below history_s, so that a saved revision is still
// resumable when the watcher uses it.
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

// longestPause returns the longest time between two successful puts, and the time at which it ended.
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

// recovery returns the time from the restart of all processes until each has answered a read of a key. A 404 is an answer.
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

// firstError returns the first non-nil error.
func firstError(all ...error) error {
	err, _ := lo.Find(all, func(err error) bool { return err != nil })
	return err
}

// save writes the history and the faults of a run to its directory.
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

// close stops the probe and kills all processes.
func (s *system) close() {
	close(s.probeDone)
	s.probeWorkers.Wait()
	for _, p := range s.processes {
		p.Kill()
	}
}

// Succeeded returns the number of calls of an operation that were answered with 200.
func (r *Report) Succeeded(operation history.Operation) int {
	return lo.CountBy(r.Calls, func(call history.Call) bool { return call.Operation == operation && call.Status == http.StatusOK })
}

// Summary returns one line with the number of answers by operation and status and with the measurements of the run.
func (r *Report) Summary() string {
	counts := map[string]int{}
	for _, call := range r.Calls {
		counts[fmt.Sprintf("%s %d", call.Operation, call.Status)]++
	}
	var parts []string
	for _, answer := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", answer, counts[answer]))
	}
	return fmt.Sprintf("%d calls (%s); longest time without a put %v until %.3f s; recovery after the final restart %v; "+
		"timers up to %v late, syncs up to %v, the machine unslowed for %v", len(r.Calls), strings.Join(parts, ", "), r.Pause.Round(time.Millisecond),
		r.PauseEnd.Seconds(), r.Recovery.Round(time.Millisecond), r.TimerDelay.Round(time.Millisecond), r.SyncTime.Round(time.Millisecond), r.CalmTime.Round(time.Second))
}
