package decision

import (
	"slices"
	"time"
)

// send sends an attempt. If the site does not permit cancellation, the attempt gets a timeout at the age at
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
	if weight := b.warmSubsetWeight(); weight > 0 && e.state == stateUsable && e.subsetWeight > 0 {
		b.warmSends.add(now, b.rateWindow, 1/weight)
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

// startCall counts a call as in flight. A call with a long body counts only when the whole body has been
// sent, because the endpoint cannot begin earlier.
func (b *Balancer) startCall(e *endpoint, r *request) {
	if e.state != stateEjected {
		b.inFlight++
	}
	e.calls = append(e.calls, r)
	b.updateSets(e)
}

// endCall reverts the count of startCall or, before the end of a long body, of the upload.
func (b *Balancer) endCall(e *endpoint, r *request) {
	if r.uploading {
		e.uploads--
		return
	}
	if e.state != stateEjected {
		b.inFlight--
	}
	e.calls = slices.DeleteFunc(e.calls, func(call *request) bool { return call == r })
	b.updateSets(e)
}

// RequestSent handles the event that the last byte of a long body has been sent. The remaining time of the
// client and the latency of the endpoint count from now.
func (b *Balancer) RequestSent(now time.Duration, id RequestID, remaining time.Duration) {
	r := b.requests[id]
	if r == nil || r.current == nil || !r.uploading {
		return
	}
	r.current.uploads--
	r.uploading, r.sentAt, r.answersAtSend = false, now, b.answers
	r.deadline, r.targetAt = min(now+remaining, b.drainDeadline), min(now+r.class.LatencyTarget, b.drainDeadline)
	b.startCall(r.current, r)
	b.startTick()
}

// ResponseStarted handles the event that a streamed response has begun. The call no longer counts as in
// flight: how fast the client reads the rest does not depend on the endpoint.
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

// withdraw cancels the attempt in flight if the site permits it and no response has begun. It cancels an
// attempt only once.
func (b *Balancer) withdraw(r *request) {
	if b.settings.MayCancel && !r.withdrawn && !r.responding {
		r.withdrawn = true
		b.host.Cancel(r.id, r.attempts-1)
	}
}
