package orders

import (
	"time"

	"dykering/internal/placement"
)

// step executes the next step of a task that is due.
func (m *Machine) step(now time.Duration, lease Lease, t *task) Output {
	switch t.phase {
	case publishing, preparing:
		t.phase = preparing
		return m.prepare(now, lease, t)
	case retrying:
		return m.post(now, lease, t)
	case executing:
		if t.isAssumedDone() {
			return m.complete(t)
		}
	}
	return m.requestReport(t)
}

// prepare posts the order if the state of its endpoint is known. Otherwise it requests a report first, at the earliest time at
// which the report is recent enough.
func (m *Machine) prepare(now time.Duration, lease Lease, t *task) Output {
	state := m.state(t.order.Endpoint)
	switch {
	case state.hasReport:
		return m.post(now, lease, t)
	case now < state.reportNotBefore:
		t.due = state.reportNotBefore
		return Output{}
	}
	return m.requestReport(t)
}

// post sends the order if it fits the endpoint and the lease that it was planned under is held. Otherwise it drops the order.
func (m *Machine) post(now time.Duration, lease Lease, t *task) Output {
	state := m.state(t.order.Endpoint)
	endpoint := placement.Endpoint{Models: state.models}
	if !endpoint.Fits(t.order, t.engine) || !lease.Held || lease.Token != t.token {
		return m.abandon(now, t)
	}
	if LoadsWeights(t.order) {
		// The order may be sent later than planned, and the store's rate limit applies to the actual start of a load.
		m.ledger.Reschedule(t.recordedAt, now)
		t.recordedAt = now
	}
	t.phase = posting
	t.expectedEnd = now + ExpectedDuration(t.engine, t.order)
	call := OrderCall{ID: m.newCall(t), Address: t.address, Order: t.order, IfRevision: state.sequence, Token: t.token}
	return Output{Orders: []OrderCall{call}}
}

// OrderAnswered applies the answer to an OrderCall.
func (m *Machine) OrderAnswered(now time.Duration, endpoint string, id CallID, answer Answer) Output {
	t := m.tasks[endpoint]
	if t == nil || t.call != id {
		return Output{}
	}
	t.call = 0
	switch answer.Outcome {
	case Accepted:
		m.state(endpoint).sequence++
		t.acceptedAt = now
		t.expectedEnd = now + ExpectedDuration(t.engine, t.order)
		t.scheduleStep(executing, t.expectedEnd)
		return Output{}
	case AlreadyDone:
		return m.complete(t)
	case Unknown:
		t.scheduleStep(uncertain, now+MaxReportAge)
		return Output{}
	case Conflict:
		if t.conflicts++; t.conflicts <= maxConflictRetries {
			t.scheduleStep(retrying, now+conflictBackoff)
			return Output{}
		}
	}
	out := m.abandon(now, t)
	out.Refusals = append(out.Refusals, Refusal{Endpoint: endpoint, Status: answer.Status})
	return out
}

// ReportReceived applies the answer to a ReportCall. The report is nil if the call was not answered.
func (m *Machine) ReportReceived(now time.Duration, lease Lease, endpoint string, id CallID, report *Report) Output {
	t := m.tasks[endpoint]
	if t == nil || t.call != id {
		return Output{}
	}
	t.call = 0
	if report == nil {
		t.failedReports++
		return m.reportFailed(now, t)
	}
	t.failedReports = 0
	if t.phase == preparing {
		return m.prepareWithReport(now, lease, t, *report)
	}
	return m.resolve(now, t, *report)
}

// reportFailed handles a report call without an answer. An order that has not been posted is dropped; for any other order, the
// next report call is scheduled.
func (m *Machine) reportFailed(now time.Duration, t *task) Output {
	if t.phase == preparing {
		return m.abandon(now, t)
	}
	t.due = now + pollInterval(now-t.expectedEnd)
	return Output{}
}

// prepareWithReport posts the order after a report of an idle endpoint. If the endpoint executes another order, it drops the
// order.
func (m *Machine) prepareWithReport(now time.Duration, lease Lease, t *task, report Report) Output {
	if report.Busy {
		return m.abandon(now, t)
	}
	m.state(t.order.Endpoint).applyReport(report)
	return m.post(now, lease, t)
}

// resolve ends a task if the report shows the outcome, which only the report of an idle endpoint does. Otherwise it schedules
// the next report call.
func (m *Machine) resolve(now time.Duration, t *task, report Report) Output {
	state := m.state(t.order.Endpoint)
	isOutdated := t.phase == executing && report.Sequence < state.sequence && now < t.acceptedAt+MaxReportAge
	if report.Busy || isOutdated {
		if t.phase == uncertain && report.Sequence > state.sequence {
			state.sequence = report.Sequence // the higher number shows that the order was accepted
			t.phase, t.acceptedAt = executing, now
		}
		t.due = now + pollInterval(now-t.expectedEnd)
		return Output{}
	}
	state.applyReport(report)
	out := m.remove(t)
	if t.phase == awaitingIdle {
		return out
	}
	publication := Publication{Endpoint: t.order.Endpoint, Override: OverrideOf(t.order)}
	if !isExecuted(t.order, report.Models) {
		publication = Publication{Endpoint: t.order.Endpoint, Withdraw: true}
	}
	out.Publications = append(out.Publications, publication)
	return out
}

// complete ends an order that was executed. It publishes a load; an unload was already published before it was posted.
func (m *Machine) complete(t *task) Output {
	m.state(t.order.Endpoint).apply(t.order)
	out := m.remove(t)
	if t.order.Operation == placement.Load {
		out.Publications = append(out.Publications, Publication{Endpoint: t.order.Endpoint, Override: OverrideOf(t.order)})
	}
	return out
}

// abandon drops an order that was not executed, and withdraws its publication. The endpoint gets no other order until it
// reports to be idle.
func (m *Machine) abandon(now time.Duration, t *task) Output {
	m.state(t.order.Endpoint).invalidate(now)
	t.scheduleStep(awaitingIdle, now+MaxReportAge)
	t.expectedEnd = now
	return Output{Publications: []Publication{{Endpoint: t.order.Endpoint, Withdraw: true}}, Replan: true}
}

// remove deletes a task, so that its endpoint may get the next order.
func (m *Machine) remove(t *task) Output {
	delete(m.tasks, t.order.Endpoint)
	return Output{Replan: true}
}

// requestReport starts a call that asks the endpoint of a task for its report.
func (m *Machine) requestReport(t *task) Output {
	return Output{Reports: []ReportCall{{ID: m.newCall(t), Endpoint: t.order.Endpoint, Address: t.address}}}
}

// newCall returns a new call ID and records it as the task's call in flight.
func (m *Machine) newCall(t *task) CallID {
	m.lastCall++
	t.call = m.lastCall
	return t.call
}
