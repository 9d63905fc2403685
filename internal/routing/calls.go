package routing

import "time"

// How long an endpoint's own rejections count against the table of sessions, which lags behind the endpoint.
const (
	// fullBackoff is how long an endpoint is passed over that has rejected a call for want of capacity. Half or double: not
	// measured.
	fullBackoff = 80 * time.Millisecond
	// notLoadedTTL is how long an endpoint counts as lacking a model that it has rejected as not loaded, though its session
	// lists it. Half or double: not measured.
	notLoadedTTL = 400 * time.Millisecond
)

// CallResult is how a call to an endpoint ended.
type CallResult int

// The results.
const (
	Succeeded        CallResult = iota // a response of the endpoint's own that is of use
	Failed                             // a response of the endpoint's own that reports its failure
	RejectedFull                       // rejected for want of capacity; it has not run
	RejectedNotFound                   // rejected: the model, adapter or incarnation is not there; it has not run
	Unreachable                        // no connection
	ConnectionLost                     // the connection failed after the request was written
	TimedOut                           // no response in time, or for so long that the client gave up
	Canceled                           // given up by the caller, through no fault of the endpoint
)

// BeginCall counts a call to an endpoint.
func (p *Pool) BeginCall(e *Endpoint) {
	e.callsInFlight++
	e.callsWaiting++
}

// ResponseStarted notes that the response to a call has started.
func (p *Pool) ResponseStarted(e *Endpoint) { e.callsWaiting-- }

// EndCall records the end of a call. Started says whether ResponseStarted was called for it.
func (p *Pool) EndCall(now time.Duration, e *Endpoint, q Query, result CallResult, started bool) {
	e.callsInFlight--
	if !started {
		e.callsWaiting--
	}
	e.outcomes.add(now, outcomesOf(result, started))
	wasTrial := e.trialInFlight
	e.trialInFlight = false
	switch result {
	case Succeeded:
		p.endEjection(now, e)
	case RejectedFull:
		e.fullUntil = now + fullBackoff
		p.endEjection(now, e)
	case RejectedNotFound:
		e.recordNotLoaded(now, q)
	case Unreachable, ConnectionLost:
		p.eject(now, e)
	case Failed, TimedOut:
		if wasTrial {
			p.eject(now, e)
		}
	}
}

// recordNotLoaded remembers that an endpoint lacks what a query asks for.
func (e *Endpoint) recordNotLoaded(now time.Duration, q Query) {
	if len(e.notLoadedUntil) > maxNotLoaded {
		clear(e.notLoadedUntil)
	}
	e.notLoadedUntil[loadedKey(q.Model, q.Adapter)] = now + notLoadedTTL
}

// hasLoaded reports whether an endpoint holds what a query asks for, as far as is known here.
func (e *Endpoint) hasLoaded(now time.Duration, q Query) bool {
	if q.Model == "" {
		return true
	}
	if until, ok := e.notLoadedUntil[loadedKey(q.Model, q.Adapter)]; ok && now < until {
		return false
	}
	return e.session.HasLoaded(q.Model, q.Adapter)
}

func loadedKey(model, adapter string) string { return model + "/" + adapter }
