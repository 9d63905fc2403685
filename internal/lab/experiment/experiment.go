// Package experiment plays a scenario many times and compares the sides of an experiment, which differ in
// settings, policy or build. All sides play the same seeds, so that their results are compared in pairs. A
// summary tells significant differences from noise.
//
// Finished runs are appended to a file at once, and an interrupted experiment continues from it. The TOML
// keys of an experiment and the JSON keys of a run cannot change. The commands "run" and "compare" of
// dykering-lab use the package.
package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dykering/internal/lab/emulation"
	"dykering/internal/lab/model"
	"dykering/internal/lab/real"
	"dykering/internal/lab/scenario"
	"dykering/internal/lab/sim"
	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

// maxRuns is the largest number of runs of an experiment.
const maxRuns = 100000

// Experiment is the content of an experiment file.
type Experiment struct {
	Version   int     `toml:"version" doc:"version of the file format" min:"1" max:"1"`
	Name      string  `toml:"name" doc:"name of the experiment"`
	Scenario  string  `toml:"scenario" doc:"path of the scenario, relative to the folder of this file"`
	Engine    string  `toml:"engine" doc:"sim: the decisions in virtual time; whole: the complete program in virtual time; real: real sockets" oneof:"sim whole real"`
	Seeds     int     `toml:"seeds" doc:"number of seeds, the same for all sides" min:"1" max:"10000"`
	FirstSeed int     `toml:"first_seed" doc:"the first seed" min:"0" max:"1000000000"`
	Sides     []Side  `toml:"side"`
	Sweeps    []Sweep `toml:"sweep"`

	path   string
	text   []byte
	bubble emulation.Bubble
}

// SetBubble sets the bubble in which the engine "whole" plays. That engine cannot play without it.
func (e *Experiment) SetBubble(b emulation.Bubble) { e.bubble = b }

// Side is one of the variants that are compared. The others are compared with the first.
type Side struct {
	Name   string   `toml:"name" doc:"name of the side"`
	Policy string   `toml:"policy" doc:"policy that decides, with the engine sim" oneof:"dykering random round-robin two-choice least" omitted:"dykering"`
	Broker string   `toml:"broker" doc:"path of the broker program, with the engine real, relative to the folder of this file; empty for this build"`
	Set    []string `toml:"set" doc:"changes to the scenario, such as callers.rate = 200"`
}

// Sweep varies settings of the scenario over a list of values. Several sweeps are combined.
type Sweep struct {
	Name   string   `toml:"name" doc:"name of the sweep"`
	Keys   []string `toml:"keys" doc:"keys of the scenario that change together"`
	Values []string `toml:"values" doc:"one entry for each point: the values of the keys, separated by blanks"`
}

// Load reads an experiment file and checks the scenarios of all of its points and sides.
func Load(path string) (*Experiment, []validation.Error) {
	data, problems := tomlconfig.Read(path)
	if len(problems) > 0 {
		return nil, problems
	}
	base := func() *Experiment { return &Experiment{Name: "unnamed", Engine: "sim", Seeds: 10, FirstSeed: 1} }
	e, _, problems := tomlconfig.Decode(path, data, base, func(string) (string, bool) { return "", false })
	if len(problems) > 0 {
		return nil, problems
	}
	e.path, e.text = path, data
	for _, p := range e.points() {
		for _, s := range e.Sides {
			if _, problems := e.loadScenario(p, s); len(problems) > 0 {
				return nil, problems
			}
		}
	}
	return e, nil
}

