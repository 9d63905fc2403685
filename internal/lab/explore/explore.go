// Package explore searches for a broken rule: it draws schedules of faults, plays each with the whole program in virtual
// time (package whole), prefers what reaches pairs of faults and stages that were not reached yet, and shrinks what
// breaks a rule to the least that still does, as a scenario file that replays it.
package explore

import (
	"cmp"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"dykering/internal/lab/emulation"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
	"dykering/internal/tomlconfig"
	"dykering/internal/validation"
)

//go:embed base.toml
var base string

// Fault is one that is put into a schedule.
type Fault struct {
	Name  string
	Make  func(r *rand.Rand) scenario.InjectedFault // but for when
	Lasts time.Duration                             // at the most; it is drawn
}

const (
	mostFaults = 4 // of a schedule
	// earliest and latest are when faults begin.
	earliest, latest = 300 * time.Millisecond, 2200 * time.Millisecond
	lookEvery        = 2 * time.Millisecond
	// after is how long after a fault's time what it did is looked for.
	after = 60 * time.Millisecond
)

func trouble(what string, share, of float64) func(*rand.Rand) scenario.InjectedFault {
	return func(*rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: what, ServerShare: share, InstanceShare: of}
	}
}

func wrongBytes(how string, most int) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: "bytes", ConnectionFault: how, Bytes: r.IntN(most + 1), ServerShare: 0.35}
	}
}

func callers(what string) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		share := 0.1 + 0.3*r.Float64()
		return scenario.InjectedFault{Kind: what, Factor: scenario.Range{From: share, To: share}}
	}
}

func factor(what string, share, from, to float64) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		x := from + (to-from)*r.Float64()
		return scenario.InjectedFault{Kind: what, ServerShare: share, Factor: scenario.Range{From: x, To: x}}
	}
}

// Faults are all that are drawn, by the names of the review's table where it has one.
var Faults = []Fault{
	{"draining", trouble("drain", 0.35, 0), time.Second},
	{"gone", trouble("crash", 0.35, 0), time.Second},
	{"returned", trouble("flap", 0.35, 0), time.Second},
	{"cold", trouble("replace", 0.35, 0), time.Second},
	{"refusing", trouble("crash", 0.7, 0), 400 * time.Millisecond},
	{"silent", trouble("vanish", 0.35, 0), time.Second},
	{"never up", wrongBytes("syn", 0), time.Second},
	{"stalled", wrongBytes("stall", 60), time.Second},
	{"reset", wrongBytes("reset", 60), time.Second},
	{"connections reset", trouble("reset", 0.5, 0), 0},
	{"failing", factor("errors", 0.5, 0.3, 1), time.Second},
	{"full", factor("burst", 0, 4, 10), time.Second},
	{"spoilt", wrongBytes("garbage", 0), time.Second},
	{"cut", wrongBytes("cut", 100), time.Second},
	{"slow", factor("slow", 0.5, 3, 20), time.Second},
	{"paused", trouble("pause", 0.5, 0), 500 * time.Millisecond},
	{"slow bytes", wrongBytes("slow_write", 60), time.Second},
	{"parted", trouble("partition", 0.5, 0.5), time.Second},
	{"caller gone", callers("gone"), time.Second},
	{"caller slow", callers("dribble"), time.Second},
	{"caller malformed", callers("junk"), time.Second},
	{"id used twice", callers("twice"), time.Second},
	{"list late", trouble("discovery", 0, 1), 800 * time.Millisecond},
	{"list older", trouble("stale", 0, 1), 0},
	{"list repeated", trouble("again", 0, 1), 0},
	{"list broken off", trouble("break", 0, 1), 0},
	{"drain", trouble("away", 0, 0.5), time.Second},
	{"SIGTERM", trouble("stop", 0, 0.5), 200 * time.Millisecond},
	{"handover", trouble("handover", 0, 0.5), 0},
	{"SIGHUP", trouble("reload", 0, 1), 0},
	{"killed", trouble("kill", 0, 0.5), 300 * time.Millisecond},
	{"late loop", trouble("stall", 0, 0.5), 500 * time.Millisecond},
}

