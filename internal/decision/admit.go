// What is admitted: requests as they come, what is held, what is shed, and the limits on calls in flight.

package decision

import (
	"math"
	"slices"
	"time"
)

// meter starts the buckets of the tenants.
func (b *Balancer) startTenantBuckets(now time.Duration) {
	for _, t := range b.settings.Tenants {
		rate := t.QuotaPerS / float64(b.settings.Instances)
		b.tenants = append(b.tenants, newTokenBucket(now, rate, tenantBurstSeconds))
		b.totalQuota += rate
	}
}

// Request takes a new request.
func (b *Balancer) Request(now time.Duration, q Request) {
	c := &b.classes[q.Class]
	low := b.isOverQuota(now, q)
	r := &request{id: q.ID, arrivedAt: now, class: c, deadline: min(now+q.Remaining, b.drainDeadline), overQuota: low}
	r.targetAt = min(now+c.LatencyTarget-b.clientElapsed(c, q), b.drainDeadline)
	r.longBody, r.uploading = q.LongBody, q.LongBody
	b.requests[q.ID] = r
	if q.Remaining <= 0 || low && b.capacityIsShort(now) || b.refusesWhileDraining(now, c, q) {
		b.finish(now, r)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(now, c)
	b.enqueue(r)
	b.dispatch(now)
	b.startTick()
}

// Leave tells when this instance ends, and whether another serves in its place already. What can hardly be
// served by then is refused at once; calls that are out then are the host's to end.
func (b *Balancer) Drain(now, at time.Duration, succeeded bool) {
	b.drainDeadline, b.hasSuccessor = at, succeeded
	for _, r := range b.requests {
		r.deadline, r.targetAt = min(r.deadline, at), min(r.targetAt, at)
	}
	b.dispatch(now)
}

// closing tells whether an instance that ends refuses a request: for want of time, or, as the only one, of
// connections. Callers open no more; who finds all in use, by a burst or by slow endpoints, finds nobody and
// stops looking. Where callers do open more, some are refused in vain.
func (b *Balancer) refusesWhileDraining(now time.Duration, c *class, q Request) bool {
	alone := b.settings.Instances == 1 && !b.hasSuccessor
	return b.endsBeforeAnswer(now, c) || b.drainDeadline < math.MaxInt64 && alone && q.IdleConns < minIdleCallerConns
}

// ends tells whether this instance ends before a call that is sent at a time is answered, slow as it may be.
func (b *Balancer) endsBeforeAnswer(at time.Duration, c *class) bool {
	return at+seconds(sendSlackMeans*c.meanLatency) >= b.drainDeadline
}

// spent is a lower bound of the time that had passed for the client when the request arrived. Clients'
// tries begin with the same time left; a shorter one tells of a repeat, or of work in the tiers above.
func (b *Balancer) clientElapsed(c *class, q Request) time.Duration {
	c.maxRemaining = max(c.maxRemaining, q.Remaining)
	whole := float64(c.maxRemaining) >= firstAttemptShare*float64(c.Deadline)
	b.retriesHideElapsed = b.settings.Stage == 0 && !(b.settings.ClientsMarkRetries && whole)
	switch {
	case b.settings.Stage > 0:
		return c.maxRemaining - q.Remaining
	case float64(q.Remaining) < firstAttemptShare*float64(c.maxRemaining):
		spent := c.Deadline - q.Remaining
		if q.IsRetry && whole {
			b.meanRetryElapsed += retryElapsedWeight * (spent.Seconds() - b.meanRetryElapsed)
		}
		return spent
	case q.IsRetry:
		// It came before, by about as much as those that show it. Taken for new, repeats would fill an
		// overloaded tier with calls whose aim has passed.
		return seconds(b.meanRetryElapsed)
	}
	return 0
}

// beyondShare meters a tenant's requests against its share at this instance. Callers come unevenly: where it
// serves clearly more than an even part of all shares, each tenant's grows alike, and who floods still stands
// out. It grows somewhat faster than what is served, for else half of all would be beyond shares just met.
// A repeat counts as beyond: most are of requests refused for that, and would use up the share of new ones.
func (b *Balancer) isOverQuota(now time.Duration, q Request) bool {
	if b.settings.Stage > 0 || q.Tenant >= len(b.tenants) || q.IsRetry {
		return b.settings.Stage == 0 && q.Tenant < len(b.tenants)
	}
	more := 0.0
	if b.totalQuota > 0 {
		more = max(b.answerRate.value(now, b.rateWindow)/b.totalQuota-evenShareTolerance, 0)
	}
	return !b.tenants[q.Tenant].take(now, 1/(1+quotaRelaxation*more))
}

// short tells whether capacity is short, by what this instance sees: requests wait, as many calls are out as
// may be, or they take too long. While it is not, nobody is refused for what is beyond a share. It counts for
// a rate window from then on, for else what is beyond fills each gap up to the limit, and endpoints choke;
// for less, the more instances share the callers, as an even part of shares tells less there, and a limit of
// a few calls is reached by chance.
func (b *Balancer) capacityIsShort(now time.Duration) bool {
	b.updateInFlightLimit(now)
	most := 1.0
	if b.settings.Instances > len(b.listed) {
		most = overQuotaPressure
	}
	strained := b.latencyPressure > most && now-b.pressureAt <= b.rateWindow // without answers it tells nothing of now
	if len(b.queue) > 0 || strained || float64(b.inFlight-b.overdueCalls+b.predecessor.sum(now))+1 > b.inFlightLimit {
		b.shortageUntil = now + b.rateWindow/time.Duration(b.settings.Instances)
		return true
	}
	return now < b.shortageUntil
}

// hold puts a request among those waiting for an endpoint.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
}

