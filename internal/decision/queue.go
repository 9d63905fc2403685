package decision

import (
	"slices"
	"time"
)

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

// tally counts a request of a class, and lets the past fade.
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
