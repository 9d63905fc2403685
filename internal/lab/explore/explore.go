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
var baseScenario string

// Fault is a kind of fault that schedules are drawn from.
type Fault struct {
	Name string
	// Draw draws the fault without its start and duration.
	Draw func(r *rand.Rand) scenario.InjectedFault
	// The upper limit of its duration, which is drawn.
	MaxDuration time.Duration
}

const (
	maxFaults = 4 // of a schedule
	// earliest and latest are when faults begin.
	earliestStart, latestStart = 300 * time.Millisecond, 2200 * time.Millisecond
	observeInterval            = 2 * time.Millisecond
	// effectTime is how long after the end of a fault a phase still counts as reached under it.
	effectTime = 60 * time.Millisecond
)

func serverFault(what string, share, of float64) func(*rand.Rand) scenario.InjectedFault {
	return func(*rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: what, ServerShare: share, InstanceShare: of}
	}
}

func connectionFault(how string, most int) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: "bytes", ConnectionFault: how, Bytes: r.IntN(most + 1), ServerShare: 0.35}
	}
}

func clientFault(what string) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		share := 0.1 + 0.3*r.Float64()
		return scenario.InjectedFault{Kind: what, Factor: scenario.Range{From: share, To: share}}
	}
}

func factorFault(what string, share, from, to float64) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		x := from + (to-from)*r.Float64()
		return scenario.InjectedFault{Kind: what, ServerShare: share, Factor: scenario.Range{From: x, To: x}}
	}
}

// Faults are all faults that are drawn. Those in the table of docs/review-of-parts.md have its
// names.
var Faults = []Fault{
	{"draining", serverFault("drain", 0.35, 0), time.Second},
	{"gone", serverFault("crash", 0.35, 0), time.Second},
	{"returned", serverFault("flap", 0.35, 0), time.Second},
	{"cold", serverFault("replace", 0.35, 0), time.Second},
	{"refusing", serverFault("crash", 0.7, 0), 400 * time.Millisecond},
	{"silent", serverFault("vanish", 0.35, 0), time.Second},
	{"never up", connectionFault("syn", 0), time.Second},
	{"stalled", connectionFault("stall", 60), time.Second},
	{"reset", connectionFault("reset", 60), time.Second},
	{"connections reset", serverFault("reset", 0.5, 0), 0},
	{"failing", factorFault("errors", 0.5, 0.3, 1), time.Second},
	{"full", factorFault("burst", 0, 4, 10), time.Second},
	{"spoilt", connectionFault("garbage", 0), time.Second},
	{"cut", connectionFault("cut", 100), time.Second},
	{"slow", factorFault("slow", 0.5, 3, 20), time.Second},
	{"paused", serverFault("pause", 0.5, 0), 500 * time.Millisecond},
	{"slow bytes", connectionFault("slow_write", 60), time.Second},
	{"parted", serverFault("partition", 0.5, 0.5), time.Second},
	{"caller gone", clientFault("gone"), time.Second},
	{"caller slow", clientFault("dribble"), time.Second},
	{"caller malformed", clientFault("junk"), time.Second},
	{"id used twice", clientFault("twice"), time.Second},
	{"list late", serverFault("discovery", 0, 1), 800 * time.Millisecond},
	{"list older", serverFault("stale", 0, 1), 0},
	{"list repeated", serverFault("again", 0, 1), 0},
	{"list broken off", serverFault("break", 0, 1), 0},
	{"drain", serverFault("away", 0, 0.5), time.Second},
	{"SIGTERM", serverFault("stop", 0, 0.5), 200 * time.Millisecond},
	{"handover", serverFault("handover", 0, 0.5), 0},
	{"SIGHUP", serverFault("reload", 0, 1), 0},
	{"killed", serverFault("kill", 0, 0.5), 300 * time.Millisecond},
	{"late loop", serverFault("stall", 0, 0.5), 500 * time.Millisecond},
}

// lifecycleFaults are the faults that change a broker's lifecycle. Most schedules contain one.
var lifecycleFaults = []string{"drain", "SIGTERM", "handover", "SIGHUP", "killed"}

// Stages are the phases of the review's table that are observed.
var Stages = []string{"ac", "he", "hd", "co", "wr", "aw", "wa", "dr", "st", "ho", "re", "di"}

// Entry is a fault in a schedule.
type Entry struct {
	Fault string                 `json:"fault"`
	What  scenario.InjectedFault `json:"what"`
}

func (e Entry) at() time.Duration  { return e.What.Start.From }
func (e Entry) end() time.Duration { return e.What.Start.From + e.What.Duration.From }

// Schedule is a seed and the faults of one run. The JSON key of Lasts is its Go name.
type Schedule struct {
	Seed    uint64  `json:"seed"`
	Entries []Entry `json:"entries"`
	Lasts   tomlconfig.Duration
}

