package explore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is one run as it is kept, one line of JSON each.
type Record struct {
	Number          int            `json:"n"`
	Schedule        Schedule       `json:"schedule"`
	ViolationCounts map[string]int `json:"broken,omitempty"`
	Err             string         `json:"err,omitempty"`
	// The pairs that this run was the first to reach.
	New []Pair `json:"new,omitempty"`
	// Real time of the run, in seconds.
	Seconds float64 `json:"took"`
	Offered int     `json:"asked"`
}

// Search is a search that can be resumed where it was stopped.
type Search struct {
	*Explorer
	// Where records and finds are kept: runs.jsonl, and a file for each find.
	Directory string
	// Seed of all draws.
	Seed uint64
	// Runs at the same time.
	Parallel int
	// 0 for no limit.
	MaxRuns int
	Until   time.Time
	// Called after each run; may be nil.
	OnProgress func(runs int, covered, finds int)

	mu      sync.Mutex
	runs    int
	reached map[Pair]int
	// Schedules that were the first to reach a pair.
	corpus []Schedule
	// Files of finds.
	finds []string
	seen  map[string]int
	file  *os.File
}

const (
	runsFile = "runs.jsonl"
	// maxFindsPerRule is how many finds of the same rule are shrunk and kept.
	maxFindsPerRule = 3
)

// Report is the result of a search.
type Report struct {
	Runs    int
	Offered int
	// Real time of all runs, in seconds.
	Seconds float64
	// The number of runs that reached each pair.
	Reached map[Pair]int
	// Pairs that no run reached.
	Missing []Pair
	// Files that replay the finds.
	Finds []string
	// Runs in which each rule was broken.
	ViolationCounts map[string]int
}

// Run searches until its limit, its time or the context ends.
func (s *Search) Run(ctx context.Context) (*Report, error) {
	if err := os.MkdirAll(s.Directory, 0o755); err != nil {
		return nil, err
	}
	r := &Report{ViolationCounts: map[string]int{}}
	s.reached, s.seen = map[Pair]int{}, map[string]int{}
	if err := s.resume(r); err != nil {
		return nil, err
	}
	defer s.file.Close()
	if !s.Until.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, s.Until)
		defer stop()
	}
	fault := make(chan error, 1)
	var workers sync.WaitGroup
	for range max(s.Parallel, 1) {
		workers.Go(func() {
			for ctx.Err() == nil {
				n, schedule, ok := s.next()
				if !ok {
					return
				}
				began := time.Now()
				o := s.Play(ctx, schedule)
				if ctx.Err() != nil {
					return
				}
				if err := s.record(ctx, r, n, o, time.Since(began)); err != nil {
					select {
					case fault <- err:
					default:
					}
					return
				}
			}
		})
	}
	workers.Wait()
	r.Reached, r.Finds, r.Missing = s.reached, s.finds, s.missing()
	err := os.WriteFile(filepath.Join(s.Directory, PairsFile), []byte(r.Table()), 0o644)
	select {
	case err = <-fault:
	default:
	}
	return r, err
}

