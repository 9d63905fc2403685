package coresim

import (
	"time"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// Times and faults of the calls that applications make.
const (
	// answerTimeout is the time that a caller waits for an answer before it calls another machine.
	answerTimeout = time.Second
	// One in lateCallFraction calls is delayed by up to maxCallDelay, and one in lostCallAnswerFraction answers is lost.
	lateCallFraction       = 20
	maxCallDelay           = 3 * time.Second
	lostCallAnswerFraction = 15
	// retryDuration is the time for which a call without a definite answer is retried.
	retryDuration = 6 * time.Second
)

// coordinationRequest is a call of an application. Exactly one of command, cell, group and watch is set.
type coordinationRequest struct {
	command     *coordination.Command
	cell, group string
	// watch has no Answer, and its Deadline is relative to the arrival of the call.
	watch *coordination.Watch
	// onSend is called each time the call is sent; may be nil.
	onSend func()
}

// coordinationAnswer is the outcome of a call as the application sees it.
type coordinationAnswer struct {
	result coordination.Result
	events []coordination.Event
	// failed is set if the answer is an error of the given kind.
	failed bool
	kind   errkind.Kind
	// missing is set if there was no answer in time.
	missing bool
}

// isDefinite reports whether the answer decides the call, so that it needs no retry.
func (a coordinationAnswer) isDefinite() bool {
	return !a.missing && (!a.failed || a.isRejection())
}

// isRejection reports whether a call was rejected because of the state of the coordination service.
func (a coordinationAnswer) isRejection() bool {
	if a.missing || !a.failed {
		return false
	}
	switch a.kind {
	case errkind.LockHeld, errkind.LockLost, errkind.RevisionConflict, errkind.HistoryGone:
		return true
	}
	return false
}

// guaranteesNotExecuted reports whether the answer guarantees that the call was not executed, as a 503 or 429 does.
func (a coordinationAnswer) guaranteesNotExecuted() bool {
	status := errkind.AnswerOf(a.kind).Status
	return !a.missing && a.failed && (status == 503 || status == 429)
}

// outcome returns the name under which a call with the answer is counted.
func (a coordinationAnswer) outcome() string {
	switch {
	case a.missing:
		return "no answer"
	case a.failed:
		return errkind.AnswerOf(a.kind).Text
	}
	return "done"
}

// call makes one call to a random machine. It passes on exactly one answer, at the latest after answerTimeout plus the time that
// a watch may wait.
func (t *coordinationTable) call(request coordinationRequest, answer func(coordinationAnswer)) {
	sim := t.sim
	if request.onSend != nil {
		request.onSend()
	}
	answered := false
	once := func(a coordinationAnswer) {
		if !answered {
			answered = true
			t.calls[a.outcome()]++
			if request.command != nil {
				t.tracef("a caller sees %q %+v for %s", a.outcome(), a.result, tracedCommand(*request.command))
			}
			answer(a)
		}
	}
	timeout := answerTimeout
	if request.watch != nil {
		timeout += request.watch.Deadline
	}
	sim.after(timeout, func() { once(coordinationAnswer{missing: true}) })
	m := t.randomTarget()
	delay := minDelay + t.duration(0, maxExtraDelay)
	if t.faultOccurs(lateCallFraction) {
		delay += t.duration(0, maxCallDelay)
	}
	isLost := t.faultOccurs(lostCallAnswerFraction)
	respond := func(a coordinationAnswer) {
		if !isLost {
			sim.after(minDelay, func() { once(a) })
		}
	}
	sim.after(delay, func() {
		if request.command != nil {
			t.tracef("a call arrives at %s, sent %v before: %s", m.address, delay, tracedCommand(*request.command))
		}
		m.serveCall(request, respond)
	})
}

// randomTarget returns a random machine of the deployment, whose process may not be running.
func (t *coordinationTable) randomTarget() *machine {
	var present []*machine
	for _, m := range t.sim.machines {
		if !m.removed {
			present = append(present, m)
		}
	}
	return present[t.random.IntN(len(present))]
}

// definiteAnswerHandler receives the last answer of callUntilDefinite and the time at which that call was sent. Certain is set
// if the operation cannot have been executed unless the answer says so, because every earlier attempt is known not to have been
// executed.
type definiteAnswerHandler func(sentAt time.Duration, answer coordinationAnswer, certain bool)

// callUntilDefinite makes a call to random machines, with retries until there is a definite answer or retryFor has passed.
func (t *coordinationTable) callUntilDefinite(request coordinationRequest, retryFor time.Duration, done definiteAnswerHandler) {
	deadline := t.sim.now + retryFor
	certain := true
	var attempt func()
	attempt = func() {
		sentAt := t.sim.now
		t.call(request, func(answer coordinationAnswer) {
			if answer.isDefinite() || t.sim.now >= deadline {
				done(sentAt, answer, certain && (answer.isDefinite() || answer.guaranteesNotExecuted()))
				return
			}
			certain = certain && answer.guaranteesNotExecuted()
			t.sim.after(t.duration(minDelay, maxRetryPause), attempt)
		})
	}
	attempt()
}

// bufferedCall is the call of an application that has arrived at a frozen process.
type bufferedCall struct {
	arrivedAt time.Duration
	request   coordinationRequest
	respond   func(coordinationAnswer)
}

// serveCall serves the call of an application at a machine. A frozen process serves it after its resumption.
func (m *machine) serveCall(request coordinationRequest, respond func(coordinationAnswer)) {
	switch {
	case !m.up || m.removed:
		respond(coordinationAnswer{missing: true}) // no connection
	case !m.isRunning():
		m.inbox = append(m.inbox, bufferedCall{arrivedAt: m.sim.now, request: request, respond: respond})
	default:
		m.coordination.serve(request, respond)
	}
}

// resume serves a call that had arrived while the process was frozen. If the call is older than callTimeout, then in half of
// the cases the process had already read it, notices its age and refuses it.
func (p *coordinationProcess) resume(call bufferedCall) {
	isLate := p.m.sim.now-call.arrivedAt > callTimeout
	if isLate && p.m.sim.coordination.oneIn(2) {
		call.respond(coordinationAnswer{failed: true, kind: errkind.NotReady})
		return
	}
	p.serve(call.request, call.respond)
}

// serve executes a call. There is no answer if the process ends first.
func (p *coordinationProcess) serve(request coordinationRequest, respond func(coordinationAnswer)) {
	incarnation := p.m.incarnation
	answer := func(a coordinationAnswer) {
		if p.m.incarnation == incarnation {
			respond(a)
		}
	}
	switch {
	case request.command != nil:
		p.write(*request.command, func(reply protocol.Reply) { answer(writeAnswer(p.m.sim.options.Flaw, reply)) })
	case request.watch != nil:
		p.serveWatch(*request.watch, answer)
	default:
		p.read(request.cell, request.group, func(reply protocol.Reply) { answer(answerOf(reply)) })
	}
}

// writeAnswer returns the answer to a write. Without a reply of the head the outcome of the write is unknown.
func writeAnswer(flaw Flaw, reply protocol.Reply) coordinationAnswer {
	a := answerOf(reply)
	if a.failed && a.kind == errkind.Unavailable && flaw != UnknownAsNotExecuted {
		a.kind = errkind.OutcomeUnknown
	}
	return a
}

// answerOf returns the answer that an application sees for a reply.
func answerOf(reply protocol.Reply) coordinationAnswer {
	a := coordinationAnswer{result: reply.Coordination, failed: reply.Failed, kind: errkind.Kind(reply.Kind)}
	a.result.Value = withoutPutMark(a.result.Value)
	return a
}

// serveWatch adds a watch to the watch table of this member.
func (p *coordinationProcess) serveWatch(w coordination.Watch, answer func(coordinationAnswer)) {
	now := p.m.sim.now
	w.Deadline += now
	w.Answer = func(a coordination.WatchAnswer) {
		answered := coordinationAnswer{events: p.flawed.events(a.Events), result: coordination.Result{Revision: a.Revision}}
		if a.Err != nil {
			answered = coordinationAnswer{failed: true, kind: errkind.KindOf(a.Err)}
		}
		answer(answered)
	}
	p.watches.Add(now, p.watchSource(), &w)
}
