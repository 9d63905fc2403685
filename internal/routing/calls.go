package routing

import (
	"time"
)

// Result is how a call to an endpoint ended.
type Result int

// The results.
const (
	Served      Result = iota // an answer of the endpoint's own that is of use
	Failed                    // an answer of the endpoint's own that tells of its failure
	Full                      // turned away: there is no room
	Missing                   // turned away: the model, adapter or endpoint is not there
	Unreachable               // no connection
	Broken                    // the connection broke
	TimedOut                  // no answer in time, or for so long that its client gave up
	Withdrawn                 // given up by the caller
)

// Begin counts a call to an endpoint.
func (p *Pool) Begin(e *Endpoint) {
	e.inFlight++
	e.waiting++
}

// Answering notes that the answer to a call has begun.
func (p *Pool) Answering(e *Endpoint) { e.waiting-- }

// End takes the end of a call. Answered tells whether its answer had begun.
func (p *Pool) End(now time.Duration, e *Endpoint, q Query, result Result, answered bool) {
	e.inFlight--
	if !answered {
		e.waiting--
	}
	e.history.note(now, outcomeOf(result, answered))
	tried := e.trying
	e.trying = false
	switch result {
	case Served:
		p.restore(now, e)
	case Full:
		e.fullUntil = now + fullFor
		p.restore(now, e)
	case Missing:
		if len(e.missing) > mostMissing {
			clear(e.missing)
		}
		e.missing[missingKey(q.Model, q.Adapter)] = now + missingFor
	case Unreachable, Broken:
		p.isolate(now, e)
	case Failed, TimedOut:
		if tried {
			p.isolate(now, e)
		}
	}
}

const mostMissing = 256

// restore ends isolation: one good trial call is enough, and the endpoint ramps up.
func (p *Pool) restore(now time.Duration, e *Endpoint) {
	e.isolations = 0
	if e.mark == Isolated {
		e.mark, e.rampFrom = Ramping, now
	}
}

// isolate keeps calls from an endpoint whose connections break, for longer each time in a row.
func (p *Pool) isolate(now time.Duration, e *Endpoint) {
	if e.mark == Leaving {
		return
	}
	pause := firstIsolation << min(e.isolations, 8)
	pause = min(pause, mostIsolation)
	e.isolations++
	e.mark = Isolated
	e.trialAt = now + pause/2 + time.Duration(p.random.Int64N(int64(pause)))
}

// Report takes an endpoint's own word of its load.
func (p *Pool) Report(now time.Duration, e *Endpoint, load Load) {
	e.load, e.loadAt, e.loadOwn = load, now, e.inFlight
}
