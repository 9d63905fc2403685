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
	// Short replaces one control process, and it alone comes back.
	Short bool
	// Directory has settings, data and logs of the processes.
	Directory string
	// Progress is where steps are told.
	Progress io.Writer
}

// Report is what came of a run.
type Report struct {
	Changes int         // acknowledged
	Drains  int         // acknowledged
	Loads   int         // models that were loaded as they were asked for
	Answers map[int]int // to requests, by status; 0 for none
}

// run is one run of a scenario.
type run struct {
	Scenario
	*localsystem.System
	report          Report
	modelsRequested int // asked for so far
}

// Run plays the scenario. It returns an error if a promise was broken or the system was not whole again in time.
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
			if i == 1 { // two programs are in the core now
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
	if err := r.awaitWhole("start"); err != nil {
		return err
	}
	r.StartLoad()
	return nil
}

// replace stops a process and starts it with a program. Meanwhile another endpoint comes, drains and is not to be called any
// more, and a model is asked for that is not loaded.
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
	if err := r.awaitWhole(p.Name + " replaced"); err != nil {
		return err
	}
	return r.awaitLoad()
}

// killAndRestart kills a process and starts it again with the same program.
func (r *run) killAndRestart(p *localprocess.Process, program localprocess.Program) error {
	p.Kill()
	if err := p.Start(program); err != nil {
		return err
	}
	return r.awaitWhole(p.Name + " killed")
}

// awaitWhole waits until the system is whole, and tells how long that took.
func (r *run) awaitWhole(step string) error {
	took, err := r.AwaitWhole()
	if err != nil {
		return errors.Wrap(err, step)
	}
	fmt.Fprintf(r.Progress, "%s: whole after %v\n", step, took)
	return nil
}

// awaitLoad asks for a model that is not loaded, until it is.
func (r *run) awaitLoad() error {
	model := localsystem.ModelName(r.modelsRequested % localsystem.ModelCount)
	r.modelsRequested++
	if _, _, err := r.AwaitLoad(model); err != nil {
		return err
	}
	r.report.Loads++
	return nil
}

// finish ends the load and checks what was seen.
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

// TemporaryDirectory makes the directory of a scenario.
func TemporaryDirectory() (string, error) { return os.MkdirTemp("", "dykering-upgrade-") }
