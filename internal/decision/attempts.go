package decision

import (
	"slices"
	"time"
)

// send makes an attempt. Where the Balancer may not cancel, the attempt gets a time-out at the age from
// which an endpoint counts as silent.
func (b *Balancer) send(now time.Duration, r *request, e *endpoint, trial bool) {
	r.current, r.sentAt, r.trial, r.answersAtSend, r.withdrawn = e, now, trial, b.answers, false
	r.overtaken, r.overdue, r.missing = 0, false, false
	r.attempts++
	b.sendCredit--
	if r.uploading {
		e.uploads++
	} else {
		b.startCall(e, r)
	}
	if e.state == stateSlowStart {
		e.slowStartTokens--
	}
	if w := b.warmSubsetWeight(); w > 0 && e.state == stateUsable && e.subsetWeight > 0 {
		b.warmSends.add(now, b.rateWindow, 1/w)
	}
	var timeout time.Duration
	if !b.settings.MayCancel && r.class.Effect != Unsafe && r.class.meanLatency > 0 {
		timeout = seconds(silenceEjectTails * r.class.tailRatio * r.class.meanLatency)
	}
	if timeout >= r.deadline-now || r.uploading {
		timeout = 0
	}
	b.host.Send(r.id, e.id, timeout, b.replayWindowLeft(now, r))
}

// startCall counts a call as in flight. One with a long body counts once the endpoint has all of it and can
// begin.
func (b *Balancer) startCall(e *endpoint, r *request) {
	if e.state != stateEjected {
		b.inFlight++
	}
	e.calls = append(e.calls, r)
	b.updateSets(e)
}

// endCall ends what startCall, or the upload of a long body, has counted.
func (b *Balancer) endCall(e *endpoint, r *request) {
	if r.uploading {
		e.uploads--
		return
	}
	if e.state != stateEjected {
		b.inFlight--
	}
	e.calls = slices.DeleteFunc(e.calls, func(x *request) bool { return x == r })
	b.updateSets(e)
}

// RequestSent is the event of the last byte of a long body being sent: the remaining time and the
// endpoint's latency count from here.
func (b *Balancer) RequestSent(now time.Duration, id RequestID, left time.Duration) {
	r := b.requests[id]
	if r == nil || r.current == nil || !r.uploading {
		return
	}
	r.current.uploads--
	r.uploading, r.sentAt, r.answersAtSend = false, now, b.answers
	r.deadline, r.targetAt = min(now+left, b.drainDeadline), min(now+r.class.LatencyTarget, b.drainDeadline)
	b.startCall(r.current, r)
	b.startTick()
}

// ResponseStarted is the event of a streamed response that has begun: the endpoint has done its work,
// however slowly the client reads.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID, attempt int, from EndpointID) {
	r := b.requests[id]
	if r == nil || r.responding || !r.isCurrent(attempt, from) {
		return
	}
	b.endCall(r.current, r)
	r.responding = true
	b.recordOutcome(now, r, r.current, Outcome{Status: OK, Elapsed: now - r.sentAt})
	b.dispatch(now)
}

// withdraw cancels the attempt in flight, once, where the site permits it and no response has begun.
func (b *Balancer) withdraw(r *request) {
	if b.settings.MayCancel && !r.withdrawn && !r.responding {
		r.withdrawn = true
		b.host.Cancel(r.id, r.attempts-1)
	}
}
