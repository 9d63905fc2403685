package decision

import (
	"time"
)

// pick selects an endpoint for a request: an ejected endpoint that is due for a trial call, or the less
// loaded of two that are drawn from the healthy endpoints with capacity. If no endpoint is healthy, it
// selects a silent or ejected one, so that ejections never leave a request without an endpoint. It returns
// nil if the request has to wait.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.endpointDueForTrial(now, r); e != nil {
		return e, true
	}
	healthy := 0
	candidates, eligible := b.scratch[:0], b.subset
	if r.attempts > 0 {
		eligible = b.listed
	}
	for _, e := range eligible {
		if !b.isHealthyFor(now, r, e) {
			continue
		}
		healthy++
		if b.hasCapacity(now, e) {
			candidates = append(candidates, e)
		}
	}
	b.scratch = candidates
	if healthy > 0 {
		return b.drawLeastLoaded(now, candidates), false
	}
	for _, e := range b.listed {
		if e.state == stateDraining || !b.isSafeToSend(now, r, e) || !b.hasCapacity(now, e) {
			continue
		}
		if float64(b.callsAt(now, e)) < limitSlack {
			candidates = append(candidates, e)
		}
	}
	b.scratch = candidates
	e := b.drawLeastLoaded(now, candidates)
	return e, e != nil && e.state == stateEjected
}

// isHealthyFor reports whether an endpoint is a healthy choice for a request, regardless of its capacity. A
// retry goes to the endpoint of the last attempt only if no other endpoint is healthy. A retry may leave the
// subset, but not for an endpoint in slow start: the retries of all instances together would overload that
// endpoint.
func (b *Balancer) isHealthyFor(now time.Duration, r *request, e *endpoint) bool {
	if e == r.lastFailedEndpoint && len(b.listed) > 1 {
		return false
	}
	if e.state > stateSlowStart || e.subsetWeight == 0 && e.state != stateUsable {
		return false
	}
	return b.isSafeToSend(now, r, e) && !b.isSilent(now, e, silenceSuspectMeans)
}

// drawLeastLoaded draws distinct candidates at random by their draw weight and returns the one with the
// fewest calls in flight relative to its weight. Of equally loaded candidates it returns the one drawn first,
// so that ties follow the weights. A random choice between them would give both endpoints of a subset of two
// the same number of calls, regardless of their weights.
func (b *Balancer) drawLeastLoaded(now time.Duration, candidates []*endpoint) *endpoint {
	var best *endpoint
	leastLoad := 0.0
	for drawn := 0; drawn < drawCandidates && len(candidates) > 0; drawn++ {
		i := b.drawIndex(now, candidates)
		e := candidates[i]
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		// The same number of calls in flight means a longer queue at a smaller endpoint.
		if load := float64(b.callsAt(now, e)) / b.drawWeight(e); best == nil || load < leastLoad {
			best, leastLoad = e, load
		}
	}
	return best
}

// drawIndex draws the index of one candidate at random, in proportion to its draw weight and share of
// capacity.
func (b *Balancer) drawIndex(now time.Duration, candidates []*endpoint) int {
	total := 0.0
	for _, e := range candidates {
		total += b.capacityShare(now, e) * b.drawWeight(e)
	}
	remaining := b.rng.Float64() * total
	for i, e := range candidates[:len(candidates)-1] {
		if remaining -= b.capacityShare(now, e) * b.drawWeight(e); remaining < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// isSafeToSend reports whether a request may be sent to an endpoint without the risk of a duplicate run. A
// request that may have run is sent again only if it is Safe, or if it is Keyed and within its scope and
// window.
func (b *Balancer) isSafeToSend(now time.Duration, r *request, e *endpoint) bool {
	if r.mayHaveRunOn == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || b.replayWindowLeft(now, r) <= 0 {
		return false
	}
	switch r.class.Scope {
	case ScopeCell:
		return e.cell == r.ranInCell
	case ScopeZone:
		return e.zone == r.ranInZone
	}
	return true
}

// drawWeight returns the weight of an endpoint in a draw: its relative capacity, multiplied by the part of it
// that is in the subset, or in full for a retry that leaves the subset. An instance has only a few calls in
// flight, so the comparison of loads alone would give small machines as many calls as large ones.
func (b *Balancer) drawWeight(e *endpoint) float64 {
	if e.subsetWeight > 0 {
		return b.relativeCapacity(e) * e.subsetWeight / b.weight(e)
	}
	return b.relativeCapacity(e)
}

// relativeCapacity returns the capacity of an endpoint relative to others. It is the listed weight, corrected
// by how much slower the endpoint is than its machine kind. If the list has no usable weights, it comes from
// the reported service times or, without reports, from the latency.
func (b *Balancer) relativeCapacity(e *endpoint) float64 {
	if len(b.kindServiceTime) > 0 && !b.hasListedWeights {
		kindMean := b.kindServiceTime[min(e.machineKind, len(b.kindServiceTime)-1)]
		return b.kindSpeed(e) * kindMean.relativeTo(e.serviceTime)
	}
	if !b.hasListedWeights {
		return 1 / b.relativeLatency(e)
	}
	return e.weight * b.kindLatencyRatio(e) / b.relativeLatency(e)
}

// weight returns the listed weight of an endpoint or, if the list has no usable weights, the speed of its
// machine kind.
func (b *Balancer) weight(e *endpoint) float64 {
	if b.hasListedWeights {
		return e.weight
	}
	return b.kindSpeed(e)
}

// kindSpeed returns the speed of the endpoint's machine kind relative to the mean of all kinds, according to
// the service times that endpoints report. The result is 1 without reports.
func (b *Balancer) kindSpeed(e *endpoint) float64 {
	speedSum, kinds := 0.0, 0.0
	for _, kind := range b.kindServiceTime {
		if kind.count > 0 {
			speedSum, kinds = speedSum+1/kind.mean, kinds+1
		}
	}
	if e.machineKind >= len(b.kindServiceTime) || b.kindServiceTime[e.machineKind].count == 0 {
		return 1
	}
	return kinds / speedSum / b.kindServiceTime[e.machineKind].mean
}