// Check returns the errors that concern several keys. The decoder checks the bounds of single keys.
func (e *Experiment) Check() (problems []validation.Error) {
	report := func(key, text string, args ...any) {
		problems = append(problems, validation.Error{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	if e.Scenario == "" {
		report("scenario", "an experiment needs the path of a scenario")
	}
	if len(e.Sides) == 0 {
		report("side", "an experiment needs at least one side")
	}
	names := map[string]bool{}
	for i, s := range e.Sides {
		key := fmt.Sprintf("side[%d].", i)
		if s.Name == "" || names[s.Name] {
			report(key+"name", "each side needs a name of its own, not %q", s.Name)
		}
		names[s.Name] = true
		for _, text := range s.Set {
			if _, err := scenario.ParseChange(text); err != nil {
				report(key+"set", "%v", err)
			}
		}
	}
	runs := e.Seeds * len(e.Sides)
	for i, s := range e.Sweeps {
		key := fmt.Sprintf("sweep[%d].", i)
		if len(s.Keys) == 0 || len(s.Values) == 0 {
			report(key+"keys", "a sweep needs keys and values")
		}
		for _, v := range s.Values {
			if fields := strings.Fields(v); len(fields) != len(s.Keys) {
				report(key+"values", "%q has %d values for %d keys", v, len(fields), len(s.Keys))
			}
		}
		if runs *= max(len(s.Values), 1); runs > maxRuns {
			report(key+"values", "the experiment has more than %d runs", maxRuns)
			break
		}
	}
	return problems
}

// point is one combination of the values of all sweeps.
type point struct {
	name    string
	changes []scenario.Change
}

// points returns all combinations, or a single empty point without sweeps.
func (e *Experiment) points() []point {
	all := []point{{}}
	for _, s := range e.Sweeps {
		var next []point
		for _, p := range all {
			for _, v := range s.Values {
				fields := strings.Fields(v)
				q := point{
					name:    strings.TrimSpace(p.name + " " + s.Name + " " + fields[0]),
					changes: append([]scenario.Change(nil), p.changes...),
				}
				for i, key := range s.Keys {
					c, err := scenario.ParseChange(key + " = " + fields[i])
					if err != nil {
						c = scenario.Change{Key: key, Value: fields[i]} // loading the scenario reports the error
					}
					q.changes = append(q.changes, c)
				}
				next = append(next, q)
			}
		}
		all = next
	}
	return all
}

// resolvePath resolves a path relative to the folder of the experiment file.
func (e *Experiment) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(e.path), path)
}

// loadScenario loads the scenario with the changes of a point and a side.
func (e *Experiment) loadScenario(p point, s Side) (*scenario.Scenario, []validation.Error) {
	changes := append([]scenario.Change(nil), p.changes...)
	for _, text := range s.Set {
		c, err := scenario.ParseChange(text)
		if err != nil {
			return nil, []validation.Error{{File: e.path, Text: err.Error()}}
		}
		changes = append(changes, c)
	}
	return scenario.LoadWith(e.resolvePath(e.Scenario), changes)
}

// Run is the record of one run in the file of runs.
type Run struct {
	Point  string        `json:"point"`
	Side   string        `json:"side"`
	Seed   uint64        `json:"seed"`
	Took   float64       `json:"took"` // seconds
	Result *model.Result `json:"result"`
}

func (r Run) key() string { return fmt.Sprintf("%s|%s|%d", r.Point, r.Side, r.Seed) }

// digest returns a digest of the experiment, its scenario and the programs that play it. Runs with another
// digest are not comparable and are not continued.
func (e *Experiment) digest(command []string) (string, error) {
	hash := sha256.New()
	hash.Write(e.text)
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	files := []string{e.resolvePath(e.Scenario), self, command[0]}
	for _, s := range e.Sides {
		if s.Broker != "" {
			files = append(files, e.resolvePath(s.Broker))
		}
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return "", err
		}
		_, err = io.Copy(hash, f)
		if err = errors.Join(err, f.Close()); err != nil {
			return "", err
		}
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}

// Progress is called after each run with the number of finished runs and of all runs.
type Progress func(done, total int)

// Play plays the runs of an experiment that are not recorded in the folder dir yet, up to parallel of them at a
// time, and appends each run to the file of runs when it ends. The next call continues an interrupted
// experiment. It returns all runs.
func (e *Experiment) Play(ctx context.Context, dir string, command []string, parallel int, onProgress Progress) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	digest, err := e.digest(command)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, RunsFile)
	header, runs, err := readRunsFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	case header.Digest != digest:
		return nil, fmt.Errorf("%s was recorded with another experiment, scenario or program; remove it to start again", path)
	}
	done := map[string]bool{}
	for _, r := range runs {
		done[r.key()] = true
	}
	// This drops an incomplete line that an interrupted run has left at the end.
	file, err := rewriteRunsFile(path, runsHeader{e.Name, digest}, runs)
	if err != nil {
		return nil, err
	}
	var jobs []job
	for _, p := range e.points() {
		for i := range e.Seeds { // the sides of a seed are played one after the other
			for _, s := range e.Sides {
				if j := (job{point: p, side: s, seed: uint64(e.FirstSeed + i)}); !done[j.run().key()] {
					jobs = append(jobs, j)
				}
			}
		}
	}
	all, err := e.playAll(ctx, jobs, command, parallel, func(r Run, n int) error {
		onProgress(len(runs)+n, len(runs)+len(jobs))
		return appendRun(file, r)
	})
	return append(runs, all...), errors.Join(err, file.Close())
}

