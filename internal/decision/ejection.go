package decision

import (
	"fmt"
	"time"
)

// The reasons for an ejection, as they appear in the log. The digests of the golden test include these texts.
const (
	reasonSilent          = "silent"
	reasonErrors          = "errors"
	reasonConnectFailed   = "connect failed"
	reasonConnectionReset = "connection reset"
	reasonPeerEvidence    = "by the word of others" // other instances have ejected the endpoint
	reasonReturnedEjected = "as before it left"     // the endpoint was ejected when it left the list
	reasonRestored        = "by the process before" // the snapshot of the preceding process says so
)

// mayEject reports whether errors and silence may eject one more endpoint. If more endpoints than
// maxEjectedShare fail at the same time, they probably share a cause.
func (b *Balancer) mayEject() bool {
	return float64(1+len(b.ejected)) <= maxEjectedShare*float64(len(b.listed))
}

// eject stops normal calls to an endpoint until a trial call is served or the list reports a new start. The
// reason appears in the log.
func (b *Balancer) eject(now time.Duration, e *endpoint, reason string) {
	if e.state > stateSlowStart {
		return
	}
	b.setState(e, stateEjected)
	b.inFlight -= len(e.calls) // calls that are stuck there must not use up the limit
	e.trialBackoff = max(seconds(trialDelayInConnectTimeouts*b.settings.ConnectTimeout.Seconds()),
		b.tickInterval)
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
	b.host.Log(fmt.Sprintf("endpoint %d isolated: %s (list version %d)", e.id, reason, e.listVersion))
}

// isSilent reports whether the oldest call to an endpoint is older than the given number of mean latencies
// and the endpoint has answered nothing since that call was sent, while other endpoints have answered.
func (b *Balancer) isSilent(now time.Duration, e *endpoint, means float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	oldest := e.calls[0]
	return oldest.class.meanLatency > 0 && isOlderThan(now, oldest, means) && e.lastAnswer < oldest.sentAt &&
		b.answers-oldest.answersAtSend >= silenceOtherAnswers
}

// isOlderThan reports whether a call has been in flight for more than the given number of mean latencies of
// its class.
func isOlderThan(now time.Duration, r *request, means float64) bool {
	return now-r.sentAt > seconds(means*r.class.meanLatency)
}

// ejectIfSilent ejects an endpoint that has been silent for too long, and withdraws those of its calls that
// can be sent again.
func (b *Balancer) ejectIfSilent(now time.Duration, e *endpoint) {
	silent := b.isSilent(now, e, silenceEjectTails*e.calls[0].class.tailRatio) ||
		len(e.calls) >= silenceEjectCalls && b.isSilent(now, e, silenceSuspectMeans) &&
			isOlderThan(now, e.calls[silenceEjectCalls-1], silenceSuspectMeans)
	if !silent || e.state == stateEjected && !e.calls[0].trial || e.state != stateEjected && !b.mayEject() {
		return
	}
	b.eject(now, e, reasonSilent)
	for _, r := range e.calls {
		if b.canWithdrawAndRetry(now, r) {
			b.withdraw(r)
		}
	}
}

// endpointDueForTrial returns an ejected endpoint of the subset that is due for a trial call, or nil. Only
// the first attempt of a request that may run twice serves as a trial call, and only after other endpoints
// have answered some calls. Without that condition an instance that is rarely called would try a dead
// endpoint with each request.
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

// backOffTrial doubles the pause before the next trial call, after a trial call has failed.
func (b *Balancer) backOffTrial(now time.Duration, e *endpoint) {
	e.trialBackoff = min(2*e.trialBackoff, max(b.settings.WarmUp, b.rateWindow))
	e.trialAt, e.trialAfterAnswers = now+b.jitter(e.trialBackoff), b.answers+silenceOtherAnswers
}

// endEjection puts an endpoint into slow start after a trial call was served. The endpoint may have
// restarted, so it does not get its full load at once.
func (b *Balancer) endEjection(now time.Duration, e *endpoint) {
	warmUpStart := now
	if !e.connectionReset {
		warmUpStart = b.slowStartOrigin(now, e)
	}
	e.connectionReset = false
	b.startSlowStart(now, e, warmUpStart)
	b.host.Log(fmt.Sprintf("endpoint %d back: trial call served", e.id))
}

// recountCalls adds the calls of an ejected endpoint back to the limit on calls in flight. It must be called
// before the endpoint changes to another state.
func (b *Balancer) recountCalls(e *endpoint) {
	if e.state == stateEjected {
		b.inFlight += len(e.calls)
	}
}

// jitter returns a random duration, evenly distributed between 0.75 and 1.25 of the given one.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}
