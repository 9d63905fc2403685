// What is made of outcomes and of silence, and whether a call is sent again.

package decision

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Written tells that the last byte of a long request is out: its time counts from here on.
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

// Begun tells that a long answer has started: its endpoint has done its work, whatever the client's pace.
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

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || !r.isCurrent(o.Attempt, o.Endpoint) {
		return // told twice, or late: another attempt may be out, and is still to end
	}
	e := r.current
	if !r.responding {
		b.endCall(e, r)
	}
	r.current = nil
	b.recordLoadReport(now, e, o.Load)
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

// judge learns from an outcome about its endpoint and the fleet.
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
			b.missingShare -= missingShareWeight * b.missingShare // it was slow
		}
		b.recordLatency(now, r, e, o.Elapsed)
		b.recordPressure(now, r.class, o.Elapsed)
		if now <= r.targetAt {
			r.class.onTime++
		}
		b.recordError(e, 0, errorRateWeight)
		b.earnRetry()
		if r.trial && e.state == stateEjected {
			b.endEjection(now, e)
		}
		return
	case Error, InvalidResponse:
		b.recordError(e, 1, map[Status]float64{Error: errorRateWeight, InvalidResponse: invalidResponseWeight}[o.Status])
		if e.errorRate >= ejectErrorRate && e.errorRate >= ejectFleetRatio*b.errorRate && b.mayEject() {
			b.eject(now, e, "errors")
		}
	case Rejected:
		e.rejectingUntil = now + seconds(r.class.baseLatency)
	case ConnectFailed:
		// A full connection table refuses as a dead process does, but its open calls go on.
		if len(e.calls) > 0 || e.lastAnswer > r.sentAt {
			e.rejectingUntil = now + b.settings.ConnectTimeout
		} else {
			b.eject(now, e, "connect failed")
			b.fetchSoon(now)
		}
	case Reset:
		e.connectionReset = true
		b.eject(now, e, "connection reset")
		b.fetchSoon(now)
	case Timeout:
		// Its answers alone would make a choked endpoint, that answers few in time, look well.
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

// press takes what a call took into the strain, and moves the pace of calls by it where instances outnumber
// endpoints: there each has a call or two in flight, and no limit on their number keeps a tier from filling
// up. It goes by clients' requests only: what the tiers above have worked on is not refused below.
func (b *Balancer) recordPressure(now time.Duration, c *class, took time.Duration) {
	due := min(pressureUsualFactor*c.usualLatency, pressureTargetShare*c.LatencyTarget.Seconds())
	if due <= 0 || b.settings.Stage > 0 {
		return
	}
	dt := (now - b.pressureAt).Seconds()
	weight := min(pressureMaxWeight, dt/(pressureTargets*c.LatencyTarget.Seconds()))
	b.latencyPressure += weight * (min(took.Seconds()/due, pressureMaxSample) - b.latencyPressure)
	b.pressureAt = now
	if b.settings.Instances <= len(b.listed) {
		b.isPaced = false // instances were more when it began
		return
	}
	most := pacingStartFactor * b.requestRate.peak(now, b.rateWindow)
	if !b.isPaced {
		b.isPaced, b.sendRate, b.sendCredit, b.sendCreditAt = b.latencyPressure > 1, most, pacingBurst, now
	} else {
		b.sendRate = max(b.sendRate*(1-pacingGain*min(b.latencyPressure-1, 1)*min(dt, 1)), pacingMinFactor*most)
		b.isPaced = b.latencyPressure > 1
	}
}

