package requestsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"dykering/internal/lab/controlclient"
	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/pause"
)

// The random streams. The faults of processes use the lowest ones.
const (
	clientStream   = 1 << 20
	endpointStream = 2 << 20
	slotStream     = 3 << 30
	operatorStream = 4 << 30
	controlLane    = 5 << 30
)

const (
	controlCount = 3
	// endpointsPerService is the number of endpoints of each service.
	endpointsPerService = 3
	// startTimeout bounds the time until the first configuration is acknowledged and every proxy is ready.
	startTimeout     = 20 * time.Second
	exitPollInterval = 10 * time.Millisecond
	// retrySlack is the number of retries that all proxies may make in a window beyond the ratio.
	retrySlack = 60
)

// Scenario describes a soak test of requests.
type Scenario struct {
	Program localprocess.Program
	Seed    uint64
	For     time.Duration
	// Proxies is the number of proxies, and Clients that of the clients, which send requests one after another.
	Proxies, Clients int
	// Directory holds the settings, data and logs of the processes, and the trace if the run violated a rule.
	Directory string
}

// Report holds the violations and the measurements of a run.
type Report struct {
	Violations []Violation
	History    *History
	Changes    int // acknowledged changes of the configuration
}

// system holds the parts of a run.
type system struct {
	Scenario
	bounds      localprocess.Bounds
	controls    []*localprocess.Process
	proxies     []*localprocess.Process
	control     *controlclient.Client
	platform    *platform
	recorder    *recorder
	slots       []*endpointSlot
	operator    *operator
	cancelled   <-chan struct{} // closed when the caller cancels the run
	faultsDone  chan struct{}   // closed when no further faults start
	clientsDone chan struct{}   // closed when the clients must stop
}

// Run plays the scenario. It returns an error if the scenario could not be completed. Violations are in the report.
func (s Scenario) Run(ctx context.Context) (*Report, error) {
	r, err := s.prepare(ctx)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if err := r.play(); err != nil {
		return nil, errors.Wrap(err, "the soak scenario did not run to its end")
	}
	return r.report()
}

// prepare creates the parts of a run. It starts nothing.
func (s Scenario) prepare(ctx context.Context) (*system, error) {
	bounds := localprocess.ShortBounds()
	bounds.RetryBudgetSlack = retrySlack
	processes, err := localprocess.New(ctx, localprocess.Layout{
		Directory: s.Directory, Controls: controlCount, Proxies: s.Proxies, MachineFailures: 1, Bounds: bounds,
	})
	if err != nil {
		return nil, err
	}
	r := &system{
		Scenario: s, bounds: bounds, controls: processes[:controlCount], proxies: processes[controlCount:], recorder: newRecorder(),
		cancelled: ctx.Done(), faultsDone: make(chan struct{}), clientsDone: make(chan struct{}),
	}
	var addresses []string
	for _, p := range r.controls {
		addresses = append(addresses, p.Public)
	}
	r.control, r.platform = controlclient.New(addresses), newPlatform(r.proxies)
	r.operator = &operator{control: controlclient.New(addresses), dice: newDice(s.Seed, operatorStream)}
	for i := range endpointsPerService * len(serviceNames) {
		r.slots = append(r.slots, &endpointSlot{
			index: i, service: serviceNames[i%len(serviceNames)], system: r, dice: newDice(s.Seed, slotStream+uint64(i)),
		})
	}
	return r, nil
}

func (s *system) grace() time.Duration { return time.Duration(s.bounds.GracePeriodS) * time.Second }

func (s *system) drainTimeout() time.Duration {
	return time.Duration(s.bounds.DrainTimeoutMs) * time.Millisecond
}

// start starts a process.
func (s *system) start(p *localprocess.Process) error {
	s.recorder.addProcessEvent(p.Name, processStarted)
	return p.Start(s.Program)
}

