package dataplane

import (
	"time"

	"dykering/internal/errkind"
	"dykering/internal/fleetconfig"
	"dykering/internal/routing"
)

// A request that finds no endpoint waits for one and is then rejected with Retry-After. It is rejected early enough for the
// client's retry to be of use.
const (
	// firstAttemptWaitFraction is the fraction of the route's target latency for which a client's first attempt waits.
	firstAttemptWaitFraction = 0.2
	// retryWaitFraction is the fraction of its time until the deadline for which a client's retry waits. A retry waits longer
	// than a first attempt, since the client may make no further one.
	retryWaitFraction = 0.5
	// modelLoadMargin is added to the load time of a model in a Retry-After. It covers the time from the end of the load until
	// every proxy knows of it.
	modelLoadMargin = 250 * time.Millisecond
	// maxWaitFraction is the fraction of the remaining time that any wait may take. The rest is left for the response.
	maxWaitFraction = 0.8
	// selectionPollInterval is the time between two selections while the table of endpoints does not change. An endpoint can
	// also become available when a call ends, which does not change the table.
	selectionPollInterval = 20 * time.Millisecond
	// minSelectionWait is the shortest wait between two selections, which applies shortly before the end of the waiting time.
	minSelectionWait = time.Millisecond
)

// selectionOutcome is the outcome of one selection.
type selectionOutcome struct {
	endpoint  *routing.Endpoint // nil unless result is routing.Selected
	candidate routing.Candidate // the figures of the endpoint, for the explanation of the request
	result    routing.SelectionResult
	changed   <-chan struct{} // closed at the next change of the table of endpoints
}

// selectEndpoint selects an endpoint and begins a call to it. If there is none, it waits, and returns a rejection once the
// waiting time is over.
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

// selectOnce makes one selection on the table loop, and begins a call if it finds an endpoint.
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

// query returns the requirements that an endpoint for the request must meet.
func (x *exchange) query() routing.Query {
	req := x.request
	return routing.Query{Service: req.service, Model: req.model, Adapter: req.adapter, Affinity: req.affinity(), Exclude: x.tried}
}

// waitForEndpoints waits until the table of endpoints changes or the wait has passed. It returns false if the request ends first.
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

// waitTime returns how long a request without an endpoint waits until its next selection, or the rejection if its waiting time is
// over.
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

// scaleDuration returns a fraction of a duration.
func scaleDuration(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// modelLoadTime returns how long the weights of a model take to load according to the configuration, or 0 if the configuration
// does not list the model.
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
