// Which endpoint a call is sent to.

package decision

import (
	"math"
	"slices"
	"time"
)

// suspect tells whether an endpoint has left its oldest call unanswered for long and said nothing since.
func (b *Balancer) isSilent(now time.Duration, e *endpoint, after float64) bool {
	if len(e.calls) == 0 {
		return false
	}
	r := e.calls[0]
	return r.class.meanLatency > 0 && now-r.sentAt > seconds(after*r.class.meanLatency) && e.lastAnswer < r.sentAt &&
		b.answers-r.answersAtSend >= silenceOtherAnswers
}

// pick chooses an endpoint for a request: a due trial, else the fewer in flight of two drawn among those
// with room; ramping ones are drawn less often. Where none is in good health, suspect and then isolated
// ones serve: isolation never empties the set.
func (b *Balancer) pick(now time.Duration, r *request) (to *endpoint, trial bool) {
	if e := b.dueTrial(now, r); e != nil {
		return e, true
	}
	healthy := 0
	c, from := b.scratch[:0], b.subset
	if r.attempts > 0 {
		from = b.listed
	}
	for _, e := range from {
		// Further attempts may leave the subset, but not for a ramping endpoint: all instances' together would
		// push it over.
		mine := e.subsetWeight > 0 || e.state == stateUsable
		failed := e == r.lastFailed && len(b.listed) > 1 // there it goes again only where no other is in good health
		if failed || e.state > stateSlowStart || !mine || !b.permitted(now, r, e) || b.isSilent(now, e, silenceSuspectMeans) {
			continue
		}
		healthy++
		if b.hasCapacity(now, e) {
			c = append(c, e)
		}
	}
	b.scratch = c
	if healthy > 0 {
		return b.drawTwo(now, c), false
	}
	for _, e := range b.listed {
		if e.state != stateDraining && b.permitted(now, r, e) && b.hasCapacity(now, e) && float64(b.callsAt(now, e)) < limitSlack {
			c = append(c, e)
		}
	}
	b.scratch = c
	e := b.drawTwo(now, c)
	return e, e != nil && e.state == stateEjected
}

// count notes which endpoints are in this instance's subset, and with what part of their weight. Many
// instances that each call every endpoint fill its connection table with idle connections, and know nothing
// of any. The subsets tile a ring of the listed weights by ordinal, so that together they reach each endpoint
// in proportion to its weight, few as one instance's endpoints are; an instance that has isolated some goes
// on along the ring. Endpoints that leave are no part of it: when many left at once, their shares fell to the
// few that came after them.
func (b *Balancer) updateSubset() {
	b.checkWeights()
	b.subsetStale = false
	for _, e := range b.subset {
		e.subsetWeight = 0
	}
	b.subset = b.subset[:0]
	total, n := 0.0, 0.0
	for _, e := range b.listed {
		if e.state != stateDraining {
			total += b.weight(e)
			n++
		}
	}
	even := min(max(callersPerEndpoint*n/float64(b.settings.Instances), minSubset), n)
	b.subsetSize = min(max(even, b.demandedSubset), n)
	need := total * b.subsetSize / n
	_, at := math.Modf(float64(b.position) * even / n)
	at *= total
	eps := total * 1e-9
	for i := 0; need > eps && i < 2*len(b.listed); i++ {
		e := b.listed[i%len(b.listed)]
		if e.state == stateDraining {
			continue
		}
		w := b.weight(e)
		if at > w-eps {
			at -= w
			continue
		}
		take := min(w-max(at, 0)-e.subsetWeight, need)
		at = 0
		if take < eps {
			continue
		}
		if e.subsetWeight == 0 {
			b.subset = append(b.subset, e)
		}
		e.subsetWeight += take
		if e.state <= stateSlowStart {
			need -= take
		}
	}
	sortByID(b.subset)
}

// permitted tells whether the rules let a request go to an endpoint.
func (b *Balancer) permitted(now time.Duration, r *request, e *endpoint) bool {
	if r.mayHaveRunAt == nil || r.class.Effect == Safe {
		return true
	}
	if r.class.Effect == Unsafe || b.replayWindowLeft(now, r) <= 0 {
		return false
	}
	switch r.class.Scope {
	case ScopeCell:
		return e.cell == r.ranInCell
	case ScopeZone:
		return e.zone == r.ranInZone
	}
	return true
}

// draw takes distinct candidates at random, each by its odds, and returns the one with the fewest own calls
// in flight for its odds; of equals, the one drawn first, so that ties fall at random and by the odds.
func (b *Balancer) drawTwo(now time.Duration, c []*endpoint) *endpoint {
	var best *endpoint
	least := 0.0
	for n := 0; n < drawCandidates && len(c) > 0; n++ {
		total := 0.0
		for _, e := range c {
			total += b.capacityShare(now, e) * b.drawWeight(e)
		}
		x, i := b.rng.Float64()*total, 0
		for ; i < len(c)-1; i++ {
			if x -= b.capacityShare(now, c[i]) * b.drawWeight(c[i]); x < 0 {
				break
			}
		}
		e := c[i]
		c[i] = c[len(c)-1]
		c = c[:len(c)-1]
		// The same calls in flight are a longer queue at a smaller endpoint. Of equals the first drawn stays: a
		// coin, in a subset of two, gave both the same whatever their odds.
		if load := float64(b.callsAt(now, e)) / b.drawWeight(e); best == nil || load < least {
			best, least = e, load
		}
	}
	return best
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

// send makes an attempt.
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

// enter counts a call as in flight. One whose body is long counts once the endpoint has it and can begin.
func (b *Balancer) startCall(e *endpoint, r *request) {
	if e.state != stateEjected {
		b.inFlight++
	}
	e.calls = append(e.calls, r)
	b.updateSets(e)
}

// depart ends that.
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
