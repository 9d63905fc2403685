package decision

import (
	"slices"
	"time"
)

// refit sets the limit on calls in flight: those answered at base latency at the best rate of late, and a
// queue. It has a floor, for calls that got stuck would else lower rate and limit in turn, without end.
func (b *Balancer) updateInFlightLimit(now time.Duration) {
	b.sendCredit = min(b.sendCredit+b.sendRate*(now-b.sendCreditAt).Seconds(), max(pacingBurst, b.sendRate/2))
	b.sendCreditAt = now
	able := b.usableCapacity(now)
	calls := minCallsPerEndpoint
	if !b.hasBaseLatency() {
		calls = startCallsPerEndpoint
	}
	base := able * b.baseLoad.peak(now, b.rateWindow)
	if now-b.subsetSizedAt > b.rateWindow {
		b.demandedSubset, b.subsetSizedAt, b.subsetStale = subsetPerCall*base, now, true
	}
	queue := queuePerEndpoint * able * float64(max(b.settings.Tiers-b.settings.Stage, 1)) / float64(b.settings.Instances)
	queue = min(queue, maxQueueShare*base, able*b.slackLoad.peak(now, b.rateWindow))
	b.inFlightLimit = limitSlack + max(base+queue, calls*able/float64(b.settings.Instances))
}

// room tells whether an endpoint may get one more call.
func (b *Balancer) hasCapacity(now time.Duration, e *endpoint) bool {
	if e.rejectingUntil > now || e.state == stateSlowStart && !b.hasSlowStartToken(now, e) {
		return false
	}
	// A cold endpoint with a warm one's calls in flight would answer none of them in time.
	most := (endpointLimitFactor*b.inFlightLimit/max(b.subsetSize, 1)/b.relativeLatency(e) + limitSlack) * b.capacityShare(now, e)
	return float64(b.callsAt(now, e)-e.overdueCalls) < max(most, limitSlack)
}

// load is the number of own calls in flight, the process before's too.
func (b *Balancer) callsAt(now time.Duration, e *endpoint) int {
	return len(e.calls) + e.uploads + b.predecessor.at(now, e)
}

// able is how many whole endpoints are in service. Rates are kept for each, so that the limit falls at once
// when some leave: what all could bear would choke the few that are left.
func (b *Balancer) usableCapacity(now time.Duration) float64 {
	n := float64(b.usableCount)
	for _, e := range b.inSlowStart {
		n += b.capacityShare(now, e)
	}
	return max(n, 1)
}

// settled tells whether the base latencies rest on enough to set limits by.
func (b *Balancer) hasBaseLatency() bool {
	return slices.ContainsFunc(b.classes, func(c class) bool { return c.windows > baseSkippedWindows })
}

// press takes what a call took into the strain, and moves the pace of calls by it where instances outnumber
// endpoints: there each has a call or two in flight, and no limit on their number keeps a tier from filling
// up. It goes by clients' requests only: what the tiers above have worked on is not refused below.
func (b *Balancer) recordPressure(now time.Duration, c *class, took time.Duration) {
	due := min(pressureUsualFactor*c.usualLatency, pressureTargetShare*c.LatencyTarget.Seconds())
	if due <= 0 || b.settings.Stage > 0 {
		return
	}
	dt := (now - b.pressureAt).Seconds()
	weight := min(pressureMaxWeight, dt/(pressureTargets*c.LatencyTarget.Seconds()))
	b.latencyPressure += weight * (min(took.Seconds()/due, pressureMaxSample) - b.latencyPressure)
	b.pressureAt = now
	if b.settings.Instances <= len(b.listed) {
		b.isPaced = false // instances were more when it began
		return
	}
	most := pacingStartFactor * b.requestRate.peak(now, b.rateWindow)
	if !b.isPaced {
		b.isPaced, b.sendRate, b.sendCredit, b.sendCreditAt = b.latencyPressure > 1, most, pacingBurst, now
	} else {
		b.sendRate = max(b.sendRate*(1-pacingGain*min(b.latencyPressure-1, 1)*min(dt, 1)), pacingMinFactor*most)
		b.isPaced = b.latencyPressure > 1
	}
}
