package decision

import (
	"time"
)

// startSlowStart puts an endpoint into slow start, with a warm-up that began at the given time. An endpoint
// that leaves and returns repeatedly gets no new token within a rate window.
func (b *Balancer) startSlowStart(now time.Duration, e *endpoint, warmUpStart time.Duration) {
	b.recountCalls(e)
	b.setState(e, stateSlowStart)
	e.slowStartFrom = warmUpStart
	if now-e.slowStartTokensAt < b.rateWindow {
		return
	}
	e.slowStartTokens, e.slowStartTokensAt = 1, now
	if now-warmUpStart < seconds(returnedWarmShare*b.settings.WarmUp.Seconds()) {
		e.slowStartTokens = b.rng.Float64() // random, because all instances learn of a start at the same time
	}
}

// slowStartOrigin returns the assumed start of the warm-up of an endpoint that returns without a sign of a
// restart. Such an endpoint skips a part of the warm-up, but one that was cold before does not count as
// warmer than its last known start allows.
func (b *Balancer) slowStartOrigin(now time.Duration, e *endpoint) time.Duration {
	origin := now - seconds(returnedWarmShare*b.settings.WarmUp.Seconds())
	if lastStart := max(e.slowStartFrom, e.started); lastStart > 0 {
		origin = max(origin, lastStart)
	}
	return origin
}

// capacityShare returns the share of its full capacity that an endpoint is assumed to have. In slow start it
// grows from ColdCapacity to 1 over WarmUp; otherwise it is 1.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	if e.state != stateSlowStart || b.settings.WarmUp == 0 {
		return 1
	}
	cold := b.settings.ColdCapacity
	share := cold + (1-cold)*float64(now-e.slowStartFrom)/float64(b.settings.WarmUp)
	return min(max(share, cold), 1)
}

// hasSlowStartToken reports whether an endpoint in slow start may get a call now. A token bucket caps its
// send rate in proportion to its capacity share and to the send rate of warm endpoints. A draw by capacity
// share alone would overload cold endpoints when nearly all endpoints are cold. The rate is also proportional
// to the draw weight. Otherwise a slow machine, or one of which many subsets contain a small part, would get
// as many calls as a fast one.
func (b *Balancer) hasSlowStartToken(now time.Duration, e *endpoint) bool {
	warmRate := b.warmSendRate(now)
	if b.warmSends.peakRate == 0 && b.instancesPerEndpoint() <= callersPerEndpoint {
		return len(e.calls) == 0 // so few instances, with one call each, do not overload it
	}
	headroom := max(slowStartHeadroom*b.settings.OverloadMultiple, 1)
	rate := headroom * b.capacityShare(now, e) * warmRate * b.drawWeight(e)
	earned := rate * (now - e.slowStartTokensAt).Seconds()
	e.slowStartTokens = min(e.slowStartTokens+earned, 1+rate*b.rateWindow.Seconds()/4)
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// warmSubsetWeight returns the sum of the draw weights of the usable endpoints in the subset.
func (b *Balancer) warmSubsetWeight() float64 {
	sum := 0.0
	for _, e := range b.subset {
		if e.state == stateUsable {
			sum += b.drawWeight(e)
		}
	}
	return sum
}

// instancesPerEndpoint returns the mean number of instances whose subsets contain a given endpoint.
func (b *Balancer) instancesPerEndpoint() float64 {
	return float64(b.settings.Instances) * b.subsetSize / float64(max(len(b.listed), 1))
}

// warmSendRate returns the peak rate of sends to warm endpoints per unit of draw weight. If nothing has been
// sent to a warm endpoint yet, it returns the rate at which the present demand would reach a fully warm
// subset.
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