// job is a run that is to be played.
type job struct {
	point point
	side  Side
	seed  uint64
}

func (j job) run() Run { return Run{Point: j.point.name, Side: j.side.Name, Seed: j.seed} }

// playAll plays jobs, up to parallel of them at a time, and calls done after each with the number of finished
// jobs. The first error cancels the others.
func (e *Experiment) playAll(
	ctx context.Context, jobs []job, command []string, parallel int, done func(Run, int) error,
) (all []Run, err error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	next := make(chan job)
	var mu sync.Mutex
	var players sync.WaitGroup
	for range max(min(parallel, len(jobs)), 1) {
		players.Go(func() {
			for j := range next {
				r, err := e.play(ctx, j, command)
				mu.Lock()
				if err == nil {
					all = append(all, r)
					err = done(r, len(all))
				}
				mu.Unlock()
				if err != nil {
					stop(fmt.Errorf("%s, side %s, seed %d: %w", j.point.name, j.side.Name, j.seed, err))
				}
			}
		})
	}
	for _, j := range jobs {
		select {
		case next <- j:
		case <-ctx.Done():
		}
	}
	close(next)
	players.Wait()
	if ctx.Err() != nil {
		return all, context.Cause(ctx)
	}
	return all, nil
}

// maxRecordedViolations is the number of violations of a run that are recorded.
const maxRecordedViolations = 3

// play plays one job with the engine of the experiment.
func (e *Experiment) play(ctx context.Context, j job, command []string) (r Run, err error) {
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	s, problems := e.loadScenario(j.point, j.side)
	if err := validation.Join(problems); err != nil {
		return r, err
	}
	began := time.Now()
	r = j.run()
	switch e.Engine {
	case "sim":
		r.Result, err = sim.Run(ctx, s, j.seed, sim.Policies[j.side.Policy])
	case "whole":
		if e.bubble == nil {
			return r, errors.New("the engine whole cannot play without a bubble (see SetBubble)")
		}
		var dir string
		if dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
			return r, err
		}
		r.Result, err = emulation.Play(ctx, e.bubble, s, j.seed, emulation.Options{Dir: dir})
		err = errors.Join(err, os.RemoveAll(dir))
	default:
		if j.side.Broker != "" {
			command = []string{e.resolvePath(j.side.Broker), "run"}
		}
		var dir string
		if dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
			return r, err
		}
		if r.Result, err = real.Play(ctx, s, j.seed, real.Options{Command: command, Dir: dir}); err == nil {
			err = os.RemoveAll(dir)
		} else {
			err = fmt.Errorf("%w\nthe logs are in %s", err, dir)
		}
	}
	if err != nil {
		return r, err
	}
	r.Took = time.Since(began).Seconds()
	r.Result.Violations = r.Result.Violations[:min(len(r.Result.Violations), maxRecordedViolations)]
	return r, nil
}
