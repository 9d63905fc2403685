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

// Fault is a kind of fault in schedules.
type Fault struct {
	Name string
	// Draw draws a fault of this kind, without its start and duration.
	Draw func(r *rand.Rand) scenario.InjectedFault
	// The upper limit of the drawn duration; 0 for a fault without a duration.
	MaxDuration time.Duration
}

const (
	// maxFaults is the largest number of faults in a schedule.
	maxFaults = 4
	// Faults start between earliestStart and latestStart.
	earliestStart, latestStart = 300 * time.Millisecond, 2200 * time.Millisecond
	// observeInterval is how often the active phases of the brokers are read, in virtual time.
	observeInterval = 2 * time.Millisecond
	// effectTime is how long after the end of a fault a phase still counts as active during it.
	effectTime = 60 * time.Millisecond
)

// serverFault draws faults on a share of the servers and a share of the instances.
func serverFault(kind string, serverShare, instanceShare float64) func(*rand.Rand) scenario.InjectedFault {
	return func(*rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: kind, ServerShare: serverShare, InstanceShare: instanceShare}
	}
}

// connectionFault draws faults on the connections of servers, with a size of up to maxBytes.
func connectionFault(kind string, maxBytes int) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		return scenario.InjectedFault{Kind: "bytes", ConnectionFault: kind, Bytes: r.IntN(maxBytes + 1), ServerShare: 0.35}
	}
}

// clientFault draws faults of 10 to 40% of the clients' requests.
func clientFault(kind string) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		share := 0.1 + 0.3*r.Float64()
		return scenario.InjectedFault{Kind: kind, Factor: scenario.Range{From: share, To: share}}
	}
}

// factorFault draws faults with a factor between from and to on a share of the servers.
func factorFault(kind string, serverShare, from, to float64) func(*rand.Rand) scenario.InjectedFault {
	return func(r *rand.Rand) scenario.InjectedFault {
		factor := from + (to-from)*r.Float64()
		return scenario.InjectedFault{Kind: kind, ServerShare: serverShare, Factor: scenario.Range{From: factor, To: factor}}
	}
}

// Faults lists the faults from which schedules are drawn. Their names are in the records of searches, and in
// the table of docs/review-of-parts.md.
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

// Stages lists the observed phases of a broker by the short names that http1.Server.ActivePhases returns. They
// are the columns of the table of pairs.
var Stages = []string{"ac", "he", "hd", "co", "wr", "aw", "wa", "dr", "st", "ho", "re", "di"}

// Entry is a fault in a schedule.
type Entry struct {
	Fault    string                 `json:"fault"` // the name in Faults
	Injected scenario.InjectedFault `json:"what"`
}

func (e Entry) start() time.Duration { return e.Injected.Start.From }
func (e Entry) end() time.Duration   { return e.Injected.Start.From + e.Injected.Duration.From }

// Schedule is the seed and the faults of one run. Records contain Lasts under its Go name, since it has no
// JSON tag.
type Schedule struct {
	Seed    uint64  `json:"seed"`
	Entries []Entry `json:"entries"`
	// The duration of the run; 0 for that of the base scenario.
	Lasts tomlconfig.Duration
}

// Pair is a fault and a phase that was active during it. Records contain the fields under their Go names.
type Pair struct{ Fault, Stage string }

// Outcome is the outcome of playing a schedule.
type Outcome struct {
	Schedule Schedule
	// The number of violations by rule.
	ViolationCounts map[string]int
	Violations      []rules.Violation
	// Set if the run could not be completed.
	Err   error
	Pairs []Pair
	// The number of requests.
	Offered int
	// The share of requests that were served.
	Service float64
}

// Failed reports whether a rule was violated or the run could not be completed.
func (o *Outcome) Failed() bool { return len(o.ViolationCounts) > 0 || o.Err != nil }

// Name returns the alphabetically first violated rule, or "error" if none was violated. Outcomes with the
// same name count as the same failure.
func (o *Outcome) Name() string {
	first := ""
	for rule := range o.ViolationCounts {
		if first == "" || rule < first {
			first = rule
		}
	}
	return cmp.Or(first, "error")
}

// Explorer plays schedules.
type Explorer struct {
	Bubble emulation.Bubble
	// The directory of the runs' configurations. Each run removes its own.
	Dir string
	// The options of each run, for tests with faulty brokers.
	Options emulation.Options
	// The limit of runs for shrinking one schedule; 0 for 200.
	MaxShrinkRuns int
}