// Pair is a fault and a phase that was active during it. Its JSON keys are its Go names.
type Pair struct{ Fault, Stage string }

// Outcome is the outcome of a schedule.
type Outcome struct {
	Schedule        Schedule
	ViolationCounts map[string]int
	Violations      []rules.Violation
	// Set where the run could not be completed.
	Err     error
	Pairs   []Pair
	Offered int
	Service float64
}

// Failed reports whether a rule was broken or the run could not be completed.
func (o *Outcome) Failed() bool { return len(o.ViolationCounts) > 0 || o.Err != nil }

// Name is the rule that was broken, to compare outcomes by.
func (o *Outcome) Name() string {
	best := ""
	for rule := range o.ViolationCounts {
		if best == "" || rule < best {
			best = rule
		}
	}
	return cmp.Or(best, "error")
}

// Explorer plays schedules.
type Explorer struct {
	Bubble emulation.Bubble
	// Directory of configurations; it is empty between runs.
	Dir string
	// Options of each run, for tests with faulty brokers.
	Options emulation.Options
	// Limit of runs for shrinking; 0 for 200.
	MaxShrinkRuns int
}

// Draw draws a schedule. If a pair of a fault and a lifecycle fault is given, the schedule contains
// both at about the same time.
func Draw(r *rand.Rand, pair *[2]string) Schedule {
	s := Schedule{Seed: r.Uint64N(1 << 40)}
	add := func(name string, at time.Duration) {
		f := Faults[slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })]
		x := f.Draw(r)
		lasts := time.Duration(0)
		if f.MaxDuration > 0 {
			lasts = f.MaxDuration/4 + time.Duration(r.Int64N(int64(f.MaxDuration*3/4)))
		}
		if x.Kind == "flap" {
			x.Interval = tomlconfig.Duration(lasts/5 + time.Millisecond)
		}
		at, lasts = at.Round(time.Millisecond), lasts.Round(time.Millisecond)
		x.Start, x.Duration = scenario.DurationRange{From: at, To: at}, scenario.DurationRange{From: lasts, To: lasts}
		s.Entries = append(s.Entries, Entry{name, x})
	}
	when := func() time.Duration { return earliestStart + time.Duration(r.Int64N(int64(latestStart-earliestStart))) }
	meet := when()
	if pair != nil {
		add(pair[0], max(meet-time.Duration(r.Int64N(int64(100*time.Millisecond))), earliestStart))
		add(pair[1], meet)
	}
	for n := 1 + r.IntN(maxFaults-1); len(s.Entries) < n; {
		f := Faults[r.IntN(len(Faults))].Name
		if r.IntN(3) == 0 {
			f = lifecycleFaults[r.IntN(len(lifecycleFaults))]
		}
		at := when()
		if r.IntN(2) == 0 {
			at = max(meet+time.Duration(r.Int64N(int64(200*time.Millisecond)))-100*time.Millisecond, earliestStart)
		}
		add(f, at)
	}
	return s
}

// Text is the scenario file of a schedule.
func (s Schedule) Text() string {
	var b strings.Builder
	text := baseScenario
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
	sc, found := scenario.Parse("schedule", []byte(s.Text()))
	if o.Err = validation.Join(found); o.Err != nil {
		return o
	}
	dir, err := os.MkdirTemp(x.Dir, "run-")
	if err != nil {
		o.Err = err
		return o
	}
	pairs := map[Pair]bool{}
	var mu sync.Mutex
	options := x.Options
	options.Dir, options.ObserveInterval = dir, observeInterval
	options.Observe = func(at time.Duration, stages []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range s.Entries {
			if at < e.at() || at > e.end()+effectTime {
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
		o.ViolationCounts, o.Violations, o.Offered, o.Service = r.ViolationCounts, r.Violations, r.Offered, r.Service
	}
	for p := range pairs {
		o.Pairs = append(o.Pairs, p)
	}
	return o
}

// defaultShrinkRuns limits the runs for shrinking, unless MaxShrinkRuns does.
const defaultShrinkRuns = 200

// Shrink finds a smaller schedule of the same seed that breaks the same rule: with fewer faults,
// then shorter faults, then a shorter run. It returns the outcome of that schedule.
func (x *Explorer) Shrink(ctx context.Context, o *Outcome) *Outcome {
	best, runs := o, 0
	attempt := func(s Schedule) bool {
		if runs++; runs > cmp.Or(x.MaxShrinkRuns, defaultShrinkRuns) || ctx.Err() != nil {
			return false
		}
		if got := x.Play(ctx, s); got.Failed() && got.Name() == o.Name() {
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
		if !attempt(without(i)) {
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
			if !attempt(s) {
				break
			}
		}
	}
	for _, lasts := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		s := best.Schedule
		s.Lasts = tomlconfig.Duration(lasts)
		if attempt(s) {
			break
		}
	}
	return best
}
