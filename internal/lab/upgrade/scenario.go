package upgrade

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"dykering/internal/lab/localprocess"
	"dykering/internal/lab/localsystem"
)

// Scenario is a rolling upgrade from one program to another and back.
type Scenario struct {
	From, To localprocess.Program
	// Short replaces a single control process and reverts it. Otherwise all processes are replaced.
	Short bool
	// Directory holds the settings, data and logs of the processes.
	Directory string
	// Progress receives one line for each step.
	Progress io.Writer
}

// Report summarizes a run.
type Report struct {
	Changes int         // number of acknowledged configuration changes
	Drains  int         // number of acknowledged drains
	Loads   int         // number of models that were loaded on demand
	Answers map[int]int // number of answers by status; 0 counts requests without an answer
}

// run is one run of a scenario.
type run struct {
	Scenario
	*localsystem.System
	report          Report
	modelsRequested int // number of models requested so far, including the initial one
}

// Run plays the scenario. It returns an error if a guarantee was violated or the system did not become ready in time.
func (s Scenario) Run(ctx context.Context) (Report, error) {
	system, err := localsystem.New(ctx, s.Directory)
	if err != nil {
		return Report{}, err
	}
	defer system.Close()
	r := &run{Scenario: s, System: system, modelsRequested: 1}
	if err := r.play(); err != nil { //nolint:contextcheck // AskStatus bounds each of its steps itself
		return r.report, err
	}
	return r.finish()
}

// play starts the system and replaces its processes.
func (r *run) play() error {
	if err := r.begin(); err != nil {
		return err
	}
	if r.Short {
		if err := r.replace(r.Control[0], r.To); err != nil {
			return err
		}
		return r.replace(r.Control[0], r.From)
	}
	processes := slices.Concat(r.Control, r.Proxies)
	for _, program := range []localprocess.Program{r.To, r.From} {
		for i, p := range processes {
			if err := r.replace(p, program); err != nil {
				return err
			}
			if i == 1 { // the control processes now run both programs
				if err := r.killAndRestart(processes[0], program); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// begin starts the system and its load.
func (r *run) begin() error {
	if err := r.Start(r.From); err != nil {
		return err
	}
	if err := r.awaitReady("start"); err != nil {
		return err
	}
	r.StartLoad()
	return nil
}

// replace stops a process and restarts it with a program. Meanwhile a new endpoint starts and drains, after which it must receive no
// requests. Afterwards a client requests a model that is not loaded.
func (r *run) replace(p *localprocess.Process, program localprocess.Program) error {
	id := fmt.Sprintf("d-%d", len(r.Endpoints))
	draining, err := r.AddEndpoint(id, localsystem.ModelName(0))
	if err != nil {
		return err
	}
	p.Stop()
	if r.Drain(draining) {
		r.report.Drains++
	}
	if err := p.Start(program); err != nil {
		return err
	}
	if err := r.awaitReady(p.Name + " replaced"); err != nil {
		return err
	}
	return r.awaitLoad()
}

// killAndRestart kills a process and restarts it with the given program.
func (r *run) killAndRestart(p *localprocess.Process, program localprocess.Program) error {
	p.Kill()
	if err := p.Start(program); err != nil {
		return err
	}
	return r.awaitReady(p.Name + " killed")
}

// awaitReady waits until the system is ready and prints the time that this took.
func (r *run) awaitReady(step string) error {
	took, err := r.AwaitReady()
	if err != nil {
		return errors.Wrap(err, step)
	}
	fmt.Fprintf(r.Progress, "%s: ready after %v\n", step, took)
	return nil
}

// awaitLoad requests the next model until it is loaded and served.
func (r *run) awaitLoad() error {
	model := localsystem.ModelName(r.modelsRequested % localsystem.ModelCount)
	r.modelsRequested++
	if _, _, err := r.AwaitLoad(model); err != nil {
		return err
	}
	r.report.Loads++
	return nil
}

// finish ends the load and returns the report, with the violations as an error.
func (r *run) finish() (Report, error) {
	if err := r.EndLoad(); err != nil {
		return r.report, err
	}
	r.report.Changes, r.report.Answers = r.Operator.Changes(), r.Clients.Answers()
	if violations := r.Violations(); len(violations) > 0 {
		return r.report, errors.New(strings.Join(violations, "; "))
	}
	return r.report, nil
}

// TemporaryDirectory creates a directory for a scenario.
func TemporaryDirectory() (string, error) { return os.MkdirTemp("", "dykering-upgrade-") }
