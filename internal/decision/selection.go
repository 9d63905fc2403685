package decision

import (
	"time"
)

// pick chooses an endpoint for a request: an ejected one that is due for a trial call, else the less loaded
// of two that are drawn among the healthy endpoints with capacity. Where no endpoint is healthy, silent and
// ejected ones serve: ejection never empties the set. It returns nil where the request has to wait.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.endpointDueForTrial(now, r); e != nil {
		return e, true
	}
	healthy := 0
	candidates, from := b.scratch[:0], b.subset
	if r.attempts > 0 {
		from = b.listed
	}
	for _, e := range from {
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

// isHealthyFor reports whether an endpoint is a healthy choice for a request, capacity aside. A further
// attempt goes to the endpoint of the last one only where no other is healthy. It may leave the subset, but
// not for an endpoint in slow start: the further attempts of all instances together would overload that.
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
// fewest calls in flight for its weight; of equals the one drawn first, so that ties follow the weights. A
// coin between equals gave both endpoints of a subset of two the same, whatever their weights.
func (b *Balancer) drawLeastLoaded(now time.Duration, candidates []*endpoint) *endpoint {
	var best *endpoint
	leastLoad := 0.0
	for n := 0; n < drawCandidates && len(candidates) > 0; n++ {
		i := b.drawIndex(now, candidates)
		e := candidates[i]
		candidates[i] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		// The same number of calls in flight is a longer queue at a smaller endpoint.
		if load := float64(b.callsAt(now, e)) / b.drawWeight(e); best == nil || load < leastLoad {
			best, leastLoad = e, load
		}
	}
	return best
}

// drawIndex draws the index of one candidate, by draw weight and share of capacity.
func (b *Balancer) drawIndex(now time.Duration, candidates []*endpoint) int {
	total := 0.0
	for _, e := range candidates {
		total += b.capacityShare(now, e) * b.drawWeight(e)
	}
	rest := b.rng.Float64() * total
	for i, e := range candidates[:len(candidates)-1] {
		if rest -= b.capacityShare(now, e) * b.drawWeight(e); rest < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// isSafeToSend reports whether a request may be sent to an endpoint without the risk of a duplicate run: a
// request that may have run goes on only if it is Safe, or Keyed within its scope and window.
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

// drawWeight is an endpoint's weight in a draw: its relative capacity, by the part of it in the subset, or
// in full for a further attempt that has left the subset. An instance has so few calls in flight that the
// draw, and not the comparison of loads, keeps small machines from getting as much as large ones.
func (b *Balancer) drawWeight(e *endpoint) float64 {
	if e.subsetWeight > 0 {
		return b.relativeCapacity(e) * e.subsetWeight / b.weight(e)
	}
	return b.relativeCapacity(e)
}

// relativeCapacity is what an endpoint can serve beside others: its listed weight, corrected by how much
// slower it is than its machine kind; where the list weighs all alike, what its reported service time or
// its latency shows.
func (b *Balancer) relativeCapacity(e *endpoint) float64 {
	if len(b.kindServiceTime) > 0 && !b.hasListedWeights {
		return b.kindSpeed(e) * b.kindServiceTime[min(e.machineKind, len(b.kindServiceTime)-1)].relativeTo(e.serviceTime)
	}
	if !b.hasListedWeights {
		return 1 / b.relativeLatency(e)
	}
	return e.weight * b.kindLatencyRatio(e) / b.relativeLatency(e)
}

// weight is an endpoint's listed weight where the list tells endpoints apart, else the speed of its machine
// kind.
func (b *Balancer) weight(e *endpoint) float64 {
	if b.hasListedWeights {
		return e.weight
	}
	return b.kindSpeed(e)
}

// kindSpeed is the speed of an endpoint's machine kind, relative to the mean of all kinds, by the service
// times that endpoints report; 1 without reports.
func (b *Balancer) kindSpeed(e *endpoint) float64 {
	sum, n := 0.0, 0.0
	for _, k := range b.kindServiceTime {
		if k.count > 0 {
			sum, n = sum+1/k.mean, n+1
		}
	}
	if e.machineKind >= len(b.kindServiceTime) || b.kindServiceTime[e.machineKind].count == 0 {
		return 1
	}
	return n / sum / b.kindServiceTime[e.machineKind].mean
}