// learn takes an answer's latency into the class's figures and the rates.
func (b *Balancer) recordLatency(now time.Duration, r *request, e *endpoint, took time.Duration) {
	c, s := r.class, took.Seconds()
	if c.meanLatency == 0 {
		c.meanLatency, c.baseLatency = s, s
	}
	if c.tailRatio -= tailStep * tailQuantile; s > (c.tailRatio+tailStep)*c.meanLatency {
		c.tailRatio += tailStep
	}
	c.meanLatency += classMeanWeight * (s - c.meanLatency)
	c.windowSum += s
	c.windowAnswers++
	if c.windows == 0 {
		c.baseLatency = c.windowSum / float64(c.windowAnswers)
		c.usualLatency = c.baseLatency
	}
	if c.windowAnswers >= baseWindowAnswers && now-c.windowStart >= b.rateWindow {
		c.updateBase(c.windowSum / float64(c.windowAnswers))
		c.windowSum, c.windowAnswers, c.windowStart = 0, 0, now
	}
	able := b.usableCapacity(now)
	b.baseLoad.add(now, b.rateWindow, c.baseLatency/able)
	b.slackLoad.add(now, b.rateWindow, slackShare*max(c.LatencyTarget.Seconds()-c.baseLatency, 0)/able)
	b.recordLatencyRatio(e, s/c.meanLatency)
	b.answerRate.add(now, b.rateWindow, 1)
}

// report takes the service time that an endpoint reports. It tells how fast a machine is within an answer or
// two; the latency of calls does not, as it holds the time of the tiers below.
func (b *Balancer) recordLoadReport(now time.Duration, e *endpoint, l *Load) {
	if l == nil || l.Service <= 0 {
		return
	}
	for len(b.kindServiceTime) <= e.kind {
		b.kindServiceTime = append(b.kindServiceTime, runningMean{})
	}
	k := &b.kindServiceTime[e.kind]
	if s := l.Service.Seconds(); k.count*kindMeanWeight < 0.5 || s < k.mean {
		k.add(s, kindMeanWeight)
	} else {
		k.add(s, kindMeanWeight/8)
	}
	e.serviceTime.add(l.Service.Seconds(), reportMeanWeight)
}

// odds is an endpoint's chance in a draw: by the part of its weight in the subset, or by its whole size for
// a further attempt that has left the subset. At full size an instance has so few calls in flight that the
// draw, not the comparison, keeps small machines from getting what large ones get.
func (b *Balancer) drawWeight(e *endpoint) float64 {
	if e.subsetWeight > 0 {
		return b.relativeCapacity(e) * e.subsetWeight / b.weight(e)
	}
	return b.relativeCapacity(e)
}

// size is what an endpoint can do beside others: its listed weight, less what it is slower than its kind by;
// where the list weighs all alike, what its pace tells.
func (b *Balancer) relativeCapacity(e *endpoint) float64 {
	if len(b.kindServiceTime) > 0 && !b.weighted {
		return b.kindSpeed(e) * b.kindServiceTime[min(e.kind, len(b.kindServiceTime)-1)].relativeTo(e.serviceTime)
	}
	if !b.weighted {
		return 1 / b.relativeLatency(e)
	}
	return e.weight * b.kindLatencyRatio(e) / b.relativeLatency(e)
}

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

// heed takes what the process before an instance's has an endpoint open to.
func (b *Balancer) restoreEndpointState(now time.Duration, e *endpoint, x EndpointSnapshot) {
	if x.Isolated && b.mayEject() {
		b.eject(now, e, "by the process before")
	} else if x.Ramping && e.state == stateUsable {
		b.startSlowStart(now, e, now-x.Ramped)
	}
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

// ramp starts slow start, counted from the given time.
func (b *Balancer) startSlowStart(now time.Duration, e *endpoint, from time.Duration) {
	b.recountCalls(e)
	b.setState(e, stateSlowStart)
	e.slowStartFrom = from
	if now-e.slowStartTokensAt < b.rateWindow {
		return // who leaves and returns by turns gets no more by that
	}
	e.slowStartTokens, e.slowStartTokensAt = 1, now
	if now-from < seconds(returnedWarmShare*b.settings.WarmUp.Seconds()) {
		e.slowStartTokens = b.rng.Float64() // all instances hear of a start at once
	}
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (0.75 + 0.5*b.rng.Float64()))
}

// refresh asks for a fresh list after a broken connection, at a pace.
func (b *Balancer) fetchSoon(now time.Duration) {
	if now < b.nextFetchAt {
		return
	}
	pace := cmp.Or(b.settings.DiscoveryInterval, max(b.settings.WarmUp, b.rateWindow))
	b.nextFetchAt = now + b.jitter(seconds(fetchIntervalShare*pace.Seconds()))
	b.host.Fetch()
}