// Lives are the faults that are a turn in a broker's life: one of them is in most schedules.
var lives = []string{"drain", "SIGTERM", "handover", "SIGHUP", "killed"}

// Stages are those that the table has and that are looked for.
var Stages = []string{"ac", "he", "hd", "co", "wr", "aw", "wa", "dr", "st", "ho", "re", "di"}

// Entry is a fault in a schedule.
type Entry struct {
	Fault string                 `json:"fault"`
	What  scenario.InjectedFault `json:"what"`
}

func (e Entry) at() time.Duration  { return e.What.Start.From }
func (e Entry) end() time.Duration { return e.What.Start.From + e.What.Duration.From }

// Schedule is what is played.
type Schedule struct {
	Seed    uint64  `json:"seed"`
	Entries []Entry `json:"entries"`
	Lasts   tomlconfig.Duration
}

// Pair is a fault and a stage in which something was while it lasted.
type Pair struct{ Fault, Stage string }

// Outcome is what came of a schedule.
type Outcome struct {
	Schedule Schedule
	Broken   map[string]int
	Told     []rules.Violation
	Err      error // the run could not be ended
	Pairs    []Pair
	Asked    int
	Service  float64
}

// Bad tells whether a rule was broken, or the run did not end as one does.
func (o *Outcome) Bad() bool { return len(o.Broken) > 0 || o.Err != nil }

// Name is what was broken, for comparison.
func (o *Outcome) Name() string {
	best := ""
	for rule := range o.Broken {
		if best == "" || rule < best {
			best = rule
		}
	}
	return cmp.Or(best, "error")
}

// Explorer plays schedules.
type Explorer struct {
	Bubble emulation.Bubble
	Dir    string            // for configurations; it is empty between runs
	Wrong  emulation.Options // what is changed of each run, for brokers that are to do what they must not
	Within int               // runs that shrinking takes at the most; 0 for 200
}

// Draw makes a schedule. Wanted, if it names one, is a pair of a fault and a turn in a broker's life that are to meet.
func Draw(r *rand.Rand, wanted *[2]string) Schedule {
	s := Schedule{Seed: r.Uint64N(1 << 40)}
	add := func(name string, at time.Duration) {
		f := Faults[slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })]
		x := f.Make(r)
		lasts := time.Duration(0)
		if f.Lasts > 0 {
			lasts = f.Lasts/4 + time.Duration(r.Int64N(int64(f.Lasts*3/4)))
		}
		if x.Kind == "flap" {
			x.Interval = tomlconfig.Duration(lasts/5 + time.Millisecond)
		}
		at, lasts = at.Round(time.Millisecond), lasts.Round(time.Millisecond)
		x.Start, x.Duration = scenario.DurationRange{From: at, To: at}, scenario.DurationRange{From: lasts, To: lasts}
		s.Entries = append(s.Entries, Entry{name, x})
	}
	when := func() time.Duration { return earliest + time.Duration(r.Int64N(int64(latest-earliest))) }
	meet := when()
	if wanted != nil {
		add(wanted[0], max(meet-time.Duration(r.Int64N(int64(100*time.Millisecond))), earliest))
		add(wanted[1], meet)
	}
	for n := 1 + r.IntN(mostFaults-1); len(s.Entries) < n; {
		f := Faults[r.IntN(len(Faults))].Name
		if r.IntN(3) == 0 {
			f = lives[r.IntN(len(lives))]
		}
		at := when()
		if r.IntN(2) == 0 {
			at = max(meet+time.Duration(r.Int64N(int64(200*time.Millisecond)))-100*time.Millisecond, earliest)
		}
		add(f, at)
	}
	return s
}

