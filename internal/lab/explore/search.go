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

// Record is a run as it is kept, one line each.
type Record struct {
	N        int            `json:"n"`
	Schedule Schedule       `json:"schedule"`
	Broken   map[string]int `json:"broken,omitempty"`
	Err      string         `json:"err,omitempty"`
	New      []Pair         `json:"new,omitempty"` // pairs that it was the first to reach
	Took     float64        `json:"took"`          // seconds of the wall
	Asked    int            `json:"asked"`
}

// Search is a search that goes on where it was called off.
type Search struct {
	*Explorer
	Out   string // a folder for what is kept: runs.jsonl, and a file for each find
	First uint64 // the seed of the draws
	At    int    // runs beside each other
	Most  int    // runs; 0 for no bound
	Until time.Time
	Told  func(runs int, covered, finds int)

	mu      sync.Mutex
	n       int
	reached map[Pair]int
	corpus  []Schedule // what reached a pair first
	finds   []string   // files
	seen    map[string]int
	file    *os.File
}

const (
	runsFile = "runs.jsonl"
	// mostOfAKind is how many finds of the same rule are shrunk and kept: more of the same tell no more.
	mostOfAKind = 3
)

// Report is what a search has come to.
type Report struct {
	Runs    int
	Asked   int
	Seconds float64        // of all runs, on the wall
	Reached map[Pair]int   // in how many runs
	Missing []Pair         // pairs that no run reached
	Finds   []string       // files that replay them
	Broken  map[string]int // runs in which a rule was broken
}

// Run searches until its bound, its time or the context's end.
func (s *Search) Run(ctx context.Context) (*Report, error) {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return nil, err
	}
	r := &Report{Broken: map[string]int{}}
	s.reached, s.seen = map[Pair]int{}, map[string]int{}
	if err := s.takeUp(r); err != nil {
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
	for range max(s.At, 1) {
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
				if err := s.keep(ctx, r, n, o, time.Since(began)); err != nil {
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
	err := os.WriteFile(filepath.Join(s.Out, PairsFile), []byte(r.Table()), 0o644)
	select {
	case err = <-fault:
	default:
	}
	return r, err
}

// takeUp reads what was played before, up to the last whole line.
func (s *Search) takeUp(r *Report) error {
	path := filepath.Join(s.Out, runsFile)
	f, err := os.Open(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	whole := int64(0)
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
				return fmt.Errorf("%s: run %d: %w", path, s.n+1, err)
			}
			whole += int64(len(line))
			s.n = max(s.n, x.N+1)
			s.count(r, &x)
		}
		f.Close()
		if err := os.Truncate(path, whole); err != nil {
			return err
		}
	}
	s.file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return err
}

// count takes a run into the report.
func (s *Search) count(r *Report, x *Record) {
	r.Runs++
	r.Asked += x.Asked
	r.Seconds += x.Took
	for _, p := range x.New {
		s.reached[p]++
	}
	if len(x.New) > 0 {
		s.corpus = append(s.corpus, x.Schedule)
	}
	for rule := range x.Broken {
		r.Broken[rule]++
	}
	if x.Err != "" {
		r.Broken["error"]++
	}
}

// next is the next schedule: one in three changes one that reached something first, the others are drawn, with the pair of
// a fault and a turn of a broker's life that is its turn, so that each such pair is played as often as any other.
func (s *Search) next() (n int, schedule Schedule, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Most > 0 && s.n >= s.Most {
		return 0, schedule, false
	}
	n = s.n
	s.n++
	r := rand.New(rand.NewPCG(s.First, uint64(n)))
	if n%3 == 2 && len(s.corpus) > 0 {
		old := s.corpus[r.IntN(len(s.corpus))]
		fresh := Draw(r, nil)
		fresh.Entries = append(slices.Clone(old.Entries), fresh.Entries...)
		r.Shuffle(len(fresh.Entries), func(i, j int) {
			fresh.Entries[i], fresh.Entries[j] = fresh.Entries[j], fresh.Entries[i]
		})
		fresh.Entries = fresh.Entries[:min(len(fresh.Entries), mostFaults)]
		return n, fresh, true
	}
	turn := n - n/3
	pair := [2]string{Faults[turn%len(Faults)].Name, lives[turn/len(Faults)%len(lives)]}
	return n, Draw(r, &pair), true
}

// keep keeps what came of a run, and shrinks what it found.
func (s *Search) keep(ctx context.Context, r *Report, n int, o *Outcome, took time.Duration) error {
	x := Record{N: n, Schedule: o.Schedule, Broken: o.Broken, Took: took.Seconds(), Asked: o.Asked}
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
	shrink := o.Bad() && s.seen[o.Name()] < mostOfAKind
	if o.Bad() {
		s.seen[o.Name()]++
	}
	line, err := json.Marshal(x)
	if err == nil {
		_, err = s.file.Write(append(line, '\n'))
	}
	if s.Told != nil {
		s.Told(s.n, len(s.reached), len(s.finds))
	}
	s.mu.Unlock()
	if err != nil || !shrink {
		return err
	}
	small := s.Shrink(ctx, o)
	path := filepath.Join(s.Out, fmt.Sprintf("find-%d-%s.toml", n, small.Name()))
	if err := os.WriteFile(path, []byte(small.Text()), 0o644); err != nil {
		return err
	}
	s.mu.Lock()
	s.finds = append(s.finds, path)
	s.mu.Unlock()
	return nil
}

// Text is the scenario file of an outcome, with what was broken and the history of the first as comments.
func (o *Outcome) Text() string {
	var b strings.Builder
	if o.Err != nil {
		fmt.Fprintf(&b, "# %s\n", strings.ReplaceAll(o.Err.Error(), "\n", "\n# "))
	}
	for _, v := range o.Told[:min(len(o.Told), 3)] {
		fmt.Fprintf(&b, "# %s, request %s: %s\n", v.Rule, v.Request, v.Text)
		for _, line := range v.History {
			fmt.Fprintf(&b, "#     %s\n", line)
		}
	}
	return b.String() + o.Schedule.Text()
}

// missing are the pairs that no run reached.
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

// Table writes in how many runs each pair was reached, as a table.
func (r *Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d runs, %d requests; runs in which a rule was broken: %d. In how many of the runs something was in a stage\n"+
		"(columns, docs/review-of-parts.md) while a fault lasted.\n\n| fault |", r.Runs, r.Asked, len(r.Broken))
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
