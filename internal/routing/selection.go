package routing

import (
	"math"
	"time"

	"github.com/samber/lo"

	"dykering/internal/sessions"
)

// Constants of the comparison of endpoints.
const (
	// sampleSize is the number of random endpoints that a selection compares. With two, the answered requests have a lower total
	// value; with twelve, it is no higher than with four.
	sampleSize = 4
	// maxSampleDraws bounds the draws for one candidate, since a draw may reject an endpoint in slow start.
	maxSampleDraws = 8
	// loadTieMargin is the difference of two estimated loads, in calls, up to which they count as equal. The estimates are up
	// to a second old, so that smaller differences mean nothing.
	loadTieMargin = 1
)

// Query describes the request that an endpoint is selected for.
type Query struct {
	Service string
	Model   string // empty for a service without models
	Adapter string // empty if the request needs no adapter
	// Affinity is equal for requests that share the beginning of their prompts. Such requests prefer the same endpoints, since
	// those have the beginning in their prefix caches. 0 means no affinity.
	Affinity uint64
	// Exclude contains the IDs of endpoints that must not be selected because the request has already been tried there.
	Exclude map[string]bool
}

// SelectionResult tells whether a selection found an endpoint, and if not, why.
type SelectionResult int

// The results of a selection.
const (
	Selected         SelectionResult = iota
	NoEndpoint                       // the service has no endpoint that may be called
	ModelNotLoaded                   // no endpoint has loaded the model
	AdapterNotLoaded                 // some endpoints have loaded the model, but none has loaded the adapter
	NoneAvailable                    // all endpoints with the model or adapter are at capacity, ejected or excluded
)

// Candidate holds the values by which selection compares an endpoint.
type Candidate struct {
	ID            string
	OwnCalls      int     // this proxy's calls in flight
	EstimatedLoad float64 // estimated load by the calls of all proxies
}

// Candidate returns the values by which selection compares the endpoint.
func (e *Endpoint) Candidate(now time.Duration) Candidate {
	return Candidate{ID: e.ID, OwnCalls: e.callsInFlight, EstimatedLoad: e.estimatedLoad(now)}
}

// Select selects an endpoint that has loaded the queried model or adapter: among random candidates, the one with the fewest
// calls of this proxy in flight. Occasionally it selects an ejected endpoint that is due for a trial call. The returned
// endpoint is nil unless the result is Selected.
func (p *Pool) Select(now time.Duration, q Query) (*Endpoint, SelectionResult) {
	found := p.eligible(now, q)
	if result := found.result(); result != Selected {
		return nil, result
	}
	if e := p.selectTrial(found.trialDue, len(found.available)); e != nil {
		e.trialInFlight = true
		return e, Selected
	}
	if len(found.available) == 0 {
		return nil, NoneAvailable
	}
	return p.leastLoaded(now, withoutOutliers(now, found.available), q.Affinity), Selected
}

// eligibleEndpoints classifies the endpoints of a service for one query.
type eligibleEndpoints struct {
	callable  int         // number of callable endpoints
	modelOnly int         // number of callable endpoints with the queried model, but without the queried adapter
	loaded    int         // number of callable endpoints with the queried model or adapter
	available []*Endpoint // loaded endpoints that may get the request
	trialDue  []*Endpoint // loaded, ejected endpoints that are due for a trial call
}

// eligible classifies the endpoints of the queried service.
func (p *Pool) eligible(now time.Duration, q Query) eligibleEndpoints {
	var found eligibleEndpoints
	for _, e := range p.byService[q.Service] {
		if !e.callable() {
			continue
		}
		found.callable++
		if !e.hasLoaded(now, q) {
			if q.Adapter != "" && e.session.HasLoaded(q.Model, "") {
				found.modelOnly++
			}
			continue
		}
		found.loaded++
		switch {
		case q.Exclude[e.ID] || now < e.fullUntil:
		case e.state != Ejected:
			found.available = append(found.available, e)
		case !e.trialInFlight && now >= e.trialAt:
			found.trialDue = append(found.trialDue, e)
		}
	}
	return found
}

// callable reports whether an endpoint may be called at all. An endpoint whose session has expired remains callable until a
// connection to it fails, since its heartbeats may merely fail to reach the control processes.
func (e *Endpoint) callable() bool {
	if e.state == Draining {
		return false
	}
	return e.session.State != sessions.Expired || e.state != Ejected
}

// result returns why no endpoint can be selected, or Selected if some endpoint has loaded the queried model or adapter.
func (f *eligibleEndpoints) result() SelectionResult {
	switch {
	case f.callable == 0:
		return NoEndpoint
	case f.loaded == 0 && f.modelOnly > 0:
		return AdapterNotLoaded
	case f.loaded == 0:
		return ModelNotLoaded
	}
	return Selected
}

// leastLoaded returns the best of sampleSize random candidates and some additional ones: the preferred endpoints of the
// affinity or, without an affinity, the endpoints with an idle connection.
func (p *Pool) leastLoaded(now time.Duration, available []*Endpoint, affinity uint64) *Endpoint {
	best := p.sample(now, available)
	consider := func(other *Endpoint) {
		if other != best && p.preferable(now, other, best, affinity) {
			best = other
		}
	}
	for range sampleSize - 1 {
		consider(p.sample(now, available))
	}
	additional := p.withIdleConnection(available)
	if affinity != 0 {
		additional = preferredEndpoints(available, affinity)
	}
	for _, other := range additional {
		if p.random.Float64() <= other.sampleWeight(now) {
			consider(other)
		}
	}
	return best
}

// preferable reports whether candidate a is preferred to candidate b. It compares this proxy's calls in flight, then the
// estimated loads. With an affinity, a tie goes to the candidate with the higher rank, so that requests with the same prompt
// prefix go where it is cached. Without one, a tie goes to the candidate with an idle connection.
func (p *Pool) preferable(now time.Duration, a, b *Endpoint, affinity uint64) bool {
	loadA, loadB := a.estimatedLoad(now), b.estimatedLoad(now)
	switch {
	case a.callsInFlight != b.callsInFlight:
		return a.callsInFlight < b.callsInFlight
	case math.Abs(loadA-loadB) > loadTieMargin:
		return loadA < loadB
	case affinity == 0 && p.hasIdleConnection(a) != p.hasIdleConnection(b):
		return p.hasIdleConnection(a)
	case affinity != 0:
		return affinityRank(affinity, a.ID) > affinityRank(affinity, b.ID)
	case loadA != loadB:
		return loadA < loadB
	}
	return p.random.IntN(2) == 0
}

// sample draws a random endpoint. An endpoint in slow start is drawn with a lower probability.
func (p *Pool) sample(now time.Duration, available []*Endpoint) *Endpoint {
	for range maxSampleDraws {
		e := available[p.random.IntN(len(available))]
		if p.random.Float64() <= e.sampleWeight(now) {
			return e
		}
	}
	return available[p.random.IntN(len(available))]
}

// withIdleConnection returns the available endpoints to which the proxy has an idle connection.
func (p *Pool) withIdleConnection(available []*Endpoint) []*Endpoint {
	return lo.Filter(available, func(e *Endpoint, _ int) bool { return p.hasIdleConnection(e) })
}

// hasIdleConnection reports whether the proxy is known to have an idle connection to an endpoint.
func (p *Pool) hasIdleConnection(e *Endpoint) bool {
	return p.HasIdleConnection != nil && p.HasIdleConnection(e.ID)
}