// startAll starts the processes and endpoints, sends the first configuration, and waits until the proxies are ready.
func (s *system) startAll() error {
	for _, p := range append(append([]*localprocess.Process{}, s.controls...), s.proxies...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	for _, slot := range s.slots {
		if err := slot.replace(""); err != nil {
			return err
		}
	}
	timeout := make(chan struct{})
	timer := time.AfterFunc(startTimeout, func() { close(timeout) })
	defer timer.Stop()
	if !s.operator.change(timeout) {
		return errors.New("the first configuration was not acknowledged")
	}
	for _, p := range s.proxies {
		for !s.platform.isReady(p) {
			if !pause.For(timeout, resendPause) {
				return errors.Errorf("%s is not ready after %v", p.Name, startTimeout)
			}
		}
	}
	return nil
}

// play runs the clients, the operator and the faults, and ends them in this order: faults, clients.
func (s *system) play() error {
	var clients, faults sync.WaitGroup
	for i := range s.Clients {
		clients.Go(newClient(s, i).run)
	}
	for _, p := range s.proxies {
		clients.Go(func() { s.platform.checkReadiness(p, s.clientsDone) })
	}
	onProxies := &processFaults{system: s, processes: s.proxies, busy: map[*localprocess.Process]bool{}}
	onControls := &processFaults{system: s, processes: s.controls, busy: map[*localprocess.Process]bool{}}
	for lane := range (s.Proxies + proxiesPerLane - 1) / proxiesPerLane {
		faults.Go(func() { onProxies.run(newDice(s.Seed, uint64(lane)), 0) })
	}
	faults.Go(func() { onControls.run(newDice(s.Seed, controlLane), time.Duration(s.bounds.CatchUpS)*time.Second) })
	faults.Go(func() { s.operator.run(s.faultsDone) })
	slotErrors := make([]error, len(s.slots))
	for i, slot := range s.slots {
		faults.Go(func() { slotErrors[i] = slot.run() })
	}
	pause.For(s.cancelled, s.For)
	close(s.faultsDone)
	faults.Wait()
	close(s.clientsDone)
	clients.Wait()
	return firstError(append(slotErrors, onProxies.err, onControls.err)...)
}

// firstError returns the first error that is not nil.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// report ends the endpoints and checks the history.
func (s *system) report() (*Report, error) {
	s.endEndpoints()
	report := &Report{History: s.recorder.result(), Changes: s.operator.changes}
	report.Violations = Check(report.History, s.grace())
	if len(report.Violations) == 0 {
		return report, nil
	}
	var text strings.Builder
	for _, v := range report.Violations {
		fmt.Fprintln(&text, v)
	}
	return report, os.WriteFile(filepath.Join(s.Directory, "violations.txt"), []byte(text.String()), 0o600)
}

func (s *system) endEndpoints() {
	for _, slot := range s.slots {
		if slot.current != nil {
			slot.current.crash()
			slot.current = nil
		}
	}
}

// close kills all processes.
func (s *system) close() {
	for _, p := range append(append([]*localprocess.Process{}, s.controls...), s.proxies...) {
		p.Kill()
	}
	s.endEndpoints()
}

// Summary returns a line with the number of tries by kind and end, and with what endpoints did.
func (r *Report) Summary() string {
	statuses, ends, rejections, surplus := map[int]int{}, map[ConnectionEnd]int{}, 0, 0
	for _, try := range r.History.Tries {
		if try.End == NotEnded {
			statuses[try.Status]++
			continue
		}
		ends[try.End]++
	}
	for _, e := range r.History.Events {
		switch {
		case strings.Contains(e.What, "once more"):
			surplus++
		case strings.HasSuffix(e.What, "503"), strings.HasSuffix(e.What, "421"):
			rejections++
		}
	}
	return fmt.Sprintf("%d tries (statuses %v, ends %v), %d runs, %d rejections and %d surplus responses of endpoints, "+
		"%d changes of the configuration, %d signals and starts", len(r.History.Tries), statuses, ends, len(r.History.Runs), rejections, surplus,
		r.Changes, len(r.History.Processes))
}

// CountByRule counts the violations of each rule.
func (r *Report) CountByRule() map[string]int {
	return lo.CountValuesBy(r.Violations, func(v Violation) string { return v.Rule })
}
