package decision

import (
	"time"
)

// retryOrFinish decides what follows a failed attempt. It queues the request again if its class, the retry
// budget, the limit on attempts and the remaining time allow that. Otherwise it gives the final answer. A
// retry after an attempt that never ran takes nothing from the budget.
func (b *Balancer) retryOrFinish(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.lastFailedEndpoint = e
	if !o.Status.NeverRan() {
		if r.mayHaveRunOn == nil {
			r.mayHaveRunOn, r.ranInZone, r.ranInCell, r.firstRunAt = e, e.zone, e.cell, r.sentAt
		}
		if b.retryTokens < 1 || r.class.Effect == Unsafe || o.NotReplayable {
			b.finish(now, r)
			return
		}
		b.retryTokens--
	}
	if o.NotReplayable || r.attempts >= b.settings.MaxAttempts || now+b.tickInterval >= r.deadline {
		b.finish(now, r)
		return
	}
	b.enqueue(r)
}

// finish gives the final answer: Refuse if a retry by the client is certainly harmless, otherwise Fail.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.final = true
	if r.mayHaveRunOn == nil && r.current == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		b.host.Refuse(r.id, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.id)
	}
	if r.current == nil {
		delete(b.requests, r.id)
	}
}

// retryAfter returns the time after which a refused client should retry. It is the time in which the
// requests that are queued and in flight now are answered at the current rate, or one rate window if no
// rate is known or no listed endpoint may serve the request. It is at least the time that the client has
// already waited here without an attempt, because clients that return sooner find the same queue, and at
// least minRetryAfterWindows. If a successor already serves, the time is one tick interval. If this is the
// only instance and it ends first, the time lasts until its successor serves. It never exceeds
// Settings.MaxRetryAfter.
func (b *Balancer) retryAfter(now time.Duration, r *request) (wait time.Duration) {
	if r.attempts == 0 {
		wait = now - r.arrivedAt
	}
	longest := b.settings.MaxRetryAfter
	backlog := b.rateWindow
	if rate := b.answerRate.value(now, b.rateWindow); rate > 0 && b.hasEligibleEndpoint(now, r) {
		calls := len(b.queue) + b.inFlight + b.predecessor.sum(now)
		backlog = seconds(min(float64(calls)/rate, longest.Seconds()))
	}
	wait = min(max(wait, backlog, seconds(minRetryAfterWindows*b.rateWindow.Seconds())), longest)
	switch {
	case b.hasSuccessor:
		wait = min(b.tickInterval, longest) // the queue of the successor is independent of this one
	case b.settings.Instances == 1 && b.endsBeforeAnswer(now+wait, r.class):
		wait = min(b.drainDeadline+seconds(successorStartSeconds)-now, longest)
	}
	return wait
}

// refillRetryBudget adds the tokens of one answered call to the retry budget, unless the fleet sets the rate
// of the budget.
func (b *Balancer) refillRetryBudget() {
	if b.fleetRetries == nil {
		b.retryTokens = min(b.retryTokens+retryTokensPerAnswer, maxRetryTokens)
	}
}
