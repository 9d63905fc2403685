// Package load generates an open-loop load: it sends requests to an HTTP/1.1 address at the rate of a
// profile, however long earlier requests take.
//
// Latencies count from the time at which a request was scheduled, not from the time at which it was sent. A
// request that is sent late because of slow earlier responses therefore counts with the delay that its caller
// would see. This avoids coordinated omission (Gil Tene, "How NOT to Measure Latency").
//
// The commands "load", "bench" and "demo" of dykering-lab use the package. The JSON keys of Report cannot
// change.
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
	// maxLatency is the largest latency that a histogram records. Longer ones are recorded as this.
	maxLatency = time.Hour
	// latencyDigits and secondLatencyDigits are the significant digits of the histograms of a class and of
	// a second.
	latencyDigits, secondLatencyDigits = 3, 2
	// maxResponseBytes is the number of bytes that are read of a response.
	maxResponseBytes = 64 << 20
	// maxSeconds is the largest duration of a profile, which limits the table of seconds.
	maxSeconds = 24 * 3600
	// maxRate is the largest rate of a profile in requests per second.
	maxRate = 1e6
	// timeoutMargin is how long the client waits after Class.Timeout, since a response that the server sends
	// in time arrives a little later.
	timeoutMargin = time.Second
)

// Profile describes how the request rate develops. Reports contain it with its Go names as JSON keys.
type Profile struct {
	// Steady, Ramp, Step or Spike.
	Kind string
	// Requests per second at the start, or outside of the spike.
	Rate float64
	// Requests per second at the end of a ramp, in the last step, or in the spike.
	To float64
	// The number of steps of the kind Step.
	Steps int
	// The duration.
	Lasts time.Duration
}

// The kinds of profile.
const (
	Steady = "steady" // Rate all the time
	Ramp   = "ramp"   // linear from Rate to To
	Step   = "step"   // from Rate to To in equal steps
	Spike  = "spike"  // To in the middle fifth of the duration, else Rate
)

// Check returns an error for the first invalid field.
func (p Profile) Check() error {
	switch {
	case p.Kind != Steady && p.Kind != Ramp && p.Kind != Step && p.Kind != Spike:
		return fmt.Errorf("unknown profile %q: the profiles are steady, ramp, step and spike", p.Kind)
	case !(p.Rate > 0 && p.Rate <= maxRate):
		return fmt.Errorf("rate %v must be above 0 and at most 1,000,000 requests per second", p.Rate)
	case p.Kind != Steady && !(p.To > 0 && p.To <= maxRate):
		return fmt.Errorf("the rate %v to which it goes must be above 0 and at most 1,000,000 requests per second", p.To)
	case p.Kind == Step && (p.Steps < 2 || p.Steps > 1000):
		return fmt.Errorf("%d steps: a step profile has 2 to 1000", p.Steps)
	case p.Lasts < time.Millisecond || p.Lasts > maxSeconds*time.Second:
		return fmt.Errorf("duration %v must be between a millisecond and a day", p.Lasts)
	}
	return nil
}

// RateAt returns the requests per second at a time from the start.
func (p Profile) RateAt(t time.Duration) float64 {
	elapsed := min(max(float64(t)/float64(p.Lasts), 0), 1) // share of the duration
	switch p.Kind {
	case Ramp:
		return p.Rate + (p.To-p.Rate)*elapsed
	case Step:
		step := math.Floor(min(elapsed*float64(p.Steps), float64(p.Steps-1)))
		return p.Rate + (p.To-p.Rate)*step/float64(p.Steps-1)
	case Spike:
		if elapsed >= 0.4 && elapsed < 0.6 {
			return p.To
		}
	}
	return p.Rate
}

// Class is a class of requests in the mix.
type Class struct {
	Name string
	// The share of all requests.
	Share  float64
	Method string
	// The time within which the client needs the response. The request announces it to the server.
	Timeout time.Duration
	// Whether requests carry an Idempotency-Key.
	Keyed bool
	// The size of the body in bytes.
	Body int
}

// Team is a tenant on whose behalf a share of the requests is sent.
type Team struct {
	Name  string
	Share float64
}

