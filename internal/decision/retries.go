package decision

import (
	"time"
)

// again decides what follows an attempt that failed: another where rules, budget and time allow, or the end.
func (b *Balancer) retryOrFinish(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.lastFailed = e
	if !o.Status.NeverRan() {
		if r.mayHaveRunAt == nil {
			r.mayHaveRunAt, r.ranInZone, r.ranInCell, r.firstRunAt = e, e.zone, e.cell, r.sentAt
		}
		if b.retryTokens < 1 || r.class.Effect == Unsafe || o.NotReplayable {
			b.finish(now, r)
			return
		}
		b.retryTokens--
	}
	if o.NotReplayable || r.attempts >= b.settings.MaxAttempts || now+b.tick >= r.deadline {
		b.finish(now, r)
		return
	}
	b.enqueue(r)
}

// finish gives the final answer: refused where a repeat is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.final = true
	if r.mayHaveRunAt == nil && r.current == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		b.host.Refuse(r.id, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.id)
	}
	if r.current == nil {
		delete(b.requests, r.id)
	}
}

// comeBack is when a refused client should ask again: when what is held and in flight now will have been
// answered at the present rate, no sooner than after the time that it waited here in vain, or, where that
// outlasts the only instance, when its successor serves. Clients that come sooner find the same queue, or
// nobody. Where no rate is known, or nobody there who could serve it, a rate window may tell more.
func (b *Balancer) retryAfter(now time.Duration, r *request) (wait time.Duration) {
	if r.attempts == 0 {
		wait = now - r.arrivedAt
	}
	queue := b.rateWindow
	if rate := b.answerRate.value(now, b.rateWindow); rate > 0 && b.reachable(now, r) {
		queue = seconds(min(float64(len(b.queue)+b.inFlight+b.predecessor.sum(now))/rate, b.settings.MaxRetryAfter.Seconds()))
	}
	wait = min(max(wait, queue, seconds(minRetryAfterWindows*b.rateWindow.Seconds())), b.settings.MaxRetryAfter)
	switch {
	case b.hasSuccessor:
		wait = min(b.tick, b.settings.MaxRetryAfter) // the other one's queue is not this one's
	case b.settings.Instances == 1 && b.endsBeforeAnswer(now+wait, r.class):
		wait = min(b.drainDeadline+seconds(successorStartSeconds)-now, b.settings.MaxRetryAfter)
	}
	return wait
}

// earn adds what an answered call earns to the further attempts that may be made.
func (b *Balancer) earnRetry() {
	if b.fleetRetries == nil {
		b.retryTokens = min(b.retryTokens+retryTokensPerAnswer, maxRetryTokens)
	}
}
