package core

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/decision"
)

const (
	// clockStart is the event clock at the start of the process. It is well above 0, so that an endpoint
	// that started shortly before this sidecar did has a start above 0 too: 0 stands for long past.
	clockStart     = 24 * time.Hour
	eventQueueSize = 1024
	sweepInterval  = time.Second
	// anewEvery is how long discovery is not asked anew once it was, as a watch has brought an older whole list; twice as
	// long each time that this goes on, up to anewMost.
	resyncBackoffMin = 3 * time.Second
	resyncBackoffMax = 30 * time.Second
)

// Loop owns the Balancer and all state that goes with it: one goroutine runs the functions in events, and
// only it touches the fields from ended on. It is the Balancer's Host.
type Loop struct {
	events       chan func()
	done         chan struct{} // closed when the loop has ended
	closing      sync.Once
	origin       time.Time // zero of the event clock
	config       Config
	log          *zap.Logger
	upstream     Upstream
	newDiscovery NewDiscovery
	lifecycle    *Lifecycle

	closed           bool          // Close has been done: nothing more is
	drainDeadline    time.Time     // when all must be answered; zero unless this process was told to stop
	revision         uint64        // version of the list that the Balancer has
	resyncAt         time.Time     // when discovery was last asked anew, as a watch brought an older whole list,
	resyncBackoff    time.Duration // not again for so long after it,
	resyncPending    bool          // and then once more
	awaitingFullList bool          // that list is another discovery's than the one that is followed now
	balancer         *decision.Balancer
	calls            map[decision.RequestID]*Call
	recent           recentIDs
	endpoints        *endpointTable
	pool             pool
	adopted          map[*Attempt]bool // that the process before has begun
	discovery        Discovery
	discoveryAddress string // of discovery
}

// New makes a loop, or names the setting that cannot be acted on.
func New(c Config, up Upstream, discover NewDiscovery) (*Loop, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Loop{
		events: make(chan func(), eventQueueSize), done: make(chan struct{}), origin: time.Now().Add(-clockStart), config: c, log: c.Log, upstream: up,
		newDiscovery: discover, lifecycle: newLifecycle(c.Log), calls: map[decision.RequestID]*Call{},
		adopted: map[*Attempt]bool{}, discoveryAddress: c.DiscoveryAddress, resyncBackoff: resyncBackoffMin,
	}
	l.endpoints = newEndpointTable(c.Settings.Zones, c.Settings.Models, l.origin, c.Log)
	l.pool = newPool(&c.Settings, c.Limits.MaxOutbound())
	l.discovery = discover(c.DiscoveryAddress, l)
	var err error
	l.balancer, err = decision.New(c.Settings.Settings, c.Seed, l)
	return l, err
}

// Lifecycle is that of the process.
func (l *Loop) Lifecycle() *Lifecycle { return l.lifecycle }

func (l *Loop) now() time.Duration { return time.Since(l.origin) }

// Post hands an event to the loop. Only other goroutines may call it; it blocks while the queue is full, and does
// nothing once the loop has ended.
func (l *Loop) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// look has the loop tell something; the zero value once it has ended.
func look[T any](l *Loop, tell func() T) (told T) {
	got := make(chan T, 1)
	l.Post(func() { got <- tell() })
	select {
	case told = <-got:
	case <-l.done:
	}
	return told
}

// Close ends the loop, once it has let go of discovery, of what is out and of its idle connections. What is posted
// later is not done: nobody is owed anything by then.
func (l *Loop) Close() {
	l.closing.Do(func() {
		l.Post(func() {
			l.discovery.Stop()
			for _, c := range l.calls {
				if c.attempt != nil {
					c.attempt.Cancel()
				}
			}
			for e := range l.pool.idle {
				l.pool.closeIdle(e)
			}
			l.closed = true
			close(l.done)
		})
	})
}

// Run handles events until Close.
func (l *Loop) Run() {
	l.applyList(l.config.CachedList, FromCache)
	if !l.config.Settings.PullDiscovery {
		l.discovery.Watch(l.watchFrom())
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case event := <-l.events:
			event()
			if l.closed {
				return
			}
		case <-sweep.C:
			l.pool.sweep(time.Now())
		}
	}
}

// Arrive takes a call from its front, that came whole, or with the beginning of a long body, at a time.
func (l *Loop) Submit(c *Call, received time.Time) { l.Post(func() { l.submit(c, received) }) }

