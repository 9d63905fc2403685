package decision

import (
	"fmt"
	"time"
)

// mayEject keeps errors and silence from isolating too much of the list: so many at once share a cause.
func (b *Balancer) mayEject() bool {
	return float64(1+len(b.ejected)) <= maxEjectedShare*float64(len(b.listed))
}

// isolate takes an endpoint out of the draw until a trial call is served or a newer list names a new start.
func (b *Balancer) eject(now time.Duration, e *endpoint, why string) {
	if e.state > stateSlowStart {
		return
	}
	b.setState(e, stateEjected)
	b.inFlight -= len(e.calls) // stuck calls must not use up the limit
	e.trialBackoff = max(seconds(firstTrialConnectTimeouts*b.settings.ConnectTimeout.Seconds()), b.tick)
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, why, e.listVersion))
}

// suspect tells whether an endpoint has left its oldest call unanswered for long and said nothing since.
func (b *Balancer) isSilent(now time.Duration, e *endpoint, after float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	r := e.calls[0]
	return r.class.meanLatency > 0 && now-r.sentAt > seconds(after*r.class.meanLatency) && e.lastAnswer < r.sentAt &&
		b.answers-r.answersAtSend >= silenceOtherAnswers
}

// age isolates an endpoint whose silence has lasted.
func (b *Balancer) ejectIfSilent(now time.Duration, e *endpoint) {
	silent := b.isSilent(now, e, silenceEjectTails*e.calls[0].class.tailRatio) ||
		len(e.calls) >= silenceEjectCalls && b.isSilent(now, e, silenceSuspectMeans) &&
			now-e.calls[silenceEjectCalls-1].sentAt > seconds(silenceSuspectMeans*e.calls[silenceEjectCalls-1].class.meanLatency)
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

// dueTrial is an isolated endpoint that is due a trial; only a first attempt with time for another is risked,
// and one of a few: an instance that is asked once in ten seconds tried a dead endpoint with each request.
func (b *Balancer) dueTrial(now time.Duration, r *request) *endpoint {
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

// postpone doubles the wait for the next trial call after one that failed.
func (b *Balancer) backOffTrial(now time.Duration, e *endpoint) {
	e.trialBackoff = min(2*e.trialBackoff, max(b.settings.WarmUp, b.rateWindow))
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
}

// restore ends an isolation; the endpoint ramps up, as it may have restarted.
func (b *Balancer) endEjection(now time.Duration, e *endpoint) {
	from := now
	if !e.connectionReset {
		from = b.slowStartOrigin(now, e)
	}
	e.connectionReset = false
	b.startSlowStart(now, e, from)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// reopen counts an isolated endpoint's calls in flight again, as it is isolated no longer.
func (b *Balancer) recountCalls(e *endpoint) {
	if e.state == stateEjected {
		b.inFlight += len(e.calls)
	}
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