// Draw draws a schedule. If a pair of a fault and a lifecycle fault is given, the schedule contains both at
// about the same time. Half of the further faults start near that time too, so that faults interact.
func Draw(r *rand.Rand, pair *[2]string) Schedule {
	s := Schedule{Seed: r.Uint64N(1 << 40)}
	add := func(name string, start time.Duration) {
		f := Faults[slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })]
		injected := f.Draw(r)
		duration := time.Duration(0)
		if f.MaxDuration > 0 {
			duration = f.MaxDuration/4 + time.Duration(r.Int64N(int64(f.MaxDuration*3/4)))
		}
		if injected.Kind == "flap" {
			injected.Interval = tomlconfig.Duration(duration/5 + time.Millisecond)
		}
		start, duration = start.Round(time.Millisecond), duration.Round(time.Millisecond)
		injected.Start = scenario.DurationRange{From: start, To: start}
		injected.Duration = scenario.DurationRange{From: duration, To: duration}
		s.Entries = append(s.Entries, Entry{name, injected})
	}
	drawStart := func() time.Duration {
		return earliestStart + time.Duration(r.Int64N(int64(latestStart-earliestStart)))
	}
	commonStart := drawStart()
	if pair != nil {
		add(pair[0], max(commonStart-time.Duration(r.Int64N(int64(100*time.Millisecond))), earliestStart))
		add(pair[1], commonStart)
	}
	for n := 1 + r.IntN(maxFaults-1); len(s.Entries) < n; {
		name := Faults[r.IntN(len(Faults))].Name
		if r.IntN(3) == 0 {
			name = lifecycleFaults[r.IntN(len(lifecycleFaults))]
		}
		start := drawStart()
		if r.IntN(2) == 0 {
			start = max(commonStart+time.Duration(r.Int64N(int64(200*time.Millisecond)))-100*time.Millisecond, earliestStart)
		}
		add(name, start)
	}
	return s
}

// Text returns the scenario file of a schedule.
func (s Schedule) Text() string {
	var b strings.Builder
	text := baseScenario
	if s.Lasts > 0 {
		text = strings.Replace(text, `lasts = "3s"`, fmt.Sprintf("lasts = %q", time.Duration(s.Lasts)), 1)
	}
	fmt.Fprintf(&b, "# seed %d\n%s", s.Seed, text)
	for _, e := range s.Entries {
		f := e.Injected
		fmt.Fprintf(&b, "\n[[trouble]] # %s\nwhat = %q\nat = %q\nlasts = %q\nshare = %v\ninstances = %v\n", e.Fault, f.Kind,
			f.Start.From, f.Duration.From, f.ServerShare, f.InstanceShare)
		if f.Kind == "bytes" {
			fmt.Fprintf(&b, "how = %q\nbytes = %d\n", f.ConnectionFault, f.Bytes)
		}
		if f.Factor.To > 0 {
			fmt.Fprintf(&b, "factor = %v\n", f.Factor.From)
		}
		if f.Interval > 0 {
			fmt.Fprintf(&b, "every = %q\n", time.Duration(f.Interval))
		}
	}
	return b.String()
}

// Play plays a schedule and records which phases were active during its faults.
func (x *Explorer) Play(ctx context.Context, s Schedule) *Outcome {
	o := &Outcome{Schedule: s}
	parsed, problems := scenario.Parse("schedule", []byte(s.Text()))
	if o.Err = validation.Join(problems); o.Err != nil {
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
			if at < e.start() || at > e.end()+effectTime {
				continue
			}
			for _, stage := range stages {
				pairs[Pair{e.Fault, stage}] = true
			}
		}
	}
	r, err := emulation.Play(ctx, x.Bubble, parsed, s.Seed, options)
	o.Err = errors.Join(err, os.RemoveAll(dir))
	if r != nil {
		o.ViolationCounts, o.Violations, o.Offered, o.Service = r.ViolationCounts, r.Violations, r.Offered, r.Service
	}
	for p := range pairs {
		o.Pairs = append(o.Pairs, p)
	}
	return o
}

// defaultShrinkRuns is the default of Explorer.MaxShrinkRuns.
const defaultShrinkRuns = 200

// Shrink searches for a smaller schedule with the same seed that fails with the same name. It removes faults,
// then shortens faults, then the run. It returns the outcome of the smallest schedule that it found, or o.
func (x *Explorer) Shrink(ctx context.Context, o *Outcome) *Outcome {
	best, runs := o, 0
	attempt := func(s Schedule) bool {
		if runs++; runs > cmp.Or(x.MaxShrinkRuns, defaultShrinkRuns) || ctx.Err() != nil {
			return false
		}
		if outcome := x.Play(ctx, s); outcome.Failed() && outcome.Name() == o.Name() {
			best = outcome
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
			half := (s.Entries[i].Injected.Duration.From / 2).Round(time.Millisecond)
			if half == 0 {
				break
			}
			s.Entries[i].Injected.Duration = scenario.DurationRange{From: half, To: half}
			if !attempt(s) {
				break
			}
		}
	}
	for _, duration := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second} {
		s := best.Schedule
		s.Lasts = tomlconfig.Duration(duration)
		if attempt(s) {
			break
		}
	}
	return best
}
