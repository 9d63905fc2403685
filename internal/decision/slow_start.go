package decision

import (
	"time"
)

// ramp starts slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, e *endpoint, from time.Duration) {
	b.recountCalls(e)
	b.setState(e, stateSlowStart)
	e.slowStartFrom = from
	if now-e.slowStartTokensAt < b.rateWindow {
		return // who leaves and returns by turns gets no more by that
	}
	e.slowStartTokens, e.slowStartTokensAt = 1, now
	if now-from < seconds(returnedWarmShare*b.settings.WarmUp.Seconds()) {
		e.slowStartTokens = b.rng.Float64() // all instances hear of a start at once
	}
}

// since is from when on the ramp of an endpoint counts that is back, where nothing showed a restart: it need
// not begin anew, but what was cold before is no warmer for having been away.
func (b *Balancer) slowStartOrigin(now time.Duration, e *endpoint) time.Duration {
	from := now - seconds(returnedWarmShare*b.settings.WarmUp.Seconds())
	if last := max(e.slowStartFrom, e.started); last > 0 {
		from = max(from, last)
	}
	return from
}

// share is the part of its capacity that a ramping endpoint is taken to have.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	if e.state != stateSlowStart || b.settings.WarmUp == 0 {
		return 1
	}
	s := b.settings.ColdCapacity + (1-b.settings.ColdCapacity)*float64(now-e.slowStartFrom)/float64(b.settings.WarmUp)
	return min(max(s, b.settings.ColdCapacity), 1)
}

// rampRoom caps what a ramping endpoint is sent to its share of what a warm one gets, whatever the others
// do: when nearly all are cold a draw by share alone would push them over. It goes by the odds, too: a slow
// machine, or one of which a sliver lies in each of many subsets, got a whole fast one's.
func (b *Balancer) hasSlowStartToken(now time.Duration, e *endpoint) bool {
	warm := b.warmSendRate(now)
	if b.warmSends.peakRate == 0 && b.instancesPerEndpoint() <= callersPerEndpoint {
		return len(e.calls) == 0 // of those few one call each is no more than chance would bring
	}
	rate := max(slowStartHeadroom*b.settings.OverloadMultiple, 1) * b.capacityShare(now, e) * warm * b.drawWeight(e)
	e.slowStartTokens = min(e.slowStartTokens+rate*(now-e.slowStartTokensAt).Seconds(), 1+rate*b.rateWindow.Seconds()/4)
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// warmOdds is the sum of the odds of the subset's warm endpoints.
func (b *Balancer) warmSubsetWeight() float64 {
	sum := 0.0
	for _, e := range b.subset {
		if e.state == stateUsable {
			sum += b.drawWeight(e)
		}
	}
	return sum
}

// sharers is how many instances' subsets an endpoint is in, on average.
func (b *Balancer) instancesPerEndpoint() float64 {
	return float64(b.settings.Instances) * b.subsetSize / float64(max(len(b.listed), 1))
}

// warmRate is what warm endpoints are sent a second, for their odds; where none has been, what an endpoint of the subset
// would be, were all of it warm.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	if b.warmSends.peakRate > 0 {
		return b.warmSends.peak(now, b.rateWindow)
	}
	sum := 0.0
	for _, e := range b.subset {
		if e.state != stateDraining {
			sum += b.drawWeight(e)
		}
	}
	if sum == 0 {
		return 0
	}
	return b.demandRate.value(now, demandRateWindows*b.rateWindow) / sum
}
