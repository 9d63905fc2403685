// Package load asks an HTTP/1.1 address for as much as a profile says, whatever becomes of what it asked before (open
// loop). Times count from when a request was meant to be sent: one that is sent late because those before it took long
// is as late as its caller would find it (Gil Tene, "How NOT to Measure Latency", on coordinated omission).
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykering/internal/lab/scenario"
)

const (
	// longest is the longest time that a histogram holds; what took longer is held as that.
	longest = time.Hour
	// figures is its precision, in decimal figures.
	figures = 3
	// mostAnswer bounds what is read of an answer.
	mostAnswer = 64 << 20
	// mostSeconds bounds the table.
	mostSeconds = 24 * 3600
)

// Profile is how the rate goes.
type Profile struct {
	Kind  string        // steady, ramp, step or spike
	Rate  float64       // requests a second: of all, at the beginning, of the first step, outside of the spike
	To    float64       // at the end, of the last step, in the spike
	Steps int           // of step
	Lasts time.Duration // of all
}

// The kinds of profile.
const (
	Steady = "steady"
	Ramp   = "ramp"
	Step   = "step"
	Spike  = "spike" // the middle fifth of the time
)

// Check names what is wrong.
func (p Profile) Check() error {
	switch {
	case p.Kind != Steady && p.Kind != Ramp && p.Kind != Step && p.Kind != Spike:
		return fmt.Errorf("profile %q: there is steady, ramp, step, spike", p.Kind)
	case !(p.Rate > 0 && p.Rate <= 1e6):
		return fmt.Errorf("rate %v: above 0 and up to 1,000,000 a second", p.Rate)
	case p.Kind != Steady && !(p.To > 0 && p.To <= 1e6):
		return fmt.Errorf("rate %v to which it goes: above 0 and up to 1,000,000 a second", p.To)
	case p.Kind == Step && (p.Steps < 2 || p.Steps > 1000):
		return fmt.Errorf("%d steps: 2 to 1000", p.Steps)
	case p.Lasts < time.Millisecond || p.Lasts > mostSeconds*time.Second:
		return fmt.Errorf("%v: a millisecond to a day", p.Lasts)
	}
	return nil
}

// RateAt is the rate at a time.
func (p Profile) RateAt(t time.Duration) float64 {
	part := min(max(float64(t)/float64(p.Lasts), 0), 1)
	switch p.Kind {
	case Ramp:
		return p.Rate + (p.To-p.Rate)*part
	case Step:
		step := math.Floor(min(part*float64(p.Steps), float64(p.Steps-1)))
		return p.Rate + (p.To-p.Rate)*step/float64(p.Steps-1)
	case Spike:
		if part >= 0.4 && part < 0.6 {
			return p.To
		}
	}
	return p.Rate
}

// Class is a kind of request.
type Class struct {
	Name   string
	Share  float64
	Method string
	Timeout   time.Duration // how long an answer is waited for
	Keyed  bool
	Body   int // bytes
}

// Team is one of those who ask.
type Team struct {
	Name  string
	Share float64
}

// Load is what is asked.
type Load struct {
	URL     string
	Profile Profile
	Classes []Class
	Teams   []Team // none for requests without a team
	Poisson bool   // requests come by chance; otherwise evenly
	Seed    uint64
	MaxInFlight    int // requests that are under way at a time; more are counted and not sent
	Conns   int // connections at a time; 0 for no bound
	Run     string

	// OnOutcome is told of each outcome, one at a time; it may be nil.
	OnOutcome func(Outcome)
}

// Outcome is what became of a request.
type Outcome struct {
	At     time.Duration // when it was meant to be sent, from the start on
	Took   time.Duration // from then on
	Class  int
	Status int // 0 where no answer came
	Err    error
}

// Second is what came of what was meant to be sent in a second.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	P50     float64 `json:"p50"` // milliseconds, of all answers
	P99     float64 `json:"p99"`

	took *hdrhistogram.Histogram
}

