package coresim

import (
	"time"

	"dykering/internal/coordination"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// Times and faults of the calls of applications.
const (
	// answerTimeout is how long a caller waits before it calls another machine.
	answerTimeout = time.Second
	// One of so many calls is late, by up to maxCallDelay, and one of so many answers is lost.
	lateCallFraction       = 20
	maxCallDelay           = 3 * time.Second
	lostCallAnswerFraction = 15
	// retryDuration is for how long a call without a clear answer is sent again.
	retryDuration = 6 * time.Second
)

// coordinationRequest is a call of an application: a command, a read of a cell or of a group, or a watch.
type coordinationRequest struct {
	command     *coordination.Command
	cell, group string
	watch       *coordination.Watch // without an Answer; its deadline is the time to wait
	// onSend is called whenever the call is sent; nil for nothing.
	onSend func()
}

// coordinationAnswer is what an application sees of a call.
type coordinationAnswer struct {
	result coordination.Result
	events []coordination.Event
	// kind is that of a failure, if failed is set.
	failed bool
	kind   errkind.Kind
	// missing is set if there was no answer.
	missing bool
}

// isDefinite reports whether a call need not be sent again.
func (a coordinationAnswer) isDefinite() bool {
	return !a.missing && (!a.failed || a.isRejection())
}

// isRejection reports whether a call was rejected for what the state is.
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

// guaranteesNotExecuted reports whether the answer, a 503 or 429, promises that nothing was done.
func (a coordinationAnswer) guaranteesNotExecuted() bool {
	status := errkind.AnswerOf(a.kind).Status
	return !a.missing && a.failed && (status == 503 || status == 429)
}

// outcome is how calls are counted.
func (a coordinationAnswer) outcome() string {
	switch {
	case a.missing:
		return "no answer"
	case a.failed:
		return errkind.AnswerOf(a.kind).Text
	}
	return "done"
}

// call makes one call at a machine drawn at random. The answer is given once, after answerTimeout and the time that a watch
// waits at the latest.
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

// randomTarget returns one of the machines that are part of the deployment; its process need not run.
func (t *coordinationTable) randomTarget() *machine {
	var present []*machine
	for _, m := range t.sim.machines {
		if !m.removed {
			present = append(present, m)
		}
	}
	return present[t.random.IntN(len(present))]
}

// definiteAnswerHandler is what callUntilDefinite tells at its end.
type definiteAnswerHandler func(sentAt time.Duration, answer coordinationAnswer, certain bool)

// callUntilDefinite makes a call again, at machines drawn at random, until there is a clear answer or the time is over. Done is
// told when the last call was sent, and whether nothing can have been done unless the answer says so: no earlier call was left
// without a clear answer.
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

// bufferedCall is a call that has arrived at a frozen process.
type bufferedCall struct {
	arrivedAt time.Duration
	request   coordinationRequest
	respond   func(coordinationAnswer)
}

// serveCall serves the call of an application at a machine. A frozen process serves it when it goes on.
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

// resume serves a call that had arrived while the process was frozen. In one of two cases the process had read it, and finds
// that it is late.
func (p *coordinationProcess) resume(call bufferedCall) {
	isLate := p.m.sim.now-call.arrivedAt > callTimeout
	if isLate && p.m.sim.coordination.oneIn(2) {
		call.respond(coordinationAnswer{failed: true, kind: errkind.NotReady})
		return
	}
	p.serve(call.request, call.respond)
}

// serve executes a call. There is no answer if the process ends before.
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

// writeAnswer returns the answer to a write. One without a reply of the head may have been executed.
func writeAnswer(flaw Flaw, reply protocol.Reply) coordinationAnswer {
	a := answerOf(reply)
	if a.failed && a.kind == errkind.Unavailable && flaw != UnknownAsNotExecuted {
		a.kind = errkind.OutcomeUnknown
	}
	return a
}

func answerOf(reply protocol.Reply) coordinationAnswer {
	a := coordinationAnswer{result: reply.Coordination, failed: reply.Failed, kind: errkind.Kind(reply.Kind)}
	a.result.Value = withoutPutMark(a.result.Value)
	return a
}

// serveWatch adds a watch to those that wait at this member.
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