// resume reads the records of earlier runs, up to the last complete line.
func (s *Search) resume(r *Report) error {
	path := filepath.Join(s.Directory, runsFile)
	f, err := os.Open(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	complete := int64(0)
	if err == nil {
		in := bufio.NewReader(f)
		for {
			line, err := in.ReadBytes('\n')
			if err != nil {
				break // the end, or a line that was cut off
			}
			var x Record
			if err := json.Unmarshal(line, &x); err != nil {
				f.Close()
				return fmt.Errorf("%s: run %d: %w", path, s.runs+1, err)
			}
			complete += int64(len(line))
			s.runs = max(s.runs, x.Number+1)
			s.count(r, &x)
		}
		f.Close()
		if err := os.Truncate(path, complete); err != nil {
			return err
		}
	}
	s.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// count adds a run to the report.
func (s *Search) count(r *Report, x *Record) {
	r.Runs++
	r.Offered += x.Offered
	r.Seconds += x.Seconds
	for _, p := range x.New {
		s.reached[p]++
	}
	if len(x.New) > 0 {
		s.corpus = append(s.corpus, x.Schedule)
	}
	for rule := range x.ViolationCounts {
		r.ViolationCounts[rule]++
	}
	if x.Err != "" {
		r.ViolationCounts["error"]++
	}
}

// next chooses the next schedule. One in three mutates a schedule that was the first to reach a
// pair. The others are drawn around a pair of a fault and a lifecycle fault, each such pair in
// turn.
func (s *Search) next() (n int, schedule Schedule, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxRuns > 0 && s.runs >= s.MaxRuns {
		return 0, schedule, false
	}
	n = s.runs
	s.runs++
	r := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	if n%3 == 2 && len(s.corpus) > 0 {
		old := s.corpus[r.IntN(len(s.corpus))]
		fresh := Draw(r, nil)
		fresh.Entries = append(slices.Clone(old.Entries), fresh.Entries...)
		r.Shuffle(len(fresh.Entries), func(i, j int) {
			fresh.Entries[i], fresh.Entries[j] = fresh.Entries[j], fresh.Entries[i]
		})
		fresh.Entries = fresh.Entries[:min(len(fresh.Entries), maxFaults)]
		return n, fresh, true
	}
	turn := n - n/3
	pair := [2]string{Faults[turn%len(Faults)].Name, lifecycleFaults[turn/len(Faults)%len(lifecycleFaults)]}
	return n, Draw(r, &pair), true
}

// record keeps the outcome of a run, and shrinks it if it failed.
func (s *Search) record(ctx context.Context, r *Report, n int, o *Outcome, took time.Duration) error {
	x := Record{Number: n, Schedule: o.Schedule, ViolationCounts: o.ViolationCounts, Seconds: took.Seconds(), Offered: o.Offered}
	if o.Err != nil {
		x.Err = o.Err.Error()
	}
	s.mu.Lock()
	for _, p := range o.Pairs {
		if s.reached[p] == 0 {
			x.New = append(x.New, p)
		}
	}
	s.count(r, &x)
	for _, p := range o.Pairs {
		if !slices.Contains(x.New, p) {
			s.reached[p]++
		}
	}
	shrink := o.Failed() && s.seen[o.Name()] < maxFindsPerRule
	if o.Failed() {
		s.seen[o.Name()]++
	}
	line, err := json.Marshal(x)
	if err == nil {
		_, err = s.file.Write(append(line, '\n'))
	}
	if s.OnProgress != nil {
		s.OnProgress(s.runs, len(s.reached), len(s.finds))
	}
	s.mu.Unlock()
	if err != nil || !shrink {
		return err
	}
	small := s.Shrink(ctx, o)
	path := filepath.Join(s.Directory, fmt.Sprintf("find-%d-%s.toml", n, small.Name()))
	if err := os.WriteFile(path, []byte(small.Text()), 0o644); err != nil {
		return err
	}
	s.mu.Lock()
	s.finds = append(s.finds, path)
	s.mu.Unlock()
	return nil
}

// Text is the scenario file that replays an outcome, with the first violations and their histories
// as comments.
func (o *Outcome) Text() string {
	var b strings.Builder
	if o.Err != nil {
		fmt.Fprintf(&b, "# %s\n", strings.ReplaceAll(o.Err.Error(), "\n", "\n# "))
	}
	for _, v := range o.Violations[:min(len(o.Violations), 3)] {
		fmt.Fprintf(&b, "# %s, request %s: %s\n", v.Rule, v.Request, v.Text)
		for _, line := range v.History {
			fmt.Fprintf(&b, "#     %s\n", line)
		}
	}
	return b.String() + o.Schedule.Text()
}

// missing returns the pairs that no run reached.
func (s *Search) missing() (none []Pair) {
	for _, f := range Faults {
		for _, stage := range Stages {
			if s.reached[Pair{f.Name, stage}] == 0 {
				none = append(none, Pair{f.Name, stage})
			}
		}
	}
	return none
}

// PairsFile is the name of the table of pairs that a search writes.
const PairsFile = "pairs.md"

// Table formats the number of runs that reached each pair.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d runs, %d requests; runs in which a rule was broken: %d. In how many of the runs something was in a stage\n"+
		"(columns, docs/review-of-parts.md) while a fault lasted.\n\n| fault |", r.Runs, r.Offered, len(r.ViolationCounts))
	for _, s := range Stages {
		fmt.Fprintf(&b, " %s |", s)
	}
	b.WriteString("\n| --- |" + strings.Repeat(" --- |", len(Stages)) + "\n")
	for _, f := range Faults {
		fmt.Fprintf(&b, "| %s |", f.Name)
		for _, s := range Stages {
			fmt.Fprintf(&b, " %d |", r.Reached[Pair{f.Name, s}])
		}
		b.WriteString("\n")
	}
	return b.String()
}
