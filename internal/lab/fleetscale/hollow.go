package fleetscale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dykering/internal/feed"
	"dykering/internal/peerlink"
	"dykering/internal/sessions"
)

// counted counts what is read from a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// sidecar is a hollow sidecar: it follows the stream and counts.
type sidecar struct {
	name     string
	bytes    atomic.Int64
	messages atomic.Int64
	streams  atomic.Int64 // that have brought an update

	mu       sync.Mutex
	version  int64
	versions map[int64]time.Time // when a version came in force
	drained  map[string]time.Time
	known    int // endpoints
	whole    int64
	conn     *peerlink.Conn // its stream; nil for none
	started  time.Time      // when it was last restarted
	ready    time.Time      // when it had all again
}

func newSidecar(name string) *sidecar {
	return &sidecar{name: name, versions: map[int64]time.Time{}, drained: map[string]time.Time{}}
}

// follow keeps a stream until the context ends.
func (s *sidecar) follow(ctx context.Context, controls []*control) {
	at := rand.IntN(len(controls))
	for ctx.Err() == nil {
		s.stream(ctx, controls[at%len(controls)])
		at++
		time.Sleep(20*time.Millisecond + rand.N(80*time.Millisecond))
	}
}

func (s *sidecar) stream(ctx context.Context, c *control) {
	dialer := net.Dialer{Timeout: 300 * time.Millisecond}
	raw, err := dialer.DialContext(ctx, "tcp", c.internal)
	if err != nil {
		return
	}
	conn := peerlink.NewConn(counted{raw, &s.bytes})
	defer conn.Close()
	s.mu.Lock()
	s.conn = conn
	s.mu.Unlock()
	if conn.Send(feed.Subscribe{Name: s.name}, callWithin) != nil {
		return
	}
	ack, reportAt := feed.Ack{}, time.Now()
	first := true
	for ctx.Err() == nil {
		message, err := conn.Receive(callWithin)
		if err != nil {
			return
		}
		update, ok := message.(feed.Update)
		if !ok || update.Leaving {
			return
		}
		if first {
			first = false
			s.streams.Add(1)
		}
		s.messages.Add(1)
		s.take(update)
		ack.Revision = update.Revision
		if conn.Send(ack, callWithin) != nil {
			return
		}
		if time.Since(reportAt) > 250*time.Millisecond {
			reportAt = time.Now()
			if conn.Send(demand(s.name), callWithin) != nil {
				return
			}
		}
	}
}

// restart has the sidecar forget all that it knows and break its stream, as a process that ends and starts again.
func (s *sidecar) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.known = 0, 0
	s.started, s.ready = time.Now(), time.Time{}
	if s.conn != nil {
		s.conn.Close()
	}
}

// restarted tells whether the sidecar was restarted, and how long it took to have a configuration and endpoints again.
func (s *sidecar) restarted() (took time.Duration, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() || s.ready.IsZero() {
		return 0, false
	}
	return s.ready.Sub(s.started), true
}

// demand is a report as one of 340 sidecars makes that share 7,200 requests a second.
func demand(name string) feed.DemandReport {
	report := feed.DemandReport{From: name}
	for range 5 {
		report.Demands = append(report.Demands, feed.Demand{Service: "s", Model: fmt.Sprintf("m%d", rand.IntN(52)), Requests: 1, InFlight: 1, Tokens: 3000})
	}
	for range 20 {
		report.Loads = append(report.Loads, feed.EndpointLoad{ID: fmt.Sprintf("i-%d", rand.IntN(620)), InFlight: 1, Waiting: rand.IntN(2)})
	}
	return report
}

func (s *sidecar) take(update feed.Update) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if !s.started.IsZero() && s.ready.IsZero() && s.known > 0 && s.version > 0 {
			s.ready = now
		}
	}()
	if update.Whole {
		s.known, s.whole = len(update.Endpoints), s.bytes.Load()
	}
	if c := update.Configuration; c != nil && c.Document.Version > s.version {
		s.version = c.Document.Version
		s.versions[s.version] = now
	}
	for _, e := range update.Endpoints {
		if _, heard := s.drained[e.ID]; e.State == sessions.Draining && !heard {
			s.drained[e.ID] = now
		}
	}
}

// endpoints are the hollow endpoints of this process.
type endpoints struct {
	controls []*control
	client   *http.Client
	options  Options
	heard    sync.Map // ids that were acknowledged
	count    atomic.Int64
	draining sync.Map // ids
}

func newEndpoints(ctx context.Context, controls []*control, options Options) *endpoints {
	e := &endpoints{controls: controls, options: options, client: &http.Client{Timeout: time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for i := range options.Endpoints {
		go e.beat(ctx, fmt.Sprintf("i-%d", i))
	}
	return e
}

func (e *endpoints) beat(ctx context.Context, id string) {
	time.Sleep(rand.N(heartbeat))
	for sequence := 1; ctx.Err() == nil; sequence++ {
		state := sessions.Ready
		if _, draining := e.draining.Load(id); draining {
			state = sessions.Draining
		}
		for _, at := range rand.Perm(len(e.controls)) {
			if e.post(ctx, e.controls[at], id, sequence, state) {
				break
			}
		}
		time.Sleep(heartbeat)
	}
}

func (e *endpoints) post(ctx context.Context, c *control, id string, sequence int, state sessions.State) bool {
	var models []string
	var number int
	if _, err := fmt.Sscanf(id, "i-%d", &number); err != nil {
		return false
	}
	for k := range 3 {
		models = append(models, fmt.Sprintf(`{"name":"m%d","version":1,"adapters":["a1","a2"]}`, (3*number+k)%max(e.options.Models, 1)))
	}
	body := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z0","version":"v1","slots":64,"state":%q,"stage":"both","models":[%s],"sequence":%d}`,
		state, strings.Join(models, ","), sequence)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.external+"/instances/"+id+"/heartbeat", strings.NewReader(body))
	if err != nil {
		return false
	}
	response, err := e.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	if _, again := e.heard.LoadOrStore(id, true); !again {
		e.count.Add(1)
	}
	return true
}

// settle waits until all have been acknowledged.
func (e *endpoints) settle(ctx context.Context) error {
	return wait(ctx, startWithin, "endpoints to be heard", func() bool { return int(e.count.Load()) == e.options.Endpoints })
}

// operator changes the configuration.
type operator struct {
	controls []*control
	client   *http.Client
	version  int64
	ackedAt  time.Time // of the last change
}

func newOperator(controls []*control) *operator {
	return &operator{controls: controls, client: &http.Client{Timeout: time.Second}}
}

// change sends a configuration until it is taken.
func (o *operator) change(ctx context.Context, document func(version int64) string) error {
	base := o.version
	o.version += 2
	body := document(o.version)
	err := wait(ctx, startWithin, "a change to be taken", func() bool {
		c := o.controls[rand.IntN(len(o.controls))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.external+"/configuration/replace", strings.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("X-Base-Version", fmt.Sprint(base))
		response, err := o.client.Do(request)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	o.ackedAt = time.Now()
	return err
}

// wait looks until something is so.
func wait(ctx context.Context, within time.Duration, what string, done func() bool) error {
	until := time.Now().Add(within)
	for !done() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(until) {
			return errors.Errorf("waited %v for %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
