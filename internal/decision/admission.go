// What is admitted: requests as they come, what is held, what is shed, and the limits on calls in flight.

package decision

import (
	"math"
	"slices"
	"time"
)

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

// Lapsed tells that the client has gone: nothing is owed, and work for it is called off.
func (b *Balancer) Abandoned(now time.Duration, id RequestID) {
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
