package decision

import (
	"fmt"
	"time"
)

// mayEject reports whether errors and silence may eject one more endpoint: where so many fail at once, the
// cause is shared.
func (b *Balancer) mayEject() bool {
	return float64(1+len(b.ejected)) <= maxEjectedShare*float64(len(b.listed))
}

// eject takes an endpoint out of the draw until a trial call is served or the list names a new start. Its
// calls in flight leave the limit: stuck calls must not use it up.
func (b *Balancer) eject(now time.Duration, e *endpoint, why string) {
	if e.state > stateSlowStart {
		return
	}
	b.setState(e, stateEjected)
	b.inFlight -= len(e.calls) // stuck calls must not use up the limit
	e.trialBackoff = max(seconds(trialDelayInConnectTimeouts*b.settings.ConnectTimeout.Seconds()), b.tickInterval)
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, why, e.listVersion))
}

// isSilent reports whether an endpoint has left its oldest call unanswered for so many mean latencies and
// answered nothing since, while others have answered.
func (b *Balancer) isSilent(now time.Duration, e *endpoint, after float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	oldest := e.calls[0]
	return oldest.class.meanLatency > 0 && isOlderThan(now, oldest, after) && e.lastAnswer < oldest.sentAt &&
		b.answers-oldest.answersAtSend >= silenceOtherAnswers
}

// isOlderThan reports whether a call has been in flight for more than so many mean latencies of its class.
func isOlderThan(now time.Duration, r *request, means float64) bool {
	return now-r.sentAt > seconds(means*r.class.meanLatency)
}

// ejectIfSilent ejects an endpoint whose silence has lasted, and withdraws its calls that can be sent
// again.
func (b *Balancer) ejectIfSilent(now time.Duration, e *endpoint) {
	silent := b.isSilent(now, e, silenceEjectTails*e.calls[0].class.tailRatio) ||
		len(e.calls) >= silenceEjectCalls && b.isSilent(now, e, silenceSuspectMeans) &&
			isOlderThan(now, e.calls[silenceEjectCalls-1], silenceSuspectMeans)
	if !silent || e.state == stateEjected && !e.calls[0].trial || e.state != stateEjected && !b.mayEject() {
		return
	}
	b.eject(now, e, "silent")
	for _, r := range e.calls {
		if b.canWithdrawAndRetry(now, r) {
			b.withdraw(r)
		}
	}
}

// endpointDueForTrial is an ejected endpoint of the subset that is due for a trial call. Only a first attempt that may
// run twice is risked, and only after some answers of others: an instance that is rarely called would else
// try a dead endpoint with each request.
func (b *Balancer) endpointDueForTrial(now time.Duration, r *request) *endpoint {
	if r.attempts > 0 || r.class.Effect == Unsafe {
		return nil
	}
	for _, e := range b.ejected {
		if e.subsetWeight > 0 && e.trialAt <= now && e.trialAfterAnswers <= b.answers && len(e.calls) == 0 {
			return e
		}
	}
	return nil
}

// backOffTrial doubles the pause before the next trial call, after one that failed.
func (b *Balancer) backOffTrial(now time.Duration, e *endpoint) {
	e.trialBackoff = min(2*e.trialBackoff, max(b.settings.WarmUp, b.rateWindow))
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
}

// endEjection returns an endpoint after a trial call was served. It goes through slow start, as it may have
// restarted.
func (b *Balancer) endEjection(now time.Duration, e *endpoint) {
	from := now
	if !e.connectionReset {
		from = b.slowStartOrigin(now, e)
	}
	e.connectionReset = false
	b.startSlowStart(now, e, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// recountCalls counts an ejected endpoint's calls in flight again, before it changes to another state.
func (b *Balancer) recountCalls(e *endpoint) {
	if e.state == stateEjected {
		b.inFlight += len(e.calls)
	}
}

// jitter spreads a pause evenly over 0.75 to 1.25 of its length.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
