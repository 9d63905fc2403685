package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/sessions"
)

// EndpointState determines how selection treats an endpoint.
type EndpointState int

// The states of an endpoint in selection.
const (
	Available EndpointState = iota // the endpoint is selected normally
	SlowStart                      // the endpoint is new, or its ejection has ended; it is sampled less often
	Ejected                        // a connection to the endpoint has failed; it gets only trial calls, one at a time
	Draining                       // the endpoint gets no new calls
)

// EndpointStates returns all states.
func EndpointStates() []EndpointState {
	return []EndpointState{Available, SlowStart, Ejected, Draining}
}

// String returns the label of the state in the proxy's metrics. The labels are part of the metrics' format and differ from
// the names of the constants.
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

// Retention times and bounds of the pool's tables.
const (
	// absentGracePeriod is how long an endpoint stays in the pool after a complete update did not contain it. A control process
	// that has just started may not have received the endpoint's session yet.
	absentGracePeriod = 6 * time.Second
	// departedTTL is how long the ID of a deregistered endpoint is remembered. It must be longer than one control process can
	// lag behind the others.
	departedTTL = time.Minute
	// maxDeparted is the maximum number of remembered IDs of deregistered endpoints.
	maxDeparted = 16384
	// maxNotLoaded bounds the models and adapters that one endpoint is remembered not to have loaded.
	maxNotLoaded = 256
)

// Endpoint holds a proxy's knowledge of one incarnation of an endpoint.
type Endpoint struct {
	ID      string
	Address string
	Service string

	session     sessions.Endpoint // the last received session
	absentSince time.Duration     // when a complete update first did not contain the endpoint; 0 if none has since its last update

	state          EndpointState
	slowStartSince time.Duration // when the state became SlowStart
	ejections      int           // consecutive ejections, without a call that reached the endpoint in between
	trialAt        time.Duration // when an ejected endpoint may get its next trial call
	trialInFlight  bool

	callsInFlight        int                      // this proxy's calls in flight
	callsWaiting         int                      // this proxy's calls in flight whose response has not started
	fullUntil            time.Duration            // end of the backoff after a rejection for lack of capacity
	notLoadedUntil       map[string]time.Duration // by loadedKey: until when a rejection as not loaded counts
	reported             ReportedLoad
	reportedAt           time.Duration // 0 if the endpoint has reported no load
	ownCallsWhenReported int           // this proxy's calls in flight at reportedAt
	othersLoad           float64       // other proxies' load, from the last FleetLoad
	othersLoadAt         time.Duration // 0 if no FleetLoad has been received
	outcomes             outcomeHistory
}

// Pool is the table of endpoints that a proxy knows. It is not safe for concurrent use.
type Pool struct {
	// HasIdleConnection reports whether the proxy has an idle connection to an endpoint. If it is nil, selection does not
	// consider connections.
	HasIdleConnection func(id string) bool

	byID      map[string]*Endpoint
	byService map[string][]*Endpoint
	random    *rand.Rand

	// hasEndpoints and firstEndpointsAt record whether and when the pool got its first endpoints. Endpoints that are added
	// within slowStartDuration of firstEndpointsAt skip the slow start.
	hasEndpoints     bool
	firstEndpointsAt time.Duration

	// departed maps the IDs of deregistered endpoints to the time at which the pool learned of the deregistration. A lagging
	// control process may still send the session of such an endpoint; adding the endpoint again would send calls to a process
	// that has exited.
	departed map[string]time.Duration
}

// NewPool returns an empty pool. The pool must be the only user of the random generator.
func NewPool(random *rand.Rand) *Pool {
	return &Pool{
		byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{},
		random: random, departed: map[string]time.Duration{},
	}
}

// Update applies the sessions that a control process has sent. A complete update contains all endpoints that the control
// process knows. An endpoint that a complete update does not contain is removed by Expire after absentGracePeriod, unless a
// later update contains it.
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

// markAbsent sets absentSince of each endpoint that a complete update did not name.
func (p *Pool) markAbsent(now time.Duration, named map[string]bool) {
	for id, e := range p.byID {
		if !named[id] && e.absentSince == 0 {
			e.absentSince = now
		}
	}
}

// applySession adds, updates or removes one endpoint according to its session. The session of an endpoint that has already
// deregistered is ignored.
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

// add creates the entry of a new endpoint.
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

// removeDeparted removes an endpoint that has deregistered, and remembers its ID so that a stale session does not add it
// again.
func (p *Pool) removeDeparted(now time.Duration, id string) {
	if len(p.departed) < maxDeparted {
		p.departed[id] = now
	}
	if e := p.byID[id]; e != nil {
		p.remove(e)
	}
}

// remove deletes an endpoint from the tables. Its state becomes Draining for callers that still hold the pointer.
func (p *Pool) remove(e *Endpoint) {
	e.state = Draining
	delete(p.byID, e.ID)
	isRemoved := func(other *Endpoint) bool { return other == e }
	p.byService[e.Service] = slices.DeleteFunc(slices.Clone(p.byService[e.Service]), isRemoved)
}

// Expire removes the endpoints that have been absent from updates for longer than absentGracePeriod, and the IDs of
// endpoints that deregistered more than departedTTL ago.
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

// Find returns the endpoint with the given ID, or nil if the pool does not contain it.
func (p *Pool) Find(id string) *Endpoint { return p.byID[id] }

// CountByState counts the endpoints in each state.
func (p *Pool) CountByState() map[EndpointState]int {
	counts := map[EndpointState]int{}
	for _, e := range p.byID {
		counts[e.state]++
	}
	return counts
}

// CallsInFlight returns the number of this proxy's calls in flight to the endpoint.
func (e *Endpoint) CallsInFlight() int { return e.callsInFlight }

// State returns the endpoint's state in selection.
func (e *Endpoint) State() EndpointState { return e.state }
