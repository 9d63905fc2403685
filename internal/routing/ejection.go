package routing

import "time"

// Ejection: an endpoint whose connections fail gets no calls for a time that doubles with each failure in a row, then a
// single trial call. A trial that reaches it ends the ejection. The time is drawn from half to one and a half of the nominal
// one, so that the proxies' trials do not come together.
const (
	// baseEjectionTime is the first nominal time. Half or double: not measured.
	baseEjectionTime = 250 * time.Millisecond
	// maxEjectionTime bounds the nominal time. Half or double: not measured.
	maxEjectionTime = 4 * time.Second
	// maxEjectionDoublings bounds the exponent, so that the time does not overflow before it is bounded.
	maxEjectionDoublings = 8
)

// eject keeps calls from an endpoint whose connections fail, for longer each time in a row.
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

// endEjection takes a call that has reached its endpoint: one is enough to end an ejection, and slow start follows.
func (p *Pool) endEjection(now time.Duration, e *Endpoint) {
	e.ejections = 0
	if e.state == Ejected {
		e.state, e.slowStartSince = SlowStart, now
	}
}

// selectTrial selects an ejected endpoint that is due a trial call: always where no other is available, else with the
// probability that any one endpoint would have.
func (p *Pool) selectTrial(due []*Endpoint, available int) *Endpoint {
	if len(due) == 0 || available > 0 && p.random.IntN(available+1) != 0 {
		return nil
	}
	return due[p.random.IntN(len(due))]
}
