package routing

import "time"

// Durations for which an endpoint's rejection overrides its session, which lags behind the endpoint's actual state.
const (
	// fullBackoff is how long an endpoint is not selected after it has rejected a call for lack of capacity.
	fullBackoff = 80 * time.Millisecond
	// notLoadedTTL is how long a model counts as not loaded at an endpoint that has rejected a call for it as not loaded,
	// although the endpoint's session lists the model.
	notLoadedTTL = 400 * time.Millisecond
)

// CallResult is how a call to an endpoint ended.
type CallResult int

// The results of a call.
const (
	Succeeded        CallResult = iota // the endpoint sent a useful response
	Failed                             // the endpoint sent a response that reports its own failure
	RejectedFull                       // the endpoint rejected the call for lack of capacity and did not execute it
	RejectedNotFound                   // the endpoint lacks the model, adapter or incarnation and did not execute the call
	Unreachable                        // the proxy could not connect to the endpoint
	ConnectionLost                     // the connection failed after the request was written
	TimedOut                           // the response took longer than the timeout, or than the client waited
	Canceled                           // the caller canceled the call for a reason unrelated to the endpoint
)

// String returns the label of the result in the proxy's metrics and log.
func (r CallResult) String() string {
	switch r {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case RejectedFull:
		return "rejected_full"
	case RejectedNotFound:
		return "rejected_not_found"
	case Unreachable:
		return "unreachable"
	case ConnectionLost:
		return "connection_lost"
	case TimedOut:
		return "timed_out"
	case Canceled:
		return "canceled"
	}
	return "unknown"
}

// BeginCall counts a new call to an endpoint as in flight and as waiting for its response.
func (p *Pool) BeginCall(e *Endpoint) {
	e.callsInFlight++
	e.callsWaiting++
}

// ResponseStarted no longer counts a call as waiting, since its response has started.
func (p *Pool) ResponseStarted(e *Endpoint) { e.callsWaiting-- }

// EndCall records the result of a call. The argument started must be true if ResponseStarted was called for this call.
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

// recordNotLoaded remembers for notLoadedTTL that an endpoint has not loaded the queried model or adapter.
func (e *Endpoint) recordNotLoaded(now time.Duration, q Query) {
	if len(e.notLoadedUntil) > maxNotLoaded {
		clear(e.notLoadedUntil)
	}
	e.notLoadedUntil[loadedKey(q.Model, q.Adapter)] = now + notLoadedTTL
}

// hasLoaded reports whether an endpoint has loaded the queried model or adapter. A recent rejection as not loaded takes
// precedence over the endpoint's session.
func (e *Endpoint) hasLoaded(now time.Duration, q Query) bool {
	if q.Model == "" {
		return true
	}
	if until, ok := e.notLoadedUntil[loadedKey(q.Model, q.Adapter)]; ok && now < until {
		return false
	}
	return e.session.HasLoaded(q.Model, q.Adapter)
}

// loadedKey returns the key of a model or adapter in notLoadedUntil.
func loadedKey(model, adapter string) string { return model + "/" + adapter }
