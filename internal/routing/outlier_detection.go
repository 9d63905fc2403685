package routing

import (
	"math"
	"time"
)

const (
	// outcomeHalfLife is how long it takes until an outcome counts for half.
	outcomeHalfLife = 15 * time.Second
	// leastFailures is how many failures, as they count now, make an endpoint suspect, and leastFailureShare the share of
	// the outcomes that they must be.
	leastFailures     = 1.5
	leastFailureShare = 0.15
	// mostSuspects is the share of the usable endpoints that may be set aside as suspects: where more fail, it is not them.
	mostSuspects = 0.5
)

// Outcomes counts how calls to an endpoint ended: with an answer that is of use, or with a failure.
type Outcomes struct{ Good, Failed float64 }

// add counts further outcomes.
func (o *Outcomes) add(other Outcomes) {
	o.Good += other.Good
	o.Failed += other.Failed
}

// After is what outcomes count for after a time.
func (o Outcomes) After(passed time.Duration) Outcomes {
	left := math.Exp2(-float64(max(passed, 0)) / float64(outcomeHalfLife))
	return Outcomes{Good: o.Good * left, Failed: o.Failed * left}
}

// suspicious tells whether the outcomes are those of an endpoint that fails.
func (o Outcomes) suspicious() bool {
	return o.Failed >= leastFailures && o.Failed >= leastFailureShare*(o.Failed+o.Good)
}

// history is the outcomes at one endpoint: those of all sidecars, as control sidecars say, with the own ones since.
type history struct {
	known  Outcomes
	at     time.Duration // when known counted for what it says
	untold Outcomes      // own ones that control sidecars have not been told
}

// note counts an own outcome.
func (h *history) note(now time.Duration, outcome Outcomes) {
	h.known = h.now(now)
	h.at = now
	h.known.add(outcome)
	h.untold.add(outcome)
}

// hear takes the outcomes of all sidecars. The own ones that have not been told are not among them.
func (h *history) hear(now time.Duration, all Outcomes) {
	h.known, h.at = all, now
	h.known.add(h.untold)
}

// suspicious tells whether the endpoint fails. Outcomes only count for less as they age.
func (h *history) suspicious(now time.Duration) bool {
	return h.known.Failed >= leastFailures && h.now(now).suspicious()
}

func (h *history) now(now time.Duration) Outcomes { return h.known.After(now - h.at) }

// outcomeOf is what the end of a call says of its endpoint. Some ends say nothing.
func outcomeOf(result Result, answered bool) Outcomes {
	switch {
	case result == Served:
		return Outcomes{Good: 1}
	case result == Failed, result == Unreachable, result == Broken, result == TimedOut && !answered:
		return Outcomes{Failed: 1}
	}
	return Outcomes{}
}

// TakeOutcomes gives the own outcomes since it was last asked, by endpoint.
func (p *Pool) TakeOutcomes() map[string]Outcomes {
	taken := map[string]Outcomes{}
	for id, e := range p.byID {
		if e.history.untold != (Outcomes{}) {
			taken[id] = e.history.untold
			e.history.untold = Outcomes{}
		}
	}
	return taken
}

// trusted leaves out the endpoints that fail, unless these are most: then it is not the endpoints that are at fault.
func trusted(now time.Duration, usable []*Endpoint) []*Endpoint {
	var rest []*Endpoint
	for _, e := range usable {
		if !e.history.suspicious(now) {
			rest = append(rest, e)
		}
	}
	suspects := len(usable) - len(rest)
	if float64(suspects) > mostSuspects*float64(len(usable)) {
		return usable
	}
	return rest
}