// Text is the scenario file of a schedule.
func (s Schedule) Text() string {
	var b strings.Builder
	text := base
	if s.Lasts > 0 {
		text = strings.Replace(text, `lasts = "3s"`, fmt.Sprintf("lasts = %q", time.Duration(s.Lasts)), 1)
	}
	fmt.Fprintf(&b, "# seed %d\n%s", s.Seed, text)
	for _, e := range s.Entries {
		x := e.What
		fmt.Fprintf(&b, "\n[[trouble]] # %s\nwhat = %q\nat = %q\nlasts = %q\nshare = %v\ninstances = %v\n", e.Fault, x.Kind,
			x.Start.From, x.Duration.From, x.ServerShare, x.InstanceShare)
		if x.Kind == "bytes" {
			fmt.Fprintf(&b, "how = %q\nbytes = %d\n", x.ConnectionFault, x.Bytes)
		}
		if x.Factor.To > 0 {
			fmt.Fprintf(&b, "factor = %v\n", x.Factor.From)
		}
		if x.Interval > 0 {
			fmt.Fprintf(&b, "every = %q\n", time.Duration(x.Interval))
		}
	}
	return b.String()
}

// Play plays a schedule.
func (x *Explorer) Play(ctx context.Context, s Schedule) *Outcome {
	o := &Outcome{Schedule: s}
	sc, wrong := scenario.Parse("schedule", []byte(s.Text()))
	if o.Err = validation.Join(wrong); o.Err != nil {
		return o
	}
	dir, err := os.MkdirTemp(x.Dir, "run-")
	if err != nil {
		o.Err = err
		return o
	}
	pairs := map[Pair]bool{}
	var mu sync.Mutex
	options := x.Wrong
	options.Dir, options.ObserveInterval = dir, lookEvery
	options.Observe = func(at time.Duration, stages []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range s.Entries {
			if at < e.at() || at > e.end()+after {
				continue
			}
			for _, stage := range stages {
				pairs[Pair{e.Fault, stage}] = true
			}
		}
	}
	r, err := emulation.Play(ctx, x.Bubble, sc, s.Seed, options)
	o.Err = errors.Join(err, os.RemoveAll(dir))
	if r != nil {
		o.Broken, o.Told, o.Asked, o.Service = r.ViolationCounts, r.Violations, r.Offered, r.Service
	}
	for p := range pairs {
		o.Pairs = append(o.Pairs, p)
	}
	return o
}

// shrinkRuns bounds the runs that shrinking takes, where nothing else does.
const shrinkRuns = 200

// Shrink finds a smaller schedule of the same seed that breaks the same rule: with fewer faults, then shorter faults,
// then a shorter run, which asks less. It returns what came of that.
func (x *Explorer) Shrink(ctx context.Context, o *Outcome) *Outcome {
	best, runs := o, 0
	try := func(s Schedule) bool {
		if runs++; runs > cmp.Or(x.Within, shrinkRuns) || ctx.Err() != nil {
			return false
		}
		if got := x.Play(ctx, s); got.Bad() && got.Name() == o.Name() {
			best = got
			return true
		}
		return false
	}
	without := func(i int) Schedule {
		s := best.Schedule
		s.Entries = slices.Delete(slices.Clone(s.Entries), i, i+1)
		return s
	}
	for i := 0; i < len(best.Schedule.Entries); {
		if !try(without(i)) {
			i++
		}
	}
	for i := range best.Schedule.Entries {
		for range 4 {
			s := best.Schedule
			s.Entries = slices.Clone(s.Entries)
			half := (s.Entries[i].What.Duration.From / 2).Round(time.Millisecond)
			if half == 0 {
				break
			}
			s.Entries[i].What.Duration = scenario.DurationRange{From: half, To: half}
			if !try(s) {
				break
			}
		}
	}
	for _, lasts := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		s := best.Schedule
		s.Lasts = tomlconfig.Duration(lasts)
		if try(s) {
			break
		}
	}
	return best
}