// Figures are of a class, or of all.
type Figures struct {
	Name     string         `json:"name"`
	Asked    int            `json:"asked"`
	Served   int            `json:"served"`
	Refused  int            `json:"refused"` // 429 and 503
	Failed   int            `json:"failed"`
	Lost     int            `json:"lost"` // no answer
	Statuses map[int]int    `json:"statuses"`
	Errors   map[string]int `json:"errors,omitempty"`
	Mean     float64        `json:"mean"` // milliseconds, of what was served
	P50      float64        `json:"p50"`
	P90      float64        `json:"p90"`
	P99      float64        `json:"p99"`
	P999     float64        `json:"p999"`
	Max      float64        `json:"max"`

	took *hdrhistogram.Histogram
}

// Report is what came of a load.
type Report struct {
	Profile Profile   `json:"profile"`
	Took    float64   `json:"took"`   // seconds until the last answer
	Unsent  int       `json:"unsent"` // beyond what may be under way
	Late    float64   `json:"late"`   // milliseconds by which the latest was sent after it was meant to be: this tool's own lag
	All     Figures   `json:"all"`
	Classes []Figures `json:"classes"`
	Seconds []Second  `json:"seconds"`
}

func newFigures(name string) Figures {
	return Figures{Name: name, Statuses: map[int]int{}, Errors: map[string]int{}, took: histogram()}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), figures)
}

// mostErrors bounds the sorts of error that are told apart.
const mostErrors = 20

func (f *Figures) count(o Outcome) {
	f.Asked++
	f.Statuses[o.Status]++
	switch {
	case o.Status == http.StatusOK:
		f.Served++
		f.took.RecordValue(min(o.Took, longest).Microseconds()) // within its bounds
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		f.Refused++
	case o.Status == 0:
		f.Lost++
		text := cause(o.Err)
		if _, ok := f.Errors[text]; !ok && len(f.Errors) >= mostErrors {
			text = "others"
		}
		f.Errors[text]++
	default:
		f.Failed++
	}
}

// cause is an error without what is another in each: addresses.
func cause(err error) string {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return fmt.Sprint(err)
}

func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (f *Figures) sumUp() {
	h := f.took
	f.Mean, f.Max = h.Mean()/1000, float64(h.Max())/1000
	f.P50, f.P90, f.P99, f.P999 = milliseconds(h, 50), milliseconds(h, 90), milliseconds(h, 99), milliseconds(h, 99.9)
}

func (s *Second) count(o Outcome) {
	if s.took == nil {
		s.took = hdrhistogram.New(1, longest.Microseconds(), 2)
	}
	s.Asked++
	switch {
	case o.Status == http.StatusOK:
		s.Served++
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		s.Refused++
	case o.Status == 0:
		s.Lost++
		return
	default:
		s.Failed++
	}
	s.took.RecordValue(min(o.Took, longest).Microseconds())
}

// sumUp lets the second's histogram go: an hour has 3,600.
func (s *Second) sumUp() {
	if s.took != nil {
		s.P50, s.P99 = milliseconds(s.took, 50), milliseconds(s.took, 99)
		s.took = nil
	}
}

// player is one run of a load.
type player struct {
	*Load
	client *http.Client
	random *rand.Rand
	began  time.Time
	asking sync.WaitGroup

	mu       sync.Mutex // guards what follows
	report   *Report
	inFlight int
}

// Play asks until the profile's end or that of the context, and waits for the last answer.
func (l *Load) Play(ctx context.Context) (*Report, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: max(l.Conns, 1024), MaxConnsPerHost: l.Conns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r := &Report{Profile: l.Profile, All: newFigures("all"), Seconds: make([]Second, 1+int(l.Profile.Lasts.Seconds()))}
	for _, c := range l.Classes {
		r.Classes = append(r.Classes, newFigures(c.Name))
	}
	p := &player{Load: l, client: client, random: rand.New(rand.NewPCG(l.Seed, 0)), report: r, began: time.Now()}
	p.askUntilTheEnd(ctx)
	p.asking.Wait()
	r.Took = time.Since(p.began).Seconds()
	r.sumUp()
	return r, nil
}

