// Package experiment plays a scenario many times, with values, policies or builds side by side and the same seeds for
// each, and says what differs beyond noise.
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

// mostRuns bounds an experiment.
const mostRuns = 100000

// Experiment is a file.
type Experiment struct {
	Version  int     `toml:"version" doc:"of the format" min:"1" max:"1"`
	Name     string  `toml:"name" doc:"of the experiment"`
	Scenario string  `toml:"scenario" doc:"a file, from this one's folder"`
	Engine   string  `toml:"engine" doc:"sim for the decisions in virtual time, whole for the whole program in it, real for sockets" oneof:"sim whole real"`
	Seeds    int     `toml:"seeds" doc:"how many, the same for all sides" min:"1" max:"10000"`
	First    int     `toml:"first_seed" doc:"the first of them" min:"0" max:"1000000000"`
	Sides    []Side  `toml:"side"`
	Sweeps   []Sweep `toml:"sweep"`

	path   string
	text   []byte
	bubble emulation.Bubble
}

// SetBubble has the engine whole play in bubbles.
func (e *Experiment) SetBubble(b emulation.Bubble) { e.bubble = b }

// Side is one of what is compared. The first is what the others are compared with.
type Side struct {
	Name   string   `toml:"name" doc:"of the side"`
	Policy string   `toml:"policy" doc:"that decides, in virtual time" oneof:"dykering random round-robin two-choice least" omitted:"dykering"`
	Broker string   `toml:"broker" doc:"a program, on sockets, from this file's folder; empty for the one that is built in"`
	Set    []string `toml:"set" doc:"changes to the scenario, as callers.rate = 200"`
}

// Sweep is one of the directions in which values go.
type Sweep struct {
	Name   string   `toml:"name" doc:"of the direction"`
	Keys   []string `toml:"keys" doc:"of the scenario, that change together"`
	Values []string `toml:"values" doc:"for them, between blanks"`
}

// Load reads a file.
func Load(path string) (*Experiment, []validation.Error) {
	data, wrong := tomlconfig.Read(path)
	if len(wrong) > 0 {
		return nil, wrong
	}
	base := func() *Experiment { return &Experiment{Name: "unnamed", Engine: "sim", Seeds: 10, First: 1} }
	e, _, wrong := tomlconfig.Decode(path, data, base, func(string) (string, bool) { return "", false })
	if len(wrong) > 0 {
		return nil, wrong
	}
	e.path, e.text = path, data
	for _, p := range e.points() {
		for _, s := range e.Sides {
			if _, wrong := e.scenario(p, s); len(wrong) > 0 {
				return nil, wrong
			}
		}
	}
	return e, nil
}

// Check names what the keys alone do not tell.
func (e *Experiment) Check() (wrong []validation.Error) {
	fault := func(key, text string, args ...any) {
		wrong = append(wrong, validation.Error{Key: key, Text: fmt.Sprintf(text, args...)})
	}
	if e.Scenario == "" {
		fault("scenario", "which is played")
	}
	if len(e.Sides) == 0 {
		fault("side", "at least one is needed")
	}
	names := map[string]bool{}
	for i, s := range e.Sides {
		key := fmt.Sprintf("side[%d].", i)
		if s.Name == "" || names[s.Name] {
			fault(key+"name", "has to be there, and another for each side")
		}
		names[s.Name] = true
		for _, text := range s.Set {
			if _, err := scenario.ParseChange(text); err != nil {
				fault(key+"set", "%v", err)
			}
		}
	}
	runs := e.Seeds * len(e.Sides)
	for i, s := range e.Sweeps {
		key := fmt.Sprintf("sweep[%d].", i)
		if len(s.Keys) == 0 || len(s.Values) == 0 {
			fault(key+"keys", "keys and values are needed")
		}
		for _, v := range s.Values {
			if got := strings.Fields(v); len(got) != len(s.Keys) {
				fault(key+"values", "%q has %d values for %d keys", v, len(got), len(s.Keys))
			}
		}
		if runs *= max(len(s.Values), 1); runs > mostRuns {
			fault(key+"values", "more than %d runs", mostRuns)
			break
		}
	}
	return wrong
}

// point is one combination of swept values.
type point struct {
	name    string
	changes []scenario.Change
}