func (l *Loop) submit(c *Call, received time.Time) {
	switch limit := l.config.Settings.OpenCap; {
	case l.calls[c.ID] != nil || l.recent.has(c.ID, l.now()):
		c.Answered <- Answer{} // the id is taken: nothing may be promised of it
		return
	case limit > 0 && len(l.calls) >= limit:
		c.Answered <- RejectedAnswer(&l.config.Settings)
		return
	}
	c.Deadline = received.Add(c.Remaining - l.config.Settings.GraceToAnswer)
	c.Remaining = time.Until(c.Deadline) // also where this process ends before: the Balancer knows
	c.limitDeadline(l.drainDeadline)
	l.calls[c.ID] = c
	l.balancer.Request(l.now(), c.Request)
}

// Leave has everything answered by a given time, as the process ends then; succeeded tells whether another one
// serves in its place already. What is out at that time is called off.
func (l *Loop) Drain(end time.Time, succeeded bool) { l.Post(func() { l.drain(end, succeeded) }) }

func (l *Loop) drain(end time.Time, succeeded bool) {
	l.drainDeadline = end
	for _, c := range l.calls {
		c.limitDeadline(end)
	}
	l.balancer.Drain(l.now(), end.Sub(l.origin), succeeded)
	time.AfterFunc(time.Until(end), func() {
		l.Post(func() {
			for _, c := range l.calls {
				// A long answer that has begun goes on for as long as this process does: to cut it off would lose it.
				if c.attempt != nil && !c.answered {
					c.attempt.Cancel()
				}
			}
			for a := range l.adopted {
				if !a.isStreaming() {
					a.Cancel()
				}
			}
		})
	})
}

// Lapse tells that a call's client has gone: nothing is owed.
func (l *Loop) Abandon(c *Call) { l.Post(func() { l.abandon(c) }) }

func (l *Loop) abandon(c *Call) {
	if l.calls[c.ID] != c || c.answered {
		select {
		case a := <-c.Answered: // crossed the client's going
			a.Discard()
		default:
		}
		return
	}
	c.answered = true
	if c.attempt != nil {
		c.attempt.Cancel() // nobody waits for it any more; its outcome follows
	}
	l.balancer.Abandoned(l.now(), c.ID)
	l.forget(c)
}

// closed takes the end of an attempt, whose connection has been given back.
func (l *Loop) attemptEnded(a *Attempt, res Result) {
	c := a.Call
	c.attempt = nil
	final := c.answered
	switch {
	case res.Response == nil:
	case res.Status == decision.OK && !c.answered:
		final = true
		l.finish(c, Answer{Response: res.Response})
	default:
		res.Response.Discard()
	}
	if line := l.log.Check(zap.DebugLevel, "attempt.ended"); line != nil {
		line.Write(append(l.logFields(c), zap.Uint32("endpoint", uint32(a.Endpoint.ID)), zap.Int("attempt", a.number),
			zap.Stringer("status", res.Status), zap.Duration("took", res.Elapsed))...)
	}
	l.balancer.Outcome(l.now(), decision.Outcome{
		ID: c.ID, Endpoint: a.Endpoint.ID, Attempt: a.number, Final: final,
		Elapsed: res.Elapsed, Status: res.Status, Load: res.Load, NotReplayable: res.NotReplayable,
	})
	l.forget(c)
}

// Written tells the Balancer that a long body is out: the client's time, and the endpoint's, count from now.
func (l *Loop) RequestSent(a *Attempt) {
	received := time.Now()
	l.Post(func() {
		c := a.Call
		if c.attempt != a {
			return
		}
		c.Deadline = received.Add(c.Remaining)
		c.limitDeadline(l.drainDeadline)
		a.SetDeadline(c.Deadline)
		l.balancer.RequestSent(l.now(), c.ID, time.Until(c.Deadline))
	})
}

// Begin gives a call a long answer, that its front passes on as it comes.
func (l *Loop) StartResponse(a *Attempt, response Response) {
	l.Post(func() {
		c := a.Call
		if c.answered || a.Ctx.Err() != nil { // given up in this moment
			response.Discard()
			return
		}
		l.balancer.ResponseStarted(l.now(), c.ID, a.number, a.Endpoint.ID)
		l.finish(c, Answer{Response: response})
	})
}

func (l *Loop) finish(c *Call, a Answer) {
	if c.answered {
		return
	}
	c.answered = true
	if line := l.log.Check(zap.DebugLevel, "call.answered"); line != nil {
		line.Write(append(l.logFields(c), zap.Bool("served", a.Response != nil), zap.Bool("refused", a.Retryable),
			zap.Duration("retry_after", a.RetryAfter))...)
	}
	c.Answered <- a
}

// fields are what the log says of a call.
func (l *Loop) logFields(c *Call) []zap.Field {
	f := []zap.Field{zap.String("request", string(c.ID)), zap.String("class", l.config.Settings.Classes[c.Class].Name)}
	if c.Tenant < len(l.config.Settings.Tenants) {
		f = append(f, zap.String("tenant", l.config.Settings.Tenants[c.Tenant].Name))
	}
	return f
}

