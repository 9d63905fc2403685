package decision

import (
	"slices"
	"time"
)

// updateInFlightLimit sets the limit on calls in flight: the calls that are answered at base latency at the
// best recent rate, and a queue at the endpoints. It has a floor: stuck calls would else lower the answer
// rate and with it the limit in turn, without end. It also refills the credit of paced sends.
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

// hasCapacity reports whether an endpoint may get one more call by its part of the limit, its slow start
// and its rejections.
func (b *Balancer) hasCapacity(now time.Duration, e *endpoint) bool {
	if e.rejectingUntil > now || e.state == stateSlowStart && !b.hasSlowStartToken(now, e) {
		return false
	}
	// Where it is warming up its limit is lower: with a warm endpoint's calls it would answer none of them in
	// time.
	limit := endpointLimitFactor*b.inFlightLimit/max(b.subsetSize, 1)/b.relativeLatency(e) + limitSlack
	limit *= b.capacityShare(now, e)
	return float64(b.callsAt(now, e)-e.overdueCalls) < max(limit, limitSlack)
}

// countedInFlight is the number of calls that count in the limit: those in flight, with the preceding
// process's, without those that are overdue.
func (b *Balancer) countedInFlight(now time.Duration) float64 {
	return float64(b.inFlight - b.overdueCalls + b.predecessor.sum(now))
}

// callsAt is the number of calls in flight at an endpoint, with those of the preceding process.
func (b *Balancer) callsAt(now time.Duration, e *endpoint) int {
	return len(e.calls) + e.uploads + b.predecessor.callsTo(now, e)
}

// usableCapacity is the number of endpoints in service, those in slow start counted by their share of
// capacity. Rates are kept for each of them, so that the limit falls at once when some leave: what all
// could bear would overload the few that are left.
func (b *Balancer) usableCapacity(now time.Duration) float64 {
	n := float64(b.usableCount)
	for _, e := range b.inSlowStart {
		n += b.capacityShare(now, e)
	}
	return max(n, 1)
}

// hasBaseLatency reports whether any class has seen enough answers for a limit by base latencies.
func (b *Balancer) hasBaseLatency() bool {
	return slices.ContainsFunc(b.classes, func(c class) bool { return c.windows > baseSkippedWindows })
}

// recordPressure takes the latency of a call into the latency pressure and adapts the send rate to it where
// instances outnumber endpoints: there each has a call or two in flight, and no limit on their number keeps
// the tier from filling up. Only the first tier does so: requests that the tiers above have worked on are
// not rejected below.
func (b *Balancer) recordPressure(now time.Duration, c *class, took time.Duration) {
	expected := min(pressureUsualFactor*c.usualLatency, pressureTargetShare*c.LatencyTarget.Seconds())
	if expected <= 0 || b.settings.Stage > 0 {
		return
	}
	dt := (now - b.pressureAt).Seconds()
	weight := min(pressureMaxWeight, dt/(pressureTargets*c.LatencyTarget.Seconds()))
	b.latencyPressure += weight * (min(took.Seconds()/expected, pressureMaxSample) - b.latencyPressure)
	b.pressureAt = now
	if b.settings.Instances <= len(b.listed) {
		b.isPaced = false // instances outnumbered the endpoints when it began
		return
	}
	startRate := pacingStartFactor * b.requestRate.peak(now, b.rateWindow)
	if !b.isPaced {
		b.isPaced, b.sendRate, b.sendCredit, b.sendCreditAt = b.latencyPressure > 1, startRate, pacingBurst, now
	} else {
		reduction := pacingGain * min(b.latencyPressure-1, 1) * min(dt, 1)
		b.sendRate = max(b.sendRate*(1-reduction), pacingMinFactor*startRate)
		b.isPaced = b.latencyPressure > 1
	}
}
