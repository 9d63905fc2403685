package decision

import (
	"slices"
	"time"
)

// enqueue appends a request to the queue of requests that wait for an endpoint.
func (b *Balancer) enqueue(r *request) {
	r.queued = true
	b.queue = append(b.queue, r)
}

// dispatch sends queued requests, the most valuable first, while the limits allow it. It then sheds the
// requests that cannot be served.
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
		selected := first
		e, trial := b.pick(now, b.queue[selected])
		// Earlier attempts may restrict the endpoints of the first request; another request may have no such
		// restriction.
		for i := 0; e == nil && b.queue[first].attempts > 0 && i < len(b.queue); i++ {
			selected = i
			e, trial = b.pick(now, b.queue[i])
		}
		if e == nil {
			break
		}
		r := b.queue[selected]
		b.dequeue(selected)
		b.send(now, r, e, trial)
	}
	b.shedLoad(now)
}

// dequeue removes the request at index i of the queue.
func (b *Balancer) dequeue(i int) {
	b.queue[i].queued = false
	b.queue = slices.Delete(b.queue, i, i+1)
}

// firstToDispatch returns the index of the queued request to send first, in the order of isDispatchedBefore.
func (b *Balancer) firstToDispatch(now time.Duration) int {
	best := 0
	for i := 1; i < len(b.queue); i++ {
		if b.isDispatchedBefore(now, b.queue[i], b.queue[best]) {
			best = i
		}
	}
	return best
}

// isDispatchedBefore reports whether x is sent before y. The criteria are, in this order: a request that can
// still meet its latency target, or has a value after it; a request within the quota of its tenant; the
// higher marginal value of its class; the earlier time by which it must be sent to meet its target. If
// retries hide how long the client has waited, the last criterion is the later arrival: a request that seems
// to be just within its target may be long past it.
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

// rank returns the first two criteria of isDispatchedBefore as a number: 2 for a request that can still earn
// its value, plus 1 for a request within its quota.
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

// updateMarginalValues sets the marginal value of each class: what one more unit of its work adds to the
// score of the site. That is the contribution to the total value and, for the worst-served class, to the
// weight of that goal. If requests were ordered only by time, the most valuable class would lose as many
// answers as the least valuable one.
func (b *Balancer) updateMarginalValues() {
	totalValue, totalWork := 0.0, 0.0
	worst := &b.classes[0]
	for i := range b.classes {
		c := &b.classes[i]
		totalValue += c.requests * c.meanLatency * b.valueDensity(c)
		totalWork += c.requests * c.meanLatency
		isWorse := worst.requests < classMinRequests || c.onTime*worst.requests < worst.onTime*c.requests
		if c.requests >= classMinRequests && isWorse {
			worst = c
		}
	}
	for i := range b.classes {
		c := &b.classes[i]
		c.marginalValue = 0
		if totalValue > 0 {
			c.marginalValue = b.settings.GoalTotal * b.valueDensity(c) * totalWork / totalValue
		}
		if c == worst && c.requests*c.meanLatency > 0 {
			c.marginalValue += b.settings.GoalWorstClass * totalWork / (c.requests * c.meanLatency)
		}
	}
}

// valueDensity returns the value per unit of work of a class. The work of a request is assumed to be
// proportional to the latency of its class.
func (b *Balancer) valueDensity(c *class) float64 {
	if b.settings.ValueByWork || c.meanLatency == 0 {
		return c.Value
	}
	return c.Value / c.meanLatency
}

// countRequest counts a request of a class. When a counter reaches classWindowRequests, the counters of all
// classes are halved, so that recent requests weigh more.
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

// shedLoad finishes queued requests as soon as it is clear that they cannot be served: requests that no
// endpoint may serve, requests that will miss their target or could not be answered before their deadline
// even at little load, and the least valuable requests if the queue is longer than the answer rate can serve
// in time.
func (b *Balancer) shedLoad(now time.Duration) {
	rate := b.answerRate.value(now, b.rateWindow)
	limit := max(int(queueSecondsMax*rate), len(b.listed))
	if b.retriesHideElapsed {
		limit = max(int(queueSecondsMaxHidden*rate), 1+len(b.listed)/b.settings.Instances)
	}
	for i := len(b.queue) - 1; i >= 0; i-- {
		r := b.queue[i]
		late := now >= r.sendBy() && r.class.LateValue == 0
		shortestAnswer := max(2*b.tickInterval, seconds(r.class.baseLatency))
		if late || !b.hasEligibleEndpoint(now, r) || now+shortestAnswer >= r.deadline {
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

// hasEligibleEndpoint reports whether any listed endpoint may serve a request, now or later.
func (b *Balancer) hasEligibleEndpoint(now time.Duration, r *request) bool {
	return slices.ContainsFunc(b.listed, func(e *endpoint) bool {
		return e.state != stateDraining && b.isSafeToSend(now, r, e)
	})
}
