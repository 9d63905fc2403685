package decision

import (
	"math"
	"slices"
	"time"
)

// Request is the event of a new request. It is refused at once where the client has no time left, where it
// is beyond its tenant's quota while capacity is short, or where this instance ends too soon; else it is
// queued and, if the limits allow it, sent.
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

// Abandoned is the event of a client that has gone away: no answer is due, and an attempt in flight is
// withdrawn.
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

// Drain is the event of this instance's coming end: at is the time by which all must be answered, and
// hasSuccessor says that another process already serves in its place. Requests that can hardly be served by
// then are refused at once; calls that are in flight at that time are the host's to end.
func (b *Balancer) Drain(now, at time.Duration, hasSuccessor bool) {
	b.drainDeadline, b.hasSuccessor = at, hasSuccessor
	for _, r := range b.requests {
		r.deadline, r.targetAt = min(r.deadline, at), min(r.targetAt, at)
	}
	b.dispatch(now)
}

// refusesWhileDraining reports whether an instance that ends refuses a request: for want of time or, where
// it is the only one, of idle connections. Callers open no more connections then; one that finds all in use
// would find nobody and stop trying. Where callers do open more, some requests are refused in vain.
func (b *Balancer) refusesWhileDraining(now time.Duration, c *class, q Request) bool {
	if b.endsBeforeAnswer(now, c) {
		return true
	}
	isDraining := b.drainDeadline < math.MaxInt64
	isOnly := b.settings.Instances == 1 && !b.hasSuccessor
	return isDraining && isOnly && q.IdleConns < minIdleCallerConns
}

// endsBeforeAnswer reports whether this instance ends before a call that is sent at a time is answered,
// with room for a slow answer.
func (b *Balancer) endsBeforeAnswer(at time.Duration, c *class) bool {
	return at+seconds(sendSlackMeans*c.meanLatency) >= b.drainDeadline
}

// clientElapsed is a lower bound of the time that had passed for the client when the request arrived. All
// first attempts of clients begin with the same remaining time, so a shorter one shows a retry, or work in
// the tiers above.
func (b *Balancer) clientElapsed(c *class, q Request) time.Duration {
	c.maxRemaining = max(c.maxRemaining, q.Remaining)
	// Clients pass the whole deadline on, so that the remaining time shows what has elapsed.
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
		// Its client has waited for about as long as those that show it. Taken for new requests, retries would fill
		// an overloaded tier with calls whose latency target has passed.
		return seconds(b.meanRetryElapsed)
	}
	return 0
}
