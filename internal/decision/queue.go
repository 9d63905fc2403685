package decision

import (
	"slices"
	"time"
)

// enqueue adds a request to those that wait for an endpoint.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
}

// dispatch sends queued requests, the most valuable first, while the limits allow it, and then sheds what
// cannot be served.
func (b *Balancer) dispatch(now time.Duration) {
	b.updateInFlightLimit(now)
	if b.subsetStale && len(b.queue) > 0 {
		b.updateSubset()
	}
	if len(b.queue) > 1 {
		b.updateMarginalValues()
	}
	for len(b.queue) > 0 {
		if b.countedInFlight(now) >= b.inFlightLimit || b.isPaced && b.sendCredit < 1 {
			break
		}
		first := b.firstToDispatch(now)
		at := first
		e, trial := b.pick(now, b.queue[at])
		// The first one may be restricted by its earlier attempts, and another one not.
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

// dequeue removes the request at an index of the queue.
func (b *Balancer) dequeue(i int) {
	b.queue[i].queued = false
	b.queue = slices.Delete(b.queue, i, i+1)
}

// next is the index of the queued request to send first, by isDispatchedBefore.
func (b *Balancer) firstToDispatch(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.queue); i++ {
		if b.isDispatchedBefore(now, b.queue[i], b.queue[best]) {
			best = i
		}
	}
	return best
}

// isDispatchedBefore orders queued requests: those that can still meet their latency target, or have a
// value after it, before the others; those within their tenant's quota before those beyond; those of a
// class with the higher marginal value; then those that must be sent first to meet their target. Where
// retries hide how long the client has waited, the newest goes first instead: one that seems to be at the
// edge of its target may long be past it.
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

// rank is the first criterion of isDispatchedBefore: 2 for a request that can still earn its value, and 1
// for one within its quota.
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

// updateMarginalValues sets, for each class, what serving one more unit of its work adds to the site's
// score: its part of the total value and, for the class that is served worst, the weight of that goal. An
// order by time alone would cost the most valuable class as many answers as the least valuable.
func (b *Balancer) updateMarginalValues() {
	all, work := 0.0, 0.0
	worst := &b.classes[0]
	for i := range b.classes {
		c := &b.classes[i]
		all += c.requests * c.meanLatency * b.valueDensity(c)
		work += c.requests * c.meanLatency
		isWorse := worst.requests < classMinRequests || c.onTime*worst.requests < worst.onTime*c.requests
		if c.requests >= classMinRequests && isWorse {
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

// valueDensity is the value of a unit of a class's work, which is taken to be proportional to its latency.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValueByWork || c.meanLatency == 0 {
		return c.Value
	}
	return c.Value / c.meanLatency
}

// countRequest counts a request of a class, and halves all classes' counts when one is full, so that the
// past fades.
func (b *Balancer) countRequest(now time.Duration, c *class) {
	b.demandRate.add(now, demandRateWindows*b.rateWindow)
	if c.requests++; c.requests < classWindowRequests {
		return
	}
	for i := range b.classes {
		b.classes[i].requests /= 2
		b.classes[i].onTime /= 2
	}
}

// shedLoad finishes queued requests that cannot be served, as soon as that shows: those that no endpoint
// may serve, that will miss their target or could not be answered before the deadline even at little load,
// and the least valuable ones where the queue is longer than the answer rate works off in time.
func (b *Balancer) shedLoad(now time.Duration) {
	rate := b.answerRate.value(now, b.rateWindow)
	limit := max(int(queueSecondsMax*rate), len(b.listed))
	if b.retriesHideElapsed {
		limit = max(int(queueSecondsMaxHidden*rate), 1+len(b.listed)/b.settings.Instances)
	}
	for i := len(b.queue) - 1; i >= 0; i-- {
		r := b.queue[i]
		late := now >= r.sendBy() && r.class.LateValue == 0
		if late || !b.hasEligibleEndpoint(now, r) || now+max(2*b.tickInterval, seconds(r.class.baseLatency)) >= r.deadline {
			b.dequeue(i)
			b.finish(now, r)
		}
	}
	for len(b.queue) > limit {
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

// hasEligibleEndpoint reports whether any listed endpoint may come to serve a request.
func (b *Balancer) hasEligibleEndpoint(now time.Duration, r *request) bool {
	return slices.ContainsFunc(b.listed, func(e *endpoint) bool {
		return e.state != stateDraining && b.isSafeToSend(now, r, e)
	})
}
