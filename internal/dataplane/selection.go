package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// How long a request waits for an endpoint before it is rejected. Rejected early, it is still worth something when it comes
// back; no wait leaves the rest of the deadline without a fifth for the response.
const (
	// firstAttemptWaitFraction is the part of the route's target latency for which a first attempt waits. Half or double: not measured.
	firstAttemptWaitFraction = 0.2
	// retryWaitFraction is the part of its own time for which a client's retry waits, as there may be no further one. Without it
	// F loses 0.004 and G 0.007 of worth, within the errors (docs/DECISIONS.md, "Ablation"). Half or double: not measured.
	retryWaitFraction = 0.5
	// modelLoadMargin is what a load of weights takes beside the load itself, until every proxy knows. Half or double: not
	// measured.
	modelLoadMargin = 250 * time.Millisecond
	// maxWaitFraction is the part of the remaining time that a wait may take at all. Half or double: not measured.
	maxWaitFraction = 0.8
	// selectionPollInterval is how often the selection is made again while nothing changes in the table of endpoints: endpoints become
	// available as calls end. Half or double: not measured.
	selectionPollInterval = 20 * time.Millisecond
	// minSelectionWait bounds the last wait from below.
	minSelectionWait = time.Millisecond
)

// selectionOutcome is what the tables' owner found for a query.
type selectionOutcome struct {
	endpoint  *routing.Endpoint // nil unless result is routing.Selected
	candidate routing.Candidate
	result    routing.SelectionResult
	changed   <-chan struct{} // closed when the endpoints change
}

// selectEndpoint selects an endpoint and begins a call to it. It waits for one as long as that is worth while.
func (x *exchange) selectEndpoint() (*routing.Endpoint, *rejection) {
	startedAt := time.Now()
	for {
		found := x.selectOnce()
		if found.result == routing.Selected {
			x.selected = found.candidate
			return found.endpoint, nil
		}
		wait, rejected := x.waitTime(found.result, time.Since(startedAt))
		if rejected != nil {
			return nil, rejected
		}
		if !x.waitForEndpoints(found, wait) {
			return nil, x.deadlineExceeded()
		}
	}
}

// selectOnce has the tables' owner make one selection.
func (x *exchange) selectOnce() selectionOutcome {
	s := x.server
	return queryTables(s, func() selectionOutcome {
		now := s.now()
		endpoint, result := s.pool.Select(now, x.query())
		found := selectionOutcome{endpoint: endpoint, result: result, changed: s.endpointsChanged}
		switch result {
		case routing.Selected:
			found.candidate = endpoint.Candidate(now)
			s.pool.BeginCall(endpoint)
		case routing.ModelNotLoaded, routing.AdapterNotLoaded:
			s.demand.requestUnplaced(x.request.demandKey())
		}
		return found
	})
}

// query is what an endpoint is selected for.
func (x *exchange) query() routing.Query {
	req := x.request
	return routing.Query{Service: req.service, Model: req.model, Adapter: req.adapter, Affinity: req.affinity(), Exclude: x.tried}
}

// waitForEndpoints waits until the endpoints change or a time has passed; it is false where the request's time is over first.
func (x *exchange) waitForEndpoints(found selectionOutcome, wait time.Duration) bool {
	startedAt := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.ctx.Done():
		return false
	case <-found.changed:
	case <-timer.C:
	}
	x.timing.addTime(waitingPhase(found.result), startedAt)
	return true
}

// waitTime is how long a request that found no endpoint waits until the next selection, or why it waits no longer.
func (x *exchange) waitTime(result routing.SelectionResult, waited time.Duration) (time.Duration, *rejection) {
	req := x.request
	rejected := &rejection{kind: errkind.NoEndpoint, retryAfter: randomOverloadRetryAfter()}
	limit := scaleDuration(req.route.TargetLatency(), firstAttemptWaitFraction)
	switch result {
	case routing.NoneAvailable:
		rejected.kind = errkind.Overloaded
	case routing.ModelNotLoaded:
		rejected.retryAfter = modelLoadTime(req.engine, req.model) + modelLoadMargin
	}
	if req.isRetry {
		limit = max(limit, scaleDuration(req.deadline.Sub(req.arrivedAt), retryWaitFraction))
	}
	if waited >= min(limit, scaleDuration(req.remaining(), maxWaitFraction)) {
		return 0, rejected
	}
	return min(selectionPollInterval, max(limit-waited, minSelectionWait)), nil
}

func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// modelLoadTime is how long the weights of a model take to load, by the configuration; 0 where it does not say.
func modelLoadTime(engine *fleetconfig.Engine, model string) time.Duration {
	if engine == nil {
		return 0
	}
	for _, m := range engine.Models {
		if m.Name == model {
			return time.Duration(m.LoadTimeS * float64(time.Second))
		}
	}
	return 0
}
