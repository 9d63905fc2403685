package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/sessions"
)

// EndpointState is how a proxy treats an endpoint in selection.
type EndpointState int

// The states.
const (
	Available EndpointState = iota
	SlowStart               // new, or back from ejection: sampled less often
	Ejected                 // its connections failed: it gets one trial call at a time
	Draining                // it gets no new calls
)

// EndpointStates lists the states.
func EndpointStates() []EndpointState {
	return []EndpointState{Available, SlowStart, Ejected, Draining}
}

// String is the state's label in the proxy's metrics, which is fixed.
func (s EndpointState) String() string {
	switch s {
	case Available:
		return "usable"
	case SlowStart:
		return "ramping"
	case Ejected:
		return "isolated"
	case Draining:
		return "leaving"
	}
	return "unknown"
}

// Bounds on what the pool keeps of endpoints that are no longer registered.
const (
	// absentGracePeriod is how long an endpoint stays in the pool after a complete update has not named it: a control process
	// that has just started may not have its session yet. Half or double: not measured.
	absentGracePeriod = 6 * time.Second
	// departedTTL is how long a deregistered endpoint's id is remembered. It must outlive any control process's lag behind the
	// others. Half or double: not measured.
	departedTTL = time.Minute
	// maxDeparted bounds how many such ids are remembered.
	maxDeparted = 16384
	// maxNotLoaded bounds the models that one endpoint is remembered to lack.
	maxNotLoaded = 256
)

// Endpoint is what a proxy knows of one incarnation of an endpoint.
type Endpoint struct {
	ID      string
	Address string
	Service string

	session     sessions.Endpoint // its last registered state
	absentSince time.Duration     // when a complete update first did not name it; 0 while updates do

	state          EndpointState
	slowStartSince time.Duration // start of SlowStart
	ejections      int           // in a row, without a call that reached it in between
	trialAt        time.Duration // when an ejected endpoint may get a trial call
	trialInFlight  bool

	callsInFlight        int                      // own calls
	callsWaiting         int                      // of them, those whose response has not started
	fullUntil            time.Duration            // it rejected a call for want of capacity and is passed over until then
	notLoadedUntil       map[string]time.Duration // models, with their adapters, that it rejected as not loaded
	reported             ReportedLoad
	reportedAt           time.Duration // 0 for never
	ownCallsWhenReported int           // own calls in flight when the load was reported
	othersLoad           float64       // of the other proxies' calls, by the control processes' sums
	othersLoadAt         time.Duration // 0 for never
	outcomes             outcomeHistory
}

// Pool is the table of endpoints that a proxy knows. It belongs to one goroutine.
type Pool struct {
	// HasIdleConnection reports whether there is an idle connection to an endpoint; nil where that is not known.
	HasIdleConnection func(id string) bool

	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	random    *rand.Rand

	// hasEndpoints and firstEndpointsAt say when the first endpoints became known. Those skip the slow start.
	hasEndpoints     bool
	firstEndpointsAt time.Duration

	// departed has the ids of deregistered endpoints and when they became known to be. A control process that still names
	// such an endpoint has not learnt of its end; taking it back would send calls to a process that has exited.
	departed map[string]time.Duration
}

// NewPool makes an empty pool that draws its random numbers from a generator of its own.
func NewPool(random *rand.Rand) *Pool {
	return &Pool{
		byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{},
		random: random, departed: map[string]time.Duration{},
	}
}

// Update applies sessions that a control process has sent. A complete update names all endpoints that the control process
// knows; one that it does not name is removed by Expire, unless a later update names it.
func (p *Pool) Update(now time.Duration, updated []sessions.Endpoint, complete bool) {
	named := map[string]bool{}
	for i := range updated {
		named[updated[i].ID] = true
		p.applySession(now, &updated[i])
	}
	if complete {
		p.markAbsent(now, named)
	}
	if len(updated) > 0 && !p.hasEndpoints {
		p.hasEndpoints, p.firstEndpointsAt = true, now
	}
}

func (p *Pool) markAbsent(now time.Duration, named map[string]bool) {
	for id, e := range p.byID {
		if !named[id] && e.absentSince == 0 {
			e.absentSince = now
		}
	}
}

// applySession takes one endpoint's session.
func (p *Pool) applySession(now time.Duration, session *sessions.Endpoint) {
	if session.State == sessions.Departed {
		p.removeDeparted(now, session.ID)
		return
	}
	if _, departed := p.departed[session.ID]; departed {
		return
	}
	e := p.byID[session.ID]
	if e == nil {
		e = p.add(now, session)
	}
	e.session, e.absentSince = *session, 0
	if session.State == sessions.Draining {
		e.state = Draining
	}
}

// add makes the entry of an endpoint that was not known.
func (p *Pool) add(now time.Duration, session *sessions.Endpoint) *Endpoint {
	e := &Endpoint{
		ID: session.ID, Address: session.Heartbeat.Address, Service: session.Heartbeat.Service,
		notLoadedUntil: map[string]time.Duration{},
	}
	if p.hasEndpoints && now-p.firstEndpointsAt > slowStartDuration {
		e.state, e.slowStartSince = SlowStart, now
	}
	p.byID[e.ID] = e
	p.byService[e.Service] = append(p.byService[e.Service], e)
	return e
}

// removeDeparted removes an endpoint that has deregistered, for good.
func (p *Pool) removeDeparted(now time.Duration, id string) {
	if len(p.departed) < maxDeparted {
		p.departed[id] = now
	}
	if e := p.byID[id]; e != nil {
		p.remove(e)
	}
}

func (p *Pool) remove(e *Endpoint) {
	e.state = Draining
	delete(p.byID, e.ID)
	isRemoved := func(other *Endpoint) bool { return other == e }
	p.byService[e.Service] = slices.DeleteFunc(slices.Clone(p.byService[e.Service]), isRemoved)
}

// Expire removes endpoints that updates have not named for longer than absentGracePeriod, and the ids of those that departed
// long ago.
func (p *Pool) Expire(now time.Duration) {
	for id, since := range p.departed {
		if now-since > departedTTL {
			delete(p.departed, id)
		}
	}
	for _, e := range p.byID {
		if e.absentSince != 0 && now-e.absentSince > absentGracePeriod {
			p.remove(e)
		}
	}
}

// Find returns the endpoint with an id, or nil.
func (p *Pool) Find(id string) *Endpoint { return p.byID[id] }

// CountByState counts the endpoints in each state.
func (p *Pool) CountByState() map[EndpointState]int {
	counts := map[EndpointState]int{}
	for _, e := range p.byID {
		counts[e.state]++
	}
	return counts
}

// CallsInFlight is the number of the proxy's own calls to an endpoint.
func (e *Endpoint) CallsInFlight() int { return e.callsInFlight }

// State is how the proxy treats the endpoint.
func (e *Endpoint) State() EndpointState { return e.state }
