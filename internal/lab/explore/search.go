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

// Record is the record of one run, a line of JSON in the file of runs.
type Record struct {
	Number          int            `json:"n"`
	Schedule        Schedule       `json:"schedule"`
	ViolationCounts map[string]int `json:"broken,omitempty"`
	Err             string         `json:"err,omitempty"`
	// The pairs that this run reached as the first.
	New []Pair `json:"new,omitempty"`
	// The real time of the run in seconds.
	Seconds float64 `json:"took"`
	// The number of requests.
	Offered int `json:"asked"`
}

// Search is a search for violations that can be interrupted and resumed.
type Search struct {
	*Explorer
	// The directory of the file of runs, of the table of pairs and of a scenario file for each find.
	Directory string
	// The seed of all draws.
	Seed uint64
	// The number of runs at the same time.
	Parallel int
	// The number of runs, with those of earlier searches in Directory; 0 for no limit.
	MaxRuns int
	// When the search ends; the zero time for no limit.
	Until time.Time
	// Called after each run with the numbers of runs, of reached pairs and of finds. It may be nil.
	OnProgress func(runs int, covered, finds int)

	mu sync.Mutex
	// The number of runs that were started.
	runs int
	// The number of runs that reached each pair.
	reached map[Pair]int
	// Schedules that were the first to reach a pair.
	corpus []Schedule
	// The paths of the scenario files of finds.
	finds []string
	// The number of failed runs by Outcome.Name.
	failures map[string]int
	file     *os.File
}

const (
	runsFile = "runs.jsonl"
	// maxFindsPerRule is how many failed runs with the same name are shrunk and written as a file.
	maxFindsPerRule = 3
)

// Report is the result of a search.
type Report struct {
	Runs    int
	Offered int
	// The real time of all runs in seconds.
	Seconds float64
	// The number of runs that reached each pair.
	Reached map[Pair]int
	// The pairs that no run reached.
	Missing []Pair
	// The scenario files that replay the finds.
	Finds []string
	// The number of runs in which each rule was violated.
	ViolationCounts map[string]int
}

// Run searches until MaxRuns or Until is reached or the context ends.
func (s *Search) Run(ctx context.Context) (*Report, error) {
	if err := os.MkdirAll(s.Directory, 0o755); err != nil {
		return nil, err
	}
	r := &Report{ViolationCounts: map[string]int{}}
	s.reached, s.failures = map[Pair]int{}, map[string]int{}
	if err := s.resume(r); err != nil {
		return nil, err
	}
	defer s.file.Close()
	if !s.Until.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, s.Until)
		defer stop()
	}
	failed := make(chan error, 1)
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
					case failed <- err:
					default: // another worker has failed before
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
	case err = <-failed:
	default:
	}
	return r, err
}

// resume reads the records of earlier runs, cuts off an incomplete last line and opens the file for appending.
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
				break // the end of the file, perhaps after an incomplete line
			}
			var record Record
			if err := json.Unmarshal(line, &record); err != nil {
				f.Close()
				return fmt.Errorf("%s: run %d: %w", path, s.runs+1, err)
			}
			complete += int64(len(line))
			s.runs = max(s.runs, record.Number+1)
			s.count(r, &record)
		}
		f.Close()
		if err := os.Truncate(path, complete); err != nil {
			return err
		}
	}
	s.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// count adds the record of a run to the report and to the state of the search.
func (s *Search) count(r *Report, record *Record) {
	r.Runs++
	r.Offered += record.Offered
	r.Seconds += record.Seconds
	for _, p := range record.New {
		s.reached[p]++
	}
	if len(record.New) > 0 {
		s.corpus = append(s.corpus, record.Schedule)
	}
	for rule := range record.ViolationCounts {
		r.ViolationCounts[rule]++
	}
	if record.Err != "" {
		r.ViolationCounts["error"]++
	}
}

// next chooses the schedule of the next run n. One in three mixes a new schedule with one that was the first
// to reach a pair. The others are drawn around a pair of a fault and a lifecycle fault, with all such pairs in
// turn. It returns false if MaxRuns is reached.
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
		parent := s.corpus[r.IntN(len(s.corpus))]
		mixed := Draw(r, nil)
		mixed.Entries = append(slices.Clone(parent.Entries), mixed.Entries...)
		r.Shuffle(len(mixed.Entries), func(i, j int) {
			mixed.Entries[i], mixed.Entries[j] = mixed.Entries[j], mixed.Entries[i]
		})
		mixed.Entries = mixed.Entries[:min(len(mixed.Entries), maxFaults)]
		return n, mixed, true
	}
	index := n - n/3
	pair := [2]string{Faults[index%len(Faults)].Name, lifecycleFaults[index/len(Faults)%len(lifecycleFaults)]}
	return n, Draw(r, &pair), true
}

// record writes the record of a run. It shrinks the schedule of a failed run and writes it as a scenario file,
// unless there are maxFindsPerRule failures of the same name already.
func (s *Search) record(ctx context.Context, r *Report, n int, o *Outcome, took time.Duration) error {
	record := Record{Number: n, Schedule: o.Schedule, ViolationCounts: o.ViolationCounts, Seconds: took.Seconds(), Offered: o.Offered}
	if o.Err != nil {
		record.Err = o.Err.Error()
	}
	s.mu.Lock()
	for _, p := range o.Pairs {
		if s.reached[p] == 0 {
			record.New = append(record.New, p)
		}
	}
	s.count(r, &record)
	for _, p := range o.Pairs {
		if !slices.Contains(record.New, p) {
			s.reached[p]++
		}
	}
	shrink := o.Failed() && s.failures[o.Name()] < maxFindsPerRule
	if o.Failed() {
		s.failures[o.Name()]++
	}
	line, err := json.Marshal(record)
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
	shrunk := s.Shrink(ctx, o)
	path := filepath.Join(s.Directory, fmt.Sprintf("find-%d-%s.toml", n, shrunk.Name()))
	if err := os.WriteFile(path, []byte(shrunk.Text()), 0o644); err != nil {
		return err
	}
	s.mu.Lock()
	s.finds = append(s.finds, path)
	s.mu.Unlock()
	return nil
}

// Text returns the scenario file that replays an outcome. Comments at its start contain the error and the
// first violations with their histories.
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
func (s *Search) missing() (pairs []Pair) {
	for _, f := range Faults {
		for _, stage := range Stages {
			if s.reached[Pair{f.Name, stage}] == 0 {
				pairs = append(pairs, Pair{f.Name, stage})
			}
		}
	}
	return pairs
}

// PairsFile is the name of the table of pairs that a search writes.
const PairsFile = "pairs.md"

// Table returns a Markdown table of the number of runs that reached each pair.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d runs, %d requests; rules that were violated: %d. The cells are the numbers of runs in which a request was\n"+
		"in a phase (columns, see docs/review-of-parts.md) during a fault (rows).\n\n| fault |", r.Runs, r.Offered, len(r.ViolationCounts))
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