// Load describes the requests that Play sends.
type Load struct {
	URL     string
	Profile Profile
	Classes []Class
	// Empty for requests without a team.
	Teams []Team
	// Whether the intervals between requests are exponentially distributed. Otherwise they are equal.
	Poisson bool
	Seed    uint64
	// The number of requests in flight at a time. Further requests are counted and not sent.
	MaxInFlight int
	// The number of connections at a time; 0 for no limit.
	Conns int
	// The prefix of the request ids.
	Run string

	// OnOutcome is called with each outcome, by one goroutine at a time. It may be nil.
	OnOutcome func(Outcome)
}

// Outcome is the outcome of one request.
type Outcome struct {
	// When the request was scheduled, from the start of the load.
	At time.Duration
	// The time from At to the end of the response.
	Took time.Duration
	// The index in Load.Classes.
	Class int
	// 0 if no complete response arrived.
	Status int
	Err    error
}

// Second counts the requests that were scheduled in one second.
type Second struct {
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	P50     float64 `json:"p50"` // milliseconds, of all responses
	P99     float64 `json:"p99"`

	latencies *hdrhistogram.Histogram
}

// ClassReport holds the results of a class, or of all requests.
type ClassReport struct {
	Name     string         `json:"name"`
	Asked    int            `json:"asked"`
	Served   int            `json:"served"`  // status 200
	Refused  int            `json:"refused"` // status 429 or 503
	Failed   int            `json:"failed"`  // other statuses
	Lost     int            `json:"lost"`    // no complete response
	Statuses map[int]int    `json:"statuses"`
	Errors   map[string]int `json:"errors,omitempty"`
	Mean     float64        `json:"mean"` // milliseconds, of served requests
	P50      float64        `json:"p50"`
	P90      float64        `json:"p90"`
	P99      float64        `json:"p99"`
	P999     float64        `json:"p999"`
	Max      float64        `json:"max"`

	latencies *hdrhistogram.Histogram
}

// Report is the result of a load.
type Report struct {
	Profile Profile       `json:"profile"`
	Took    float64       `json:"took"`   // seconds until the last response
	Unsent  int           `json:"unsent"` // requests that exceeded Load.MaxInFlight
	Late    float64       `json:"late"`   // the largest delay in milliseconds from scheduling to sending: the lag of this tool
	All     ClassReport   `json:"all"`
	Classes []ClassReport `json:"classes"`
	Seconds []Second      `json:"seconds"`
}

func newClassReport(name string) ClassReport {
	return ClassReport{Name: name, Statuses: map[int]int{}, Errors: map[string]int{}, latencies: newHistogram(latencyDigits)}
}

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

// maxErrorTexts is the number of error texts that are counted separately. Further ones count as "others".
const maxErrorTexts = 20

func (c *ClassReport) count(o Outcome) {
	c.Asked++
	c.Statuses[o.Status]++
	switch {
	case o.Status == http.StatusOK:
		c.Served++
		c.latencies.RecordValue(min(o.Took, maxLatency).Microseconds()) // cannot fail within the bounds
	case o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests:
		c.Refused++
	case o.Status == 0:
		c.Lost++
		text := rootCause(o.Err)
		if _, ok := c.Errors[text]; !ok && len(c.Errors) >= maxErrorTexts {
			text = "others"
		}
		c.Errors[text]++
	default:
		c.Failed++
	}
}

// rootCause returns the text of the innermost error. It lacks the addresses of the outer errors, which
// differ from request to request.
func rootCause(err error) string {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return fmt.Sprint(err)
}

// percentileMs returns a percentile of a histogram in milliseconds.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// summarize computes the statistics of the latencies.
func (c *ClassReport) summarize() {
	h := c.latencies
	c.Mean, c.Max = h.Mean()/1000, float64(h.Max())/1000
	c.P50, c.P90, c.P99, c.P999 = percentileMs(h, 50), percentileMs(h, 90), percentileMs(h, 99), percentileMs(h, 99.9)
}

