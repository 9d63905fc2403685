package routing

import "time"

// Ejection: an endpoint whose connections fail gets no calls for an ejection time, then a single trial call. The nominal
// ejection time doubles with each consecutive failure. A trial call that reaches the endpoint ends the ejection. The actual
// time is drawn between 0.5 and 1.5 times the nominal one, so that the proxies do not send their trial calls simultaneously.
const (
	// baseEjectionTime is the nominal ejection time after the first failure.
	baseEjectionTime = 250 * time.Millisecond
	// maxEjectionTime is the upper bound of the nominal ejection time.
	maxEjectionTime = 4 * time.Second
	// maxEjectionDoublings bounds the exponent, so that the shift does not overflow before maxEjectionTime applies.
	maxEjectionDoublings = 8
)

// eject ejects an endpoint whose connection has failed, and schedules its trial call. Each consecutive ejection takes longer.
// A draining endpoint stays Draining, since it gets no calls anyway.
func (p *Pool) eject(now time.Duration, e *Endpoint) {
	if e.state == Draining {
		return
	}
	nominal := baseEjectionTime << min(e.ejections, maxEjectionDoublings)
	nominal = min(nominal, maxEjectionTime)
	e.ejections++
	e.state = Ejected
	e.trialAt = now + nominal/2 + time.Duration(p.random.Int64N(int64(nominal)))
}

// endEjection ends the ejection of an endpoint that a call has reached, and starts its slow start.
func (p *Pool) endEjection(now time.Duration, e *Endpoint) {
	e.ejections = 0
	if e.state == Ejected {
		e.state, e.slowStartSince = SlowStart, now
	}
}

// selectTrial returns an ejected endpoint that is due for a trial call, or nil. If no endpoint is available otherwise, it
// always returns one; else it does so with probability 1/(available+1), the share of one more available endpoint.
func (p *Pool) selectTrial(due []*Endpoint, available int) *Endpoint {
	if len(due) == 0 || available > 0 && p.random.IntN(available+1) != 0 {
		return nil
	}
	return due[p.random.IntN(len(due))]
}
