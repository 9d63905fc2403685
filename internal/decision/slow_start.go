package decision

import (
	"time"
)

// startSlowStart puts an endpoint into slow start, with a warm-up that began at the given time. An endpoint
// that leaves and returns again and again gets no new token for it within a rate window.
func (b *Balancer) startSlowStart(now time.Duration, e *endpoint, from time.Duration) {
	b.recountCalls(e)
	b.setState(e, stateSlowStart)
	e.slowStartFrom = from
	if now-e.slowStartTokensAt < b.rateWindow {
		return
	}
	e.slowStartTokens, e.slowStartTokensAt = 1, now
	if now-from < seconds(returnedWarmShare*b.settings.WarmUp.Seconds()) {
		e.slowStartTokens = b.rng.Float64() // all instances learn of a start at the same time
	}
}

// slowStartOrigin is the start of the warm-up of an endpoint that is back without a sign of a restart: it
// need not begin anew, but an endpoint that was cold before is no warmer for having been away.
func (b *Balancer) slowStartOrigin(now time.Duration, e *endpoint) time.Duration {
	from := now - seconds(returnedWarmShare*b.settings.WarmUp.Seconds())
	if last := max(e.slowStartFrom, e.started); last > 0 {
		from = max(from, last)
	}
	return from
}

// capacityShare is the share of its capacity that an endpoint is taken to have: it grows from ColdCapacity
// to 1 over WarmUp in slow start, and is 1 otherwise.
func (b *Balancer) capacityShare(now time.Duration, e *endpoint) float64 {
	if e.state != stateSlowStart || b.settings.WarmUp == 0 {
		return 1
	}
	cold := b.settings.ColdCapacity
	share := cold + (1-cold)*float64(now-e.slowStartFrom)/float64(b.settings.WarmUp)
	return min(max(share, cold), 1)
}

// hasSlowStartToken caps the send rate to an endpoint in slow start at its share of what a warm one is
// sent, by a token bucket. A draw by that share alone would overload cold endpoints when nearly all are
// cold. The rate follows the draw weight too, else a slow machine, or one of which a small part lies in
// each of many subsets, would get as much as a fast one.
func (b *Balancer) hasSlowStartToken(now time.Duration, e *endpoint) bool {
	warm := b.warmSendRate(now)
	if b.warmSends.peakRate == 0 && b.instancesPerEndpoint() <= callersPerEndpoint {
		return len(e.calls) == 0 // one call of each of those few instances is no more than chance would bring
	}
	headroom := max(slowStartHeadroom*b.settings.OverloadMultiple, 1)
	rate := headroom * b.capacityShare(now, e) * warm * b.drawWeight(e)
	earned := rate * (now - e.slowStartTokensAt).Seconds()
	e.slowStartTokens = min(e.slowStartTokens+earned, 1+rate*b.rateWindow.Seconds()/4)
	e.slowStartTokensAt = now
	return e.slowStartTokens >= 1
}

// warmSubsetWeight is the sum of the draw weights of the usable endpoints in the subset.
func (b *Balancer) warmSubsetWeight() float64 {
	sum := 0.0
	for _, e := range b.subset {
		if e.state == stateUsable {
			sum += b.drawWeight(e)
		}
	}
	return sum
}

// instancesPerEndpoint is the number of instances whose subsets an endpoint is in, on average.
func (b *Balancer) instancesPerEndpoint() float64 {
	return float64(b.settings.Instances) * b.subsetSize / float64(max(len(b.listed), 1))
}

// warmSendRate is the peak rate of sends to warm endpoints for each unit of draw weight. Where none has
// been sent to, it is the rate that the demand would give if the whole subset were warm.
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