// askUntilTheEnd asks by the profile's clock: a request is due when it is, however long earlier ones take.
func (p *player) askUntilTheEnd(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n, due := 0, time.Duration(0); due < p.Profile.Lasts; n++ {
		if wait := time.Until(p.began.Add(due)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		p.askOnce(ctx, n, due)
		gap := 1 / p.Profile.RateAt(due)
		if p.Poisson {
			gap *= p.random.ExpFloat64()
		}
		due += time.Duration(gap * float64(time.Second))
	}
}

// askOnce sends the request that is due, or counts it as unsent where too many are in flight.
func (p *player) askOnce(ctx context.Context, n int, due time.Duration) {
	class := scenario.Pick(p.random, len(p.Classes), func(i int) float64 { return p.Classes[i].Share })
	team := scenario.Pick(p.random, len(p.Teams), func(i int) float64 { return p.Teams[i].Share })
	if !p.reserve() {
		return
	}
	p.asking.Go(func() {
		late := time.Since(p.began) - due
		o := Outcome{At: due, Class: class}
		o.Status, o.Err = p.ask(ctx, p.client, n, class, team)
		o.Took = time.Since(p.began) - due
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight--
		p.report.count(o, late)
		if p.OnOutcome != nil {
			p.OnOutcome(o)
		}
	})
}

// reserve counts a request as in flight, or as unsent where the bound is reached.
func (p *player) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight >= p.MaxInFlight {
		p.report.Unsent++
		return false
	}
	p.inFlight++
	return true
}

func (r *Report) sumUp() {
	r.All.sumUp()
	for i := range r.Classes {
		r.Classes[i].sumUp()
	}
	for i := range r.Seconds {
		r.Seconds[i].sumUp()
	}
}

func (r *Report) count(o Outcome, late time.Duration) {
	r.All.count(o)
	r.Classes[o.Class].count(o)
	r.Seconds[int(o.At.Seconds())].count(o)
	r.Late = max(r.Late, float64(late.Microseconds())/1000)
}

func (l *Load) check() error {
	if err := l.Profile.Check(); err != nil {
		return err
	}
	if len(l.Classes) == 0 {
		return errors.New("no class of request")
	}
	shares := func(what string, n int, share func(int) float64) error {
		sum := 0.0
		for i := range n {
			sum += share(i)
		}
		if n > 0 && math.Abs(sum-1) > 0.001 {
			return fmt.Errorf("the shares of %s sum to %v, not 1", what, sum)
		}
		return nil
	}
	if l.MaxInFlight < 1 {
		return fmt.Errorf("%d requests under way: at least 1", l.MaxInFlight)
	}
	return errors.Join(shares("classes", len(l.Classes), func(i int) float64 { return l.Classes[i].Share }),
		shares("teams", len(l.Teams), func(i int) float64 { return l.Teams[i].Share }))
}

// ask asks once.
func (l *Load) ask(ctx context.Context, client *http.Client, n, class, team int) (status int, err error) {
	c := l.Classes[class]
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout+time.Second)
	defer stop()
	var body io.Reader
	if c.Body > 0 {
		body = strings.NewReader(strings.Repeat("x", c.Body))
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, l.URL, body)
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Txn", fmt.Sprintf("%s-%d", l.Run, n))
	r.Header.Set("X-Lane", c.Name)
	r.Header.Set("X-Remaining", fmt.Sprintf("%dm", c.Timeout.Milliseconds()))
	if c.Keyed {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", l.Run, n))
	}
	if len(l.Teams) > 0 {
		r.Header.Set("X-Org", l.Teams[team].Name)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, mostAnswer)); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}
