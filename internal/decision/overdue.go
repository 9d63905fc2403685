package decision

import (
	"time"
)

// recordOvertaken increments the overtaken counter of each call in flight that was sent before the answered
// call.
func (b *Balancer) recordOvertaken(answered *request) {
	for _, e := range b.busy {
		for _, r := range e.calls {
			if r.sentAt >= answered.sentAt {
				break
			}
			r.overtaken++
		}
	}
}

// withdrawOverdue finds the calls that an endpoint has probably lost although it answers other calls. Such
// calls are older than nearly all answered calls, and later calls have overtaken them. They are sent again
// while there is time, and do not count in the limit on calls in flight, which already falls because their
// answers are missing. This handles lost answers, connections that are cut without notice, and stuck tiers
// below. If a whole tier becomes slow at once, some slow calls run twice.
func (b *Balancer) withdrawOverdue(now time.Duration, e *endpoint) {
	for _, r := range e.calls {
		age, tail := now-r.sentAt, r.class.tailRatio*r.class.meanLatency
		if r.overtaken < silenceOtherAnswers || age <= seconds(overdueStuckTails*tail) {
			continue
		}
		e.overdueCalls++
		if !r.overdue && age > seconds(overdueLostTails*tail) {
			r.overdue = true
			e.lossRate += lossRateWeight * (1 - e.lossRate)
		}
		if !r.missing && age > seconds(overdueMissingTails*tail) {
			r.missing = true
			b.missingShare += missingShareWeight * (1 - b.missingShare)
		}
		isLost := r.overdue && e.lossRate > lossRateThreshold || r.missing && b.missingShare > missingShareThreshold
		if isLost && b.canWithdrawAndRetry(now, r) {
			b.withdraw(r)
		}
	}
	if e.overdueCalls > 0 {
		b.overdue = append(b.overdue, e)
	}
	if e.state != stateEjected {
		b.overdueCalls += e.overdueCalls
	}
}

// canWithdrawAndRetry reports whether a call in flight can be withdrawn and sent again in time. A call with a
// long body cannot, because the body is not kept.
func (b *Balancer) canWithdrawAndRetry(now time.Duration, r *request) bool {
	return !r.final && !r.longBody && r.class.Effect != Unsafe && b.retryTokens >= 1 &&
		now+seconds(r.class.baseLatency) < r.targetAt && r.attempts < b.settings.MaxAttempts
}
