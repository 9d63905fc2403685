package decision

import (
	"math"
	"slices"
	"time"
)

// Request handles the event that a request has arrived. It refuses the request at once if the client has no
// time left, if the request is beyond the quota of its tenant while capacity is short, or if this instance
// ends too soon. Otherwise the request is queued, and sent as soon as the limits allow it.
func (b *Balancer) Request(now time.Duration, q Request) {
	c := &b.classes[q.Class]
	r := &request{
		id:        q.ID,
		class:     c,
		arrivedAt: now,
		deadline:  min(now+q.Remaining, b.drainDeadline),
		overQuota: b.isOverQuota(now, q),
		longBody:  q.LongBody,
		uploading: q.LongBody,
	}
	r.targetAt = min(now+c.LatencyTarget-b.clientElapsed(c, q), b.drainDeadline)
	b.requests[q.ID] = r
	if q.Remaining <= 0 || r.overQuota && b.capacityIsShort(now) || b.refusesWhileDraining(now, c, q) {
		b.finish(now, r)
		return
	}
	b.requestRate.add(now, b.rateWindow, 1)
	b.countRequest(now, c)
	b.enqueue(r)
	b.dispatch(now)
	b.startTick()
}

// Abandoned handles the event that the client has gone away. The request needs no answer any more, and an
// attempt in flight is withdrawn.
func (b *Balancer) Abandoned(_ time.Duration, id RequestID) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.final = true
	if r.queued {
		b.dequeue(slices.Index(b.queue, r))
	}
	if r.current == nil {
		delete(b.requests, id)
		return
	}
	b.withdraw(r)
}

// Drain handles the event that this instance will end at the given deadline. hasSuccessor says that another
// process already serves in its place. Requests that can probably not be answered before the deadline are
// refused at once. The host ends the calls that are still in flight at the deadline.
func (b *Balancer) Drain(now, deadline time.Duration, hasSuccessor bool) {
	b.drainDeadline, b.hasSuccessor = deadline, hasSuccessor
	for _, r := range b.requests {
		r.deadline, r.targetAt = min(r.deadline, deadline), min(r.targetAt, deadline)
	}
	b.dispatch(now)
}

// refusesWhileDraining reports whether an instance that will end refuses a request because too little time is
// left or, if it is the only instance, because too few connections from callers are idle. Callers cannot open
// new connections to a draining instance: a caller that finds all connections in use would find no instance
// and stop trying. If callers do open new connections, some requests are refused without need.
func (b *Balancer) refusesWhileDraining(now time.Duration, c *class, q Request) bool {
	if b.endsBeforeAnswer(now, c) {
		return true
	}
	isDraining := b.drainDeadline < math.MaxInt64
	isOnly := b.settings.Instances == 1 && !b.hasSuccessor
	return isDraining && isOnly && q.IdleConns < minIdleCallerConns
}

// endsBeforeAnswer reports whether this instance may end before a call that is sent at the given time is
// answered, with a margin for an answer that is slower than the mean.
func (b *Balancer) endsBeforeAnswer(sentAt time.Duration, c *class) bool {
	return sentAt+seconds(sendSlackMeans*c.meanLatency) >= b.drainDeadline
}

// clientElapsed returns a lower bound of the time that the client had already waited when the request
// arrived. All first attempts of clients start with the same remaining time. A shorter remaining time
// therefore shows a retry, or time spent in the tiers above.
func (b *Balancer) clientElapsed(c *class, q Request) time.Duration {
	c.maxRemaining = max(c.maxRemaining, q.Remaining)
	// If clients pass on their whole deadline, the remaining time shows how long they have waited.
	passedOn := float64(c.maxRemaining) >= firstAttemptShare*float64(c.Deadline)
	b.retriesHideElapsed = b.settings.Stage == 0 && !(b.settings.ClientsMarkRetries && passedOn)
	switch {
	case b.settings.Stage > 0:
		return c.maxRemaining - q.Remaining
	case float64(q.Remaining) < firstAttemptShare*float64(c.maxRemaining):
		elapsed := c.Deadline - q.Remaining
		if q.IsRetry && passedOn {
			b.meanRetryElapsed += retryElapsedWeight * (elapsed.Seconds() - b.meanRetryElapsed)
		}
		return elapsed
	case q.IsRetry:
		// The client has waited about as long as the clients whose retries show it. Retries that are treated as new
		// requests would fill an overloaded tier with calls whose latency target has passed.
		return seconds(b.meanRetryElapsed)
	}
	return 0
}
