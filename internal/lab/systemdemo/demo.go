package systemdemo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/localsystem"
)

const (
	// Timeout bounds the whole demo except the termination of its processes.
	Timeout = 55 * time.Second
	// servingTime is the time in which clients send requests before the first event.
	servingTime = 3 * time.Second
	lockHold    = 3 * time.Second
	viewTimeout = 15 * time.Second
)

// Demo describes a demonstration of the system.
type Demo struct {
	// Program is started as each process of the system.
	Program localprocess.Program
	// Directory holds the settings, data and logs of the processes.
	Directory string
	// Out receives one line for each step.
	Out io.Writer
}

// Report summarizes a run of the demo.
type Report struct {
	Served       int  // number of requests answered with 200
	Changes      int  // number of acknowledged configuration changes
	Coordination bool // true if the control processes serve coordination and it was demonstrated
}

// demoRun is one run of a demo.
type demoRun struct {
	*localsystem.System
	Demo
	report            Report
	killed            *localprocess.Process
	answersBeforeLoss map[int]int // number of answers by status before the head was killed

	mu    sync.Mutex // guards Out
	began time.Time
}

// Run plays the demo. It returns an error if a guarantee was violated or a step timed out.
func (d Demo) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	system, err := localsystem.New(ctx, d.Directory)
	if err != nil {
		return Report{}, err
	}
	defer system.Close()
	s := &demoRun{System: system, Demo: d, began: time.Now()}
	coordinate := func() error { return s.runCoordination(ctx) }
	for _, step := range []func() error{s.start, s.serve, s.loadModel, coordinate, s.loseHead, s.restart, s.finish} {
		if err := step(); err != nil {
			return s.report, err
		}
	}
	return s.report, nil
}

// logStep prints a step with the time since the start.
func (s *demoRun) logStep(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.Out, "%5.1f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// start starts the system and its load, and waits until the system is ready.
func (s *demoRun) start() error {
	s.logStep("%d control processes and %d proxies start, on loopback addresses from %s", len(s.Control), len(s.Proxies), s.Control[0].IP)
	if err := s.Start(s.Program); err != nil {
		return err
	}
	took, err := s.AwaitReady()
	if err != nil {
		return err
	}
	s.logStep("the system is ready after %v, with the operator's first configuration", took)
	s.StartLoad()
	return s.logView()
}

func (s *demoRun) logView() error {
	view, replicas, err := s.View()
	if err != nil {
		return err
	}
	s.logStep("view %d, chain %s", view.Number, names(replicas))
	return nil
}

func names(processes []*localprocess.Process) string {
	var list []string
	for _, p := range processes {
		list = append(list, p.Name)
	}
	return strings.Join(list, " > ")
}

// serve lets the clients send requests for servingTime.
func (s *demoRun) serve() error {
	before := s.Clients.Answers()
	if !s.Pause(servingTime) {
		return errors.New("the demo was interrupted")
	}
	s.logAnswers("in "+servingTime.String(), before)
	return nil
}

// logAnswers prints the number of answers by status since an earlier count.
func (s *demoRun) logAnswers(when string, before map[int]int) {
	now := s.Clients.Answers()
	text := fmt.Sprintf("%d served", now[http.StatusOK]-before[http.StatusOK])
	for _, status := range slices.Sorted(maps.Keys(now)) {
		if count := now[status] - before[status]; status != http.StatusOK && count > 0 {
			text += fmt.Sprintf(", %d answered with %d", count, status)
		}
	}
	s.logStep("requests %s: %s", when, text)
}

// loadModel requests a model that no endpoint has loaded, and waits until it is served.
func (s *demoRun) loadModel() error {
	model := localsystem.ModelName(1)
	before := s.Clients.Answers()
	s.logStep("a client asks for %s, which no endpoint has", model)
	answer, took, err := s.AwaitLoad(model)
	if err != nil {
		return err
	}
	s.logStep("it was loaded, and the request is served after %v: %q", took, answer.Body)
	s.logAnswers("meanwhile", before)
	return nil
}

// runCoordination demonstrates a lock, a number and a watch while the head of the chain is killed.
func (s *demoRun) runCoordination(ctx context.Context) error {
	s.answersBeforeLoss = s.Clients.Answers()
	part := &coordination{
		coordinator: NewHTTPCoordinator(s.controlAddresses()), hold: lockHold, logStep: s.logStep, killHead: s.killHead,
	}
	err := part.play(ctx)
	if errors.Is(err, ErrNotServed) && s.killed == nil {
		s.logStep("coordination is not served by these control processes")
		return nil
	}
	s.report.Coordination = err == nil
	return err
}

// loseHead kills the head of the chain if that has not happened yet, and waits for a chain without it.
func (s *demoRun) loseHead() error {
	if s.killed == nil {
		if err := s.killHead(); err != nil {
			return err
		}
	}
	if err := s.awaitViewWithout(s.killed); err != nil {
		return err
	}
	s.logAnswers("meanwhile", s.answersBeforeLoss)
	return nil
}

func (s *demoRun) controlAddresses() (addresses []string) {
	for _, p := range s.Control {
		addresses = append(addresses, p.Public)
	}
	return addresses
}

// killHead kills the process that is currently the head of the chain.
func (s *demoRun) killHead() error {
	_, replicas, err := s.View()
	if err != nil {
		return err
	}
	if len(replicas) == 0 {
		return errors.New("cannot kill the head of the chain: the view lists no known replica")
	}
	s.killed = replicas[0]
	s.logStep("the head of the chain, %s, is killed (process %d)", s.killed.Name, s.killed.PID())
	s.killed.Kill()
	return nil
}

// awaitViewWithout waits for a view whose chain does not contain the killed process.
func (s *demoRun) awaitViewWithout(killed *localprocess.Process) error {
	for began := time.Now(); time.Since(began) < viewTimeout; {
		view, replicas, err := s.View()
		if err == nil && len(replicas) > 0 && !slices.Contains(replicas, killed) {
			s.logStep("view %d, chain %s", view.Number, names(replicas))
			return nil
		}
		if !s.Pause(callPause) {
			return errors.New("the demo was interrupted")
		}
	}
	return errors.Errorf("no view without %s within %v", killed.Name, viewTimeout)
}

// restart restarts the killed process and waits until it is a replica again.
func (s *demoRun) restart() error {
	if err := s.killed.Start(s.Program); err != nil {
		return err
	}
	took, err := s.AwaitReady()
	if err != nil {
		return err
	}
	s.logStep("%s is restarted, and is a replica again after %v", s.killed.Name, took)
	return s.logView()
}

// finish ends the load, prints the totals and returns the violations as an error.
func (s *demoRun) finish() error {
	if err := s.EndLoad(); err != nil {
		return err
	}
	s.report.Served, s.report.Changes = s.Clients.Answers()[http.StatusOK], s.Operator.Changes()
	s.logAnswers("in all", nil)
	s.logStep("%d changes of the configuration were acknowledged, and the last one is read back", s.report.Changes)
	if violations := s.Violations(); len(violations) > 0 {
		return errors.New(strings.Join(violations, "; "))
	}
	return nil
}