func (s *Second) count(o Outcome) {
	if s.latencies == nil {
		s.latencies = newHistogram(secondLatencyDigits)
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
	s.latencies.RecordValue(min(o.Took, maxLatency).Microseconds())
}

// summarize computes the percentiles and releases the histogram. A load of an hour has 3,600 of them.
func (s *Second) summarize() {
	if s.latencies != nil {
		s.P50, s.P99 = percentileMs(s.latencies, 50), percentileMs(s.latencies, 99)
		s.latencies = nil
	}
}

// player is one run of a Load.
type player struct {
	*Load
	client   *http.Client
	random   *rand.Rand
	began    time.Time
	requests sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	report   *Report
	inFlight int
}

// Play sends requests until the profile or the context ends, and waits for the last response.
func (l *Load) Play(ctx context.Context) (*Report, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: max(l.Conns, 1024), MaxConnsPerHost: l.Conns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r := &Report{Profile: l.Profile, All: newClassReport("all"), Seconds: make([]Second, 1+int(l.Profile.Lasts.Seconds()))}
	for _, c := range l.Classes {
		r.Classes = append(r.Classes, newClassReport(c.Name))
	}
	p := &player{Load: l, client: client, random: rand.New(rand.NewPCG(l.Seed, 0)), report: r, began: time.Now()}
	p.sendScheduled(ctx)
	p.requests.Wait()
	r.Took = time.Since(p.began).Seconds()
	r.summarize()
	return r, nil
}

// sendScheduled sends requests at the times of the profile, however long earlier requests take.
func (p *player) sendScheduled(ctx context.Context) {
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
		p.start(ctx, n, due)
		interval := 1 / p.Profile.RateAt(due)
		if p.Poisson {
			interval *= p.random.ExpFloat64()
		}
		due += time.Duration(interval * float64(time.Second))
	}
}

// start starts the request number n, or counts it as unsent if too many requests are in flight.
func (p *player) start(ctx context.Context, n int, due time.Duration) {
	class := scenario.Pick(p.random, len(p.Classes), func(i int) float64 { return p.Classes[i].Share })
	team := scenario.Pick(p.random, len(p.Teams), func(i int) float64 { return p.Teams[i].Share })
	if !p.reserve() {
		return
	}
	p.requests.Go(func() {
		late := time.Since(p.began) - due
		o := Outcome{At: due, Class: class}
		o.Status, o.Err = p.send(ctx, p.client, n, class, team)
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

// reserve counts a request as in flight and returns true. If the limit is reached, it counts the request as
// unsent and returns false.
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

func (r *Report) summarize() {
	r.All.summarize()
	for i := range r.Classes {
		r.Classes[i].summarize()
	}
	for i := range r.Seconds {
		r.Seconds[i].summarize()
	}
}

func (r *Report) count(o Outcome, late time.Duration) {
	r.All.count(o)
	r.Classes[o.Class].count(o)
	r.Seconds[int(o.At.Seconds())].count(o)
	r.Late = max(r.Late, float64(late.Microseconds())/1000)
}

// check returns an error if the load cannot be played.
func (l *Load) check() error {
	if err := l.Profile.Check(); err != nil {
		return err
	}
	if len(l.Classes) == 0 {
		return errors.New("the load has no class of requests")
	}
	checkShares := func(name string, n int, share func(int) float64) error {
		sum := 0.0
		for i := range n {
			sum += share(i)
		}
		if n > 0 && math.Abs(sum-1) > 0.001 {
			return fmt.Errorf("the shares of %s sum to %v, not 1", name, sum)
		}
		return nil
	}
	if l.MaxInFlight < 1 {
		return fmt.Errorf("the limit of %d requests in flight must be at least 1", l.MaxInFlight)
	}
	return errors.Join(checkShares("classes", len(l.Classes), func(i int) float64 { return l.Classes[i].Share }),
		checkShares("teams", len(l.Teams), func(i int) float64 { return l.Teams[i].Share }))
}

// send sends the request number n and returns the status of the response. The end of ctx does not cancel
// the request.
func (l *Load) send(ctx context.Context, client *http.Client, n, class, team int) (status int, err error) {
	c := l.Classes[class]
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), c.Timeout+timeoutMargin)
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
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxResponseBytes)); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}