// forget drops a call that nothing is owed to and nothing is out for.
func (l *Loop) forget(c *Call) {
	if c.answered && c.attempt == nil && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		l.recent.add(c.ID, l.now())
	}
}

const (
	recentIDsFor = 10 * time.Second
	maxRecentIDs = 4096
)

// past holds the ids of requests that have ended a short while ago. An id is new with every request: one that
// comes again is another's, and endpoints may run it twice or turn it away.
type recentIDs struct {
	endedAt map[decision.RequestID]time.Duration
	order   []decision.RequestID // in the order in which they ended
}

func (p *recentIDs) add(id decision.RequestID, now time.Duration) {
	if p.endedAt == nil {
		p.endedAt = map[decision.RequestID]time.Duration{}
	}
	for len(p.order) > 0 && (len(p.order) >= maxRecentIDs || now-p.endedAt[p.order[0]] > recentIDsFor) {
		delete(p.endedAt, p.order[0])
		p.order = p.order[1:]
	}
	p.endedAt[id] = now
	p.order = append(p.order, id)
}

func (p *recentIDs) has(id decision.RequestID, now time.Duration) bool {
	at, ok := p.endedAt[id]
	return ok && now-at <= recentIDsFor
}

// The methods below are the Host. They never block and never call the Balancer.

func (l *Loop) Send(id decision.RequestID, to decision.EndpointID, timeout, within time.Duration) {
	c := l.calls[id]
	a := NewAttempt(c, l.endpoints.byID[to], timeout, l)
	if within > 0 {
		a.SendBy = a.sentAt.Add(within)
	}
	c.attempts++
	c.attempt = a
	conn, ok := l.pool.acquire(a.Endpoint, a.sentAt)
	go func() {
		defer a.Close()
		res := Result{Status: decision.NotSent}
		if ok {
			res = l.upstream.Send(a, conn)
		}
		l.Post(func() {
			if ok { // else it never had a place
				l.pool.release(a.Endpoint, res.Conn)
			}
			l.attemptEnded(a, res)
		})
	}()
}

func (l *Loop) Refuse(id decision.RequestID, retryAfter time.Duration) {
	l.end(id, Answer{Retryable: true, RetryAfter: retryAfter})
}

func (l *Loop) Fail(id decision.RequestID) { l.end(id, Answer{}) }

func (l *Loop) end(id decision.RequestID, a Answer) {
	if c := l.calls[id]; c != nil {
		l.finish(c, a)
		l.forget(c)
	}
}

func (l *Loop) Cancel(id decision.RequestID, number int) {
	if c := l.calls[id]; c != nil && c.attempt != nil && c.attempt.number == number {
		c.attempt.Cancel()
	}
}

func (l *Loop) SetTimer(token uint64, after time.Duration) {
	time.AfterFunc(after, func() {
		l.Post(func() { l.balancer.Timer(l.now(), token) })
	})
}

func (l *Loop) Watch(on bool) {
	l.discovery.Stop()
	if on {
		l.discovery.Watch(l.watchFrom())
	}
}

func (l *Loop) Fetch() { l.discovery.Fetch() }

func (l *Loop) Log(text string) { l.log.Info("decision.note", zap.String("text", text)) }

// Follow turns to the discovery at another address. Its versions may count otherwise, so its whole list is
// asked for, and nothing that the old one still says is heard. Until that comes, the list stays as it is.
func (l *Loop) SwitchDiscovery(address string) { l.Post(func() { l.switchDiscovery(address) }) }

func (l *Loop) switchDiscovery(address string) {
	l.discovery.Stop()
	l.discovery, l.discoveryAddress = l.newDiscovery(address, l), address
	l.awaitingFullList = true
	l.discovery.Fetch()
	if l.config.Settings.PullDiscovery {
		l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList}) // it watches in its own time
		return
	}
	l.discovery.Watch(nil)
}

// place is where a watch goes on from: the version of the list, nil for the whole list.
func (l *Loop) watchFrom() *uint64 {
	if l.awaitingFullList {
		return nil
	}
	rev := l.revision
	return &rev
}

// Listed takes what the discovery that is followed says.
func (l *Loop) ListReceived(from Discovery, got List, how Source) {
	if from == l.discovery {
		l.applyList(got, how)
	}
}

// ListFailed takes its word that it could not be asked.
func (l *Loop) ListFailed(from Discovery, err error) {
	if from != l.discovery {
		return
	}
	l.log.Warn("discovery.failed", zap.Error(err))
	l.balancer.Targets(l.now(), decision.List{Kind: decision.FailedList})
}

