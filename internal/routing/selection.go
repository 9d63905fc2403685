package routing

import (
	"math"
	"time"

	"github.com/samber/lo"

	"dykering/internal/sessions"
)

// How endpoints are compared.
const (
	// sampleSize is how many random endpoints a selection compares. Measured on sites F and G: two leave 0.019 of F's worth
	// (docs/ROUTING.md), twelve gain nothing (docs/DECISIONS.md, "Rounds").
	sampleSize = 4
	// maxSampleDraws bounds the draws for one candidate while endpoints in slow start are passed over.
	maxSampleDraws = 8
	// loadTieMargin is by how much two estimated loads may differ for a tie, in calls: the sums are up to a second old. Half
	// or double: not measured.
	loadTieMargin = 1
)

// Query is what an endpoint is selected for.
type Query struct {
	Service string
	Model   string // empty for a service without models
	Adapter string // empty for the model alone
	// Affinity is equal for requests that share the beginning of their prompts. They prefer the same endpoints, whose prefix
	// cache has it. 0 is none.
	Affinity uint64
	// Exclude has the ids of endpoints that are not selected, as they have been tried.
	Exclude map[string]bool
}

// SelectionResult is whether a selection found an endpoint, or why not.
type SelectionResult int

// The results.
const (
	Selected         SelectionResult = iota
	NoEndpoint                       // the service has none that may be called at all
	ModelNotLoaded                   // none has the model, or the adapter's model, loaded
	AdapterNotLoaded                 // some have the model loaded, none the adapter
	NoneAvailable                    // those that have it loaded are full, ejected or excluded
)

// Candidate is an endpoint with the figures by which selection compared it.
type Candidate struct {
	ID            string
	OwnCalls      int     // own calls in flight
	EstimatedLoad float64 // calls of all proxies, as far as they were known
}

// Candidate returns the figures by which the endpoint is compared.
func (e *Endpoint) Candidate(now time.Duration) Candidate {
	return Candidate{ID: e.ID, OwnCalls: e.callsInFlight, EstimatedLoad: e.estimatedLoad(now)}
}

// Select selects an endpoint that has loaded what is asked for: the one with the fewest own calls in flight of some random
// ones. Now and then it is an ejected one that is due a trial call. The endpoint is nil unless the result is Selected.
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

// eligibleEndpoints is the endpoints of a service, by what may be sent to them.
type eligibleEndpoints struct {
	callable  int // may be called at all
	modelOnly int // of them, have the model loaded without the adapter
	loaded    int // of them, have loaded what is asked for
	available []*Endpoint
	trialDue  []*Endpoint // ejected ones that are due a trial call
}

// eligible sorts the endpoints of a service by what may be sent to them.
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

// callable reports whether an endpoint may be called at all. One whose session has expired still may while its connections
// hold: it can be the control processes that do not reach it.
func (e *Endpoint) callable() bool {
	if e.state == Draining {
		return false
	}
	return e.session.State != sessions.Expired || e.state != Ejected
}

// result is why nothing can be selected; Selected where some endpoint has loaded what is asked for.
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

// leastLoaded compares random candidates, and beside them the preferred endpoints of an affinity or, without one, those with
// an idle connection.
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

// preferable compares two candidates: by own calls in flight, then by estimated load. A tie goes to the one that ranks higher
// for the affinity, so that requests which share a beginning meet where it is cached; without one, to the one with an idle
// connection.
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

// sample draws one endpoint at random, one in slow start less often.
func (p *Pool) sample(now time.Duration, available []*Endpoint) *Endpoint {
	for range maxSampleDraws {
		e := available[p.random.IntN(len(available))]
		if p.random.Float64() <= e.sampleWeight(now) {
			return e
		}
	}
	return available[p.random.IntN(len(available))]
}

func (p *Pool) withIdleConnection(available []*Endpoint) []*Endpoint {
	return lo.Filter(available, func(e *Endpoint, _ int) bool { return p.hasIdleConnection(e) })
}

func (p *Pool) hasIdleConnection(e *Endpoint) bool {
	return p.HasIdleConnection != nil && p.HasIdleConnection(e.ID)
}
