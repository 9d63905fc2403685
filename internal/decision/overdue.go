package decision

import (
	"time"
)

// overtake notes that a call was answered before others that were sent earlier.
func (b *Balancer) recordOvertaken(by *request) {
	for _, e := range b.busy {
		for _, r := range e.calls {
			if r.sentAt >= by.sentAt {
				break
			}
			r.overtaken++
		}
	}
}

// miss looks for calls that an endpoint has lost, though it answers others: out for longer than hardly any,
// and overtaken. They are sent again while there is time, and do not use up the limit: the limit falls as
// answers fail to come. That serves for lost answers, mute connections and stuck tiers below alike. Where all
// turn slow at once, some slow calls run twice.
func (b *Balancer) withdrawOverdue(now time.Duration, e *endpoint) {
	for _, r := range e.calls {
		age, long := now-r.sentAt, r.class.tailRatio*r.class.meanLatency
		if r.overtaken < silenceOtherAnswers || age <= seconds(overdueStuckTails*long) {
			continue
		}
		e.overdueCalls++
		if !r.overdue && age > seconds(overdueLostTails*long) {
			r.overdue = true
			e.lossRate += lossRateWeight * (1 - e.lossRate)
		}
		if !r.missing && age > seconds(overdueMissingTails*long) {
			r.missing = true
			b.missingShare += missingShareWeight * (1 - b.missingShare)
		}
		if (r.overdue && e.lossRate > lossRateThreshold || r.missing && b.missingShare > missingShareThreshold) && b.canWithdrawAndRetry(now, r) {
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

// retriable tells whether a call that is out can be withdrawn and sent again in time; a long one is not kept.
func (b *Balancer) canWithdrawAndRetry(now time.Duration, r *request) bool {
	return !r.final && !r.longBody && r.class.Effect != Unsafe && b.retryTokens >= 1 &&
		now+seconds(r.class.baseLatency) < r.targetAt && r.attempts < b.settings.MaxAttempts
}