// targets takes a list in, first into the table of endpoints, so that what the Balancer then sends finds
// its address.
func (l *Loop) applyList(got List, from Source) {
	anew := l.awaitingFullList
	switch {
	case l.awaitingFullList && !got.Full:
		return // changes to a list that the Balancer has not got
	case l.awaitingFullList:
		l.awaitingFullList = false
		if from == FromFetch && !l.config.Settings.PullDiscovery {
			// The watch may have brought changes before this list, that were passed over.
			l.discovery.Stop()
			l.discovery.Watch(&got.Rev)
		}
	case from == FromFetch && got.Rev < l.revision || from == FromWatch && !got.Full && got.Rev <= l.revision:
		return // older than what the Balancer has: an endpoint that left would come back
	case from == FromWatch && got.Rev < l.revision:
		// It was under way for longer than a fetch, or discovery has begun to count anew: what is asked for now tells.
		l.resync()
		return
	}
	l.revision = got.Rev
	entries, retired := l.endpoints.update(got)
	for _, e := range retired {
		l.pool.closeIdle(e)
	}
	kind := decision.DeltaList
	switch {
	case from == FromCache:
		kind = decision.CachedList
	case got.Full:
		kind = decision.FullList
	}
	l.balancer.Targets(l.now(), decision.List{Kind: kind, Version: got.Rev, VersionsRestart: anew, Entries: entries})
	if from != FromCache || len(entries) > 0 {
		l.lifecycle.listReceived()
	}
}

// askAnew asks discovery for its whole list, whatever its version: at once, or, where that was done a short while ago,
// when the pause is over and nothing newer has come. Where a copy of discovery lags, an older list comes each time.
func (l *Loop) resync() {
	switch since := time.Since(l.resyncAt); {
	case l.resyncPending:
	case since < l.resyncBackoff:
		l.resyncPending = true
		from, rev := l.discovery, l.revision
		time.AfterFunc(l.resyncBackoff-since, func() {
			l.Post(func() {
				if l.resyncPending = false; from == l.discovery && rev == l.revision {
					l.resyncBackoff = min(2*l.resyncBackoff, resyncBackoffMax)
					l.resyncAt = time.Now()
					l.switchDiscovery(l.discoveryAddress)
				}
			})
		})
	default:
		if since > 2*resyncBackoffMax {
			l.resyncBackoff = resyncBackoffMin
		}
		l.resyncAt = time.Now()
		l.switchDiscovery(l.discoveryAddress)
	}
}

// Adopt notes an attempt that the process before has begun, and Disown that it has ended. Its connection has a place
// that was reserved.
func (l *Loop) AdoptAttempt(a *Attempt) { l.Post(func() { l.adopted[a] = true }) }

func (l *Loop) AdoptedEnded(a *Attempt) {
	l.Post(func() {
		delete(l.adopted, a)
		l.pool.total--
	})
}

// Reserve takes a place for a connection to an endpoint that the process before has made, and Unreserve gives it
// back.
func (l *Loop) ReserveConn() bool {
	return look(l, l.pool.reserve)
}

func (l *Loop) ReleaseConn() { l.Post(func() { l.pool.total-- }) }

// Stats is what a loop holds.
type Stats struct {
	Calls            int                    // not yet answered, or with an attempt out
	Attempts         int                    // attempts
	Phases           [AttemptPhaseCount]int // of them
	Queued           int                    // calls that wait for their first attempt
	AwaitingRetry    int                    // calls that wait for a further one
	Conns            int                    // to endpoints
	IdleConns        int                    // of them
	Revision         uint64
	AwaitingFullList bool   // a list of the discovery that is followed is still to come
	DiscoveryAddress string // its address
	Endpoints        []EndpointStats
}

// EndpointStats is what a loop holds of an endpoint.
type EndpointStats struct {
	ID        decision.EndpointID
	Address   string
	Open      bool // it may get new attempts
	IdleConns int  // connections
}

// Stats looks at what the loop holds.
func (l *Loop) Stats() Stats {
	return look(l, func() Stats {
		s := Stats{Calls: len(l.calls), Attempts: len(l.adopted), Conns: l.pool.total, IdleConns: l.pool.oldestFirst.Len(), Revision: l.revision,
			AwaitingFullList: l.awaitingFullList, DiscoveryAddress: l.discoveryAddress}
		for _, c := range l.calls {
			switch {
			case c.attempt != nil:
				s.Attempts++
				s.Phases[c.attempt.phase.Load()]++
			case c.attempts > 0:
				s.AwaitingRetry++
			default:
				s.Queued++
			}
		}
		for _, e := range l.endpoints.byID {
			s.Endpoints = append(s.Endpoints, EndpointStats{ID: e.ID, Address: e.Address, Open: e.IsOpen(),
				IdleConns: len(l.pool.idle[e])})
		}
		return s
	})
}