// again decides what follows an attempt that failed: another where rules, budget and time allow, or the end.
func (b *Balancer) retryOrFinish(now time.Duration, r *request, e *endpoint, o Outcome) {
	r.lastFailed = e
	if !o.Status.NeverRan() {
		if r.mayHaveRunAt == nil {
			r.mayHaveRunAt, r.ranInZone, r.ranInCell, r.firstRunAt = e, e.zone, e.cell, r.sentAt
		}
		if b.retryTokens < 1 || r.class.Effect == Unsafe || o.NotReplayable {
			b.finish(now, r)
			return
		}
		b.retryTokens--
	}
	if o.NotReplayable || r.attempts >= b.settings.MaxAttempts || now+b.tick >= r.deadline {
		b.finish(now, r)
		return
	}
	b.enqueue(r)
}

// finish gives the final answer: refused where a repeat is proven harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	r.final = true
	if r.mayHaveRunAt == nil && r.current == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Scope == ScopeAll {
		b.host.Refuse(r.id, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.id)
	}
	if r.current == nil {
		delete(b.requests, r.id)
	}
}

// comeBack is when a refused client should ask again: when what is held and in flight now will have been
// answered at the present rate, no sooner than after the time that it waited here in vain, or, where that
// outlasts the only instance, when its successor serves. Clients that come sooner find the same queue, or
// nobody. Where no rate is known, or nobody there who could serve it, a rate window may tell more.
func (b *Balancer) retryAfter(now time.Duration, r *request) (wait time.Duration) {
	if r.attempts == 0 {
		wait = now - r.arrivedAt
	}
	queue := b.rateWindow
	if rate := b.answerRate.value(now, b.rateWindow); rate > 0 && b.reachable(now, r) {
		queue = seconds(min(float64(len(b.queue)+b.inFlight+b.predecessor.sum(now))/rate, b.settings.MaxRetryAfter.Seconds()))
	}
	wait = min(max(wait, queue, seconds(minRetryAfterWindows*b.rateWindow.Seconds())), b.settings.MaxRetryAfter)
	switch {
	case b.hasSuccessor:
		wait = min(b.tick, b.settings.MaxRetryAfter) // the other one's queue is not this one's
	case b.settings.Instances == 1 && b.endsBeforeAnswer(now+wait, r.class):
		wait = min(b.drainDeadline+seconds(successorStartSeconds)-now, b.settings.MaxRetryAfter)
	}
	return wait
}

// Lapsed tells that the client has gone: nothing is owed, and work for it is called off.
func (b *Balancer) Abandoned(now time.Duration, id RequestID) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.final = true
	if r.queued {
		b.dequeue(slices.Index(b.queue, r))
	}
	if r.current == nil {
		delete(b.requests, id)
		return
	}
	b.withdraw(r)
}

func (b *Balancer) withdraw(r *request) {
	if b.settings.MayCancel && !r.withdrawn && !r.responding {
		r.withdrawn = true
		b.host.Cancel(r.id, r.attempts-1)
	}
}

// arm keeps the tick going while anything is held or in flight.
func (b *Balancer) startTick() {
	if !b.ticking && len(b.requests) > 0 {
		b.ticking = true
		b.host.SetTimer(tokenTick, b.tick)
	}
}

// Timer takes a timer that fell due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenTick:
		b.ticking = false
		b.overdueCalls = 0
		for _, e := range b.overdue {
			e.overdueCalls = 0
		}
		b.overdue = b.overdue[:0]
		for _, e := range append(b.scratch[:0], b.inSlowStart...) {
			if b.capacityShare(now, e) >= 1 {
				b.setState(e, stateUsable)
			}
		}
		for _, e := range append(b.scratch[:0], b.busy...) {
			b.ejectIfSilent(now, e)
			b.withdrawOverdue(now, e)
		}
		b.dispatch(now)
		b.startTick()
	case tokenWatch:
		b.watchScheduled, b.watchStartedAt = false, now
		b.host.Watch(true)
	}
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
