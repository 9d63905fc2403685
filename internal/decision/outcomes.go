package decision

import (
	"time"
)

// Outcome handles the event that an attempt has ended. It ignores an attempt that is not the one in flight,
// which happens when an outcome is reported twice or after a further attempt has begun.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || !r.isCurrent(o.Attempt, o.Endpoint) {
		return
	}
	e := r.current
	if !r.responding {
		b.endCall(e, r)
	}
	r.current = nil
	b.recordLoadReport(e, o.Load)
	if !r.responding || o.Status == Reset {
		b.recordOutcome(now, r, e, o)
	}
	if o.Final || r.final || r.responding {
		if !o.Final && !r.final {
			b.host.Fail(r.id)
		}
		delete(b.requests, r.id)
	} else {
		b.retryOrFinish(now, r, e, o)
	}
	b.dispatch(now)
	b.startTick()
}

// recordOutcome updates the statistics and the state of an endpoint after the outcome of one attempt.
func (b *Balancer) recordOutcome(now time.Duration, r *request, e *endpoint, o Outcome) {
	switch o.Status {
	case OK, Error, Rejected, Reset, InvalidResponse:
		e.lastAnswer = now
		b.answers++
	}
	switch o.Status {
	case OK:
		b.recordOvertaken(r)
		e.lossRate -= lossRateWeight * e.lossRate
		if r.overdue {
			b.missingShare -= missingShareWeight * b.missingShare // the call was slow, but not lost
		}
		b.recordLatency(now, r, e, o.Elapsed)
		b.recordPressure(now, r.class, o.Elapsed)
		if now <= r.targetAt {
			r.class.onTime++
		}
		b.recordError(e, 0, errorRateWeight)
		b.refillRetryBudget()
		if r.trial && e.state == stateEjected {
			b.endEjection(now, e)
		}
		return
	case Error, InvalidResponse:
		weight := errorRateWeight
		if o.Status == InvalidResponse {
			weight = invalidResponseWeight
		}
		b.recordError(e, 1, weight)
		if e.errorRate >= ejectErrorRate && e.errorRate >= ejectFleetRatio*b.errorRate && b.mayEject() {
			b.eject(now, e, reasonErrors)
		}
	case Rejected:
		e.rejectingUntil = now + seconds(r.class.baseLatency)
	case ConnectFailed:
		// An endpoint with a full connection table refuses connections like a dead process, but its calls in flight
		// go on.
		if len(e.calls) > 0 || e.lastAnswer > r.sentAt {
			e.rejectingUntil = now + b.settings.ConnectTimeout
		} else {
			b.eject(now, e, reasonConnectFailed)
			b.fetchSoon(now)
		}
	case Reset:
		e.connectionReset = true
		b.eject(now, e, reasonConnectionReset)
		b.fetchSoon(now)
	case Timeout:
		// An overloaded endpoint that answers only a few calls in time would look fast by its answers alone.
		if r.class.meanLatency > 0 {
			b.recordLatencyRatio(e, o.Elapsed.Seconds()/r.class.meanLatency)
		}
		fallthrough
	case Cancelled:
		b.recordPressure(now, r.class, o.Elapsed)
	}
	if r.trial && e.state == stateEjected {
		b.backOffTrial(now, e)
	}
}