func (e *Experiment) points() []point {
	all := []point{{}}
	for _, s := range e.Sweeps {
		var next []point
		for _, p := range all {
			for _, v := range s.Values {
				fields := strings.Fields(v)
				q := point{name: strings.TrimSpace(p.name + " " + s.Name + " " + fields[0]), changes: append([]scenario.Change(nil), p.changes...)}
				for i, key := range s.Keys {
					c, err := scenario.ParseChange(key + " = " + fields[i])
					if err != nil {
						c = scenario.Change{Key: key, Value: fields[i]} // the scenario names what is wrong
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

// beside is a file's path from that of the experiment.
func (e *Experiment) beside(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(e.path), path)
}

// scenario is what a side plays at a point.
func (e *Experiment) scenario(p point, s Side) (*scenario.Scenario, []validation.Error) {
	changes := append([]scenario.Change(nil), p.changes...)
	for _, text := range s.Set {
		c, err := scenario.ParseChange(text)
		if err != nil {
			return nil, []validation.Error{{File: e.path, Text: err.Error()}}
		}
		changes = append(changes, c)
	}
	return scenario.LoadWith(e.beside(e.Scenario), changes)
}

// Run is one run, as it is kept.
type Run struct {
	Point  string        `json:"point"`
	Side   string        `json:"side"`
	Seed   uint64        `json:"seed"`
	Took   float64       `json:"took"` // seconds
	Result *model.Result `json:"result"`
}

func (r Run) key() string { return fmt.Sprintf("%s|%s|%d", r.Point, r.Side, r.Seed) }

// digest is of the experiment, its scenario and the programs that play it: a run that another made is not taken up.
func (e *Experiment) digest(command []string) (string, error) {
	sum := sha256.New()
	sum.Write(e.text)
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	files := []string{e.beside(e.Scenario), self, command[0]}
	for _, s := range e.Sides {
		if s.Broker != "" {
			files = append(files, e.beside(s.Broker))
		}
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return "", err
		}
		_, err = io.Copy(sum, f)
		if err = errors.Join(err, f.Close()); err != nil {
			return "", err
		}
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// Progress is told of each run that is done, of so many.
type Progress func(done, of int)

// Play plays what of an experiment has not been played yet, so many runs at a time, and keeps each run in a folder as
// soon as it is done. A run that is called off goes on there the next time.
func (e *Experiment) Play(ctx context.Context, dir string, command []string, at int, told Progress) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	digest, err := e.digest(command)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, RunsFile)
	h, runs, err := read(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	case h.Digest != digest:
		return nil, fmt.Errorf("%s is of another experiment, scenario or program; remove it to begin anew", path)
	}
	done := map[string]bool{}
	for _, r := range runs {
		done[r.key()] = true
	}
	// What a run that was cut off left behind its last whole line goes.
	kept, err := rewrite(path, head{e.Name, digest}, runs)
	if err != nil {
		return nil, err
	}
	var jobs []job
	for _, p := range e.points() {
		for i := range e.Seeds { // all sides of a seed beside each other
			for _, s := range e.Sides {
				if j := (job{point: p, side: s, seed: uint64(e.First + i)}); !done[j.run().key()] {
					jobs = append(jobs, j)
				}
			}
		}
	}
	all, err := e.playAll(ctx, jobs, command, at, func(r Run, n int) error {
		told(len(runs)+n, len(runs)+len(jobs))
		return keep(kept, r)
	})
	return append(runs, all...), errors.Join(err, kept.Close())
}

type job struct {
	point point
	side  Side
	seed  uint64
}

func (j job) run() Run { return Run{Point: j.point.name, Side: j.side.Name, Seed: j.seed} }

// playAll plays jobs. The first error ends it.
func (e *Experiment) playAll(ctx context.Context, jobs []job, command []string, at int, done func(Run, int) error) (all []Run, err error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	next := make(chan job)
	var mu sync.Mutex
	var players sync.WaitGroup
	for range max(min(at, len(jobs)), 1) {
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

// mostTold is how many violations of a run are kept.
const mostTold = 3

func (e *Experiment) play(ctx context.Context, j job, command []string) (r Run, err error) {
	if ctx.Err() != nil {
		return r, ctx.Err()
	}
	s, wrong := e.scenario(j.point, j.side)
	if err := validation.Join(wrong); err != nil {
		return r, err
	}
	began := time.Now()
	r = j.run()
	switch e.Engine {
	case "sim":
		r.Result, err = sim.Run(ctx, s, j.seed, sim.Policies[j.side.Policy])
	case "whole":
		if e.bubble == nil {
			return r, errors.New("the engine whole needs bubbles")
		}
		var dir string
		if dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
			return r, err
		}
		r.Result, err = emulation.Play(ctx, e.bubble, s, j.seed, emulation.Options{Dir: dir})
		err = errors.Join(err, os.RemoveAll(dir))
	default:
		if j.side.Broker != "" {
			command = []string{e.beside(j.side.Broker), "run"}
		}
		var dir string
		if dir, err = os.MkdirTemp("", "dykering-lab-"); err != nil {
			return r, err
		}
		if r.Result, err = real.Play(ctx, s, j.seed, real.Options{Command: command, Dir: dir}); err == nil {
			err = os.RemoveAll(dir)
		} else {
			err = fmt.Errorf("%w\nlogs are under %s", err, dir)
		}
	}
	if err != nil {
		return r, err
	}
	r.Took = time.Since(began).Seconds()
	r.Result.Violations = r.Result.Violations[:min(len(r.Result.Violations), mostTold)]
	return r, nil
}
