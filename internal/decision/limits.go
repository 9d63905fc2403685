package decision

import (
	"slices"
	"time"
)

// updateInFlightLimit sets the limit on calls in flight: the number of calls that are in flight at base
// latency and at the best recent answer rate, plus a queue at the endpoints. The limit has a lower bound.
// Without it, stuck calls would lower the answer rate, which would lower the limit and so the answer rate
// again, without end. The function also refills the credit of paced sends.
func (b *Balancer) updateInFlightLimit(now time.Duration) {
	b.sendCredit = min(b.sendCredit+b.sendRate*(now-b.sendCreditAt).Seconds(), max(pacingBurst, b.sendRate/2))
	b.sendCreditAt = now
	capacity := b.usableCapacity(now)
	minCalls := minCallsPerEndpoint
	if !b.hasBaseLatency() {
		minCalls = startCallsPerEndpoint
	}
	base := capacity * b.baseLoad.peak(now, b.rateWindow)
	if now-b.subsetSizedAt > b.rateWindow {
		b.demandedSubset, b.subsetSizedAt, b.subsetStale = subsetPerCall*base, now, true
	}
	instances := float64(b.settings.Instances)
	tiers := float64(max(b.settings.Tiers-b.settings.Stage, 1))
	queue := queuePerEndpoint * capacity * tiers / instances
	queue = min(queue, maxQueueShare*base, capacity*b.slackLoad.peak(now, b.rateWindow))
	b.inFlightLimit = limitSlack + max(base+queue, minCalls*capacity/instances)
}

// hasCapacity reports whether an endpoint may get one more call according to its part of the limit on calls
// in flight, its slow start and its recent rejections.
func (b *Balancer) hasCapacity(now time.Duration, e *endpoint) bool {
	if e.rejectingUntil > now || e.state == stateSlowStart && !b.hasSlowStartToken(now, e) {
		return false
	}
	// An endpoint in slow start has a lower limit: with as many calls as a warm endpoint it would answer none of
	// them in time.
	limit := endpointLimitFactor*b.inFlightLimit/max(b.subsetSize, 1)/b.relativeLatency(e) + limitSlack
	limit *= b.capacityShare(now, e)
	return float64(b.callsAt(now, e)-e.overdueCalls) < max(limit, limitSlack)
}

// countedInFlight returns the number of calls that count in the limit: the calls in flight, including those
// of the preceding process, but without overdue calls.
func (b *Balancer) countedInFlight(now time.Duration) float64 {
	return float64(b.inFlight - b.overdueCalls + b.predecessor.sum(now))
}

// callsAt returns the number of calls in flight at an endpoint, including those of the preceding process.
func (b *Balancer) callsAt(now time.Duration, e *endpoint) int {
	return len(e.calls) + e.uploads + b.predecessor.callsTo(now, e)
}

// usableCapacity returns the number of endpoints in service, where each endpoint in slow start counts with
// its share of capacity. The load rates are stored per unit of this number, so that the limit falls at once
// when endpoints leave. The load of the whole tier would overload the remaining ones.
func (b *Balancer) usableCapacity(now time.Duration) float64 {
	capacity := float64(b.usableCount)
	for _, e := range b.inSlowStart {
		capacity += b.capacityShare(now, e)
	}
	return max(capacity, 1)
}

// hasBaseLatency reports whether any class has enough answers to compute the limit from base latencies.
func (b *Balancer) hasBaseLatency() bool {
	return slices.ContainsFunc(b.classes, func(c class) bool { return c.windows > baseSkippedWindows })
}

// recordPressure adds the latency of a call to the latency pressure and, if instances outnumber endpoints,
// adapts the send rate to it. In that case each instance has only one or two calls in flight, and a limit on
// their number does not keep the tier from overload. Only the first tier paces its sends: the tiers below do
// not reject requests that the tiers above have already worked on.
func (b *Balancer) recordPressure(now time.Duration, c *class, latency time.Duration) {
	expected := min(pressureUsualFactor*c.usualLatency, pressureTargetShare*c.LatencyTarget.Seconds())
	if expected <= 0 || b.settings.Stage > 0 {
		return
	}
	sinceLast := (now - b.pressureAt).Seconds()
	weight := min(pressureMaxWeight, sinceLast/(pressureTargets*c.LatencyTarget.Seconds()))
	b.latencyPressure += weight * (min(latency.Seconds()/expected, pressureMaxSample) - b.latencyPressure)
	b.pressureAt = now
	if b.settings.Instances <= len(b.listed) {
		b.isPaced = false // pacing may have begun while instances outnumbered the endpoints
		return
	}
	startRate := pacingStartFactor * b.requestRate.peak(now, b.rateWindow)
	if !b.isPaced {
		b.isPaced, b.sendRate, b.sendCredit, b.sendCreditAt = b.latencyPressure > 1, startRate, pacingBurst, now
	} else {
		reduction := pacingGain * min(b.latencyPressure-1, 1) * min(sinceLast, 1)
		b.sendRate = max(b.sendRate*(1-reduction), pacingMinFactor*startRate)
		b.isPaced = b.latencyPressure > 1
	}
}