// place sends held requests, the most worth first, while there is room.
func (b *Balancer) dispatch(now time.Duration) {
	b.updateInFlightLimit(now)
	if b.subsetStale && len(b.queue) > 0 {
		b.updateSubset()
	}
	if len(b.queue) > 1 {
		b.updateMarginalValues()
	}
	for len(b.queue) > 0 {
		if float64(b.inFlight-b.overdueCalls+b.predecessor.sum(now)) >= b.inFlightLimit || b.isPaced && b.sendCredit < 1 {
			break
		}
		first := b.next(now)
		at := first
		e, trial := b.pick(now, b.queue[at])
		// The first in line may be bound or barred by its last attempt, and another one not.
		for i := 0; e == nil && b.queue[first].attempts > 0 && i < len(b.queue); i++ {
			at = i
			e, trial = b.pick(now, b.queue[i])
		}
		if e == nil {
			break
		}
		r := b.queue[at]
		b.dequeue(at)
		b.send(now, r, e, trial)
	}
	b.shedLoad(now)
}

func (b *Balancer) dequeue(i int) {
	b.queue[i].queued = false
	b.queue = slices.Delete(b.queue, i, i+1)
}

// next is the held request to place first: one that can still meet its aim before one that cannot, one
// within its tenant's share before one beyond, one of a class that adds more to what the site counts, then
// the one that must be sent first to meet its aim. Where repeats hide what they have spent it is the newest:
// the one at the edge of its aim, as far as can be seen, may long be past it.
func (b *Balancer) next(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.queue); i++ {
		if b.isDispatchedBefore(now, b.queue[i], b.queue[best]) {
			best = i
		}
	}
	return best
}

// before tells whether one held request is placed before another.
func (b *Balancer) isDispatchedBefore(now time.Duration, x, y *request) bool {
	if rx, ry := b.rank(now, x), b.rank(now, y); rx != ry {
		return rx > ry
	}
	if x.class.marginalValue != y.class.marginalValue {
		return x.class.marginalValue > y.class.marginalValue
	}
	if b.retriesHideElapsed {
		return x.arrivedAt > y.arrivedAt
	}
	return x.sendBy() < y.sendBy()
}

// rateClasses sets what serving one more unit of each class's work adds to what the site counts: its part of
// all worth, and for the class that is served worst the weight of being that. Held requests that went by
// their time alone cost the dearest class as many answers as the cheapest.
func (b *Balancer) updateMarginalValues() {
	all, work := 0.0, 0.0
	worst := &b.classes[0]
	for i := range b.classes {
		c := &b.classes[i]
		all += c.requests * c.meanLatency * b.valueDensity(c)
		work += c.requests * c.meanLatency
		if c.requests >= classMinRequests && (worst.requests < classMinRequests || c.onTime*worst.requests < worst.onTime*c.requests) {
			worst = c
		}
	}
	for i := range b.classes {
		c := &b.classes[i]
		c.marginalValue = 0
		if all > 0 {
			c.marginalValue = b.settings.GoalTotal * b.valueDensity(c) * work / all
		}
		if c == worst && c.requests*c.meanLatency > 0 {
			c.marginalValue += b.settings.GoalWorstClass * work / (c.requests * c.meanLatency)
		}
	}
}

// density is the worth of a unit of a class's work, taken to be as its latency.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValueByWork || c.meanLatency == 0 {
		return c.Value
	}
	return c.Value / c.meanLatency
}

func (b *Balancer) rank(now time.Duration, r *request) int {
	rank := 0
	if r.sendBy() > now || r.class.LateValue > 0 {
		rank += 2
	}
	if !r.overQuota {
		rank++
	}
	return rank
}

// sendBy is until when a call must be sent to meet its aim, slow as it may be.
func (r *request) sendBy() time.Duration {
	return r.targetAt - seconds(sendSlackMeans*r.class.meanLatency)
}

// shed refuses what is held beyond what can be sent in time, as soon as that shows: what no endpoint may
// serve, will miss its aim or could not even be answered at little load, and the least worth when more is
// held than the rate works off.
func (b *Balancer) shedLoad(now time.Duration) {
	room := max(int(queueSecondsMax*b.answerRate.value(now, b.rateWindow)), len(b.listed))
	if b.retriesHideElapsed {
		room = max(int(queueSecondsMaxHidden*b.answerRate.value(now, b.rateWindow)), 1+len(b.listed)/b.settings.Instances)
	}
	for i := len(b.queue) - 1; i >= 0; i-- {
		r := b.queue[i]
		late := now >= r.sendBy() && r.class.LateValue == 0
		if late || !b.reachable(now, r) || now+max(2*b.tick, seconds(r.class.baseLatency)) >= r.deadline {
			b.dequeue(i)
			b.finish(now, r)
		}
	}
	for len(b.queue) > room {
		worst := len(b.queue) - 1
		for i := len(b.queue) - 2; i >= 0; i-- {
			if b.isDispatchedBefore(now, b.queue[worst], b.queue[i]) {
				worst = i
			}
		}
		r := b.queue[worst]
		b.dequeue(worst)
		b.finish(now, r)
	}
}

// reachable tells whether any listed endpoint may come to serve a request.
func (b *Balancer) reachable(now time.Duration, r *request) bool {
	return slices.ContainsFunc(b.listed, func(e *endpoint) bool {
		return e.state != stateDraining && b.permitted(now, r, e)
	})
}

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
