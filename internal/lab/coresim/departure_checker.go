package coresim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dykering/internal/sessions"
)

// departureBound is the time after the acknowledgement of a departure by which no member that serves streams may show the
// endpoint as one that takes requests. It is less than the time for which endpoints serve on.
const departureBound = 1500 * time.Millisecond

// departureChecker checks what members that serve streams show of endpoints that have left.
type departureChecker struct {
	violation error
	// acknowledged are the departures, by endpoint, with the latest state.
	acknowledged map[string]acknowledgedDeparture
	acks         int
}

type acknowledgedDeparture struct {
	state sessions.State
	at    time.Duration
}

func newDepartureChecker() *departureChecker {
	return &departureChecker{acknowledged: map[string]acknowledgedDeparture{}}
}

// acknowledge records that an endpoint has the acknowledgement of its departure.
func (c *departureChecker) acknowledge(now time.Duration, id string, state sessions.State) {
	c.acks++
	c.acknowledged[id] = acknowledgedDeparture{state: state, at: now}
}

// observe checks a member that serves streams.
func (c *departureChecker) observe(now time.Duration, p *sessionProcess) {
	if c.violation != nil || !p.servesStreams(now) {
		return
	}
	for id, departure := range c.acknowledged {
		shown, ok := p.replica.Table().Get(id)
		if ok && now-departure.at > departureBound && shown.State.Before(departure.state) {
			c.violation = fmt.Errorf("%s shows endpoint %s as %s, %v after it was acknowledged as %s", p.m.address, id, shown.State,
				now-departure.at, departure.state)
		}
	}
}

// checkSessions checks, some time after the last fault, that departures are acknowledged again, and that the members have the
// same sessions.
func (sim *Simulation) checkSessions() error {
	t := sim.sessions
	if t == nil {
		return nil
	}
	before := t.checker.acks
	if err := sim.Run(sim.now + sessionSettleTime); err != nil {
		return err
	}
	if t.checker.acks == before {
		return fmt.Errorf("no departure is acknowledged in %v of calm", sessionSettleTime)
	}
	return sim.checkSameSessions()
}

// sessionSettleTime is how long after the last fault a departure must have been acknowledged, and the members must be the same.
const sessionSettleTime = 12 * time.Second

// checkSameSessions checks that any two members have each endpoint in the same state, but for those whose last change is on its
// way.
func (sim *Simulation) checkSameSessions() error {
	ids := slices.Sorted(maps.Keys(sim.sessions.checker.acknowledged))
	for _, m := range sim.runningMachines() {
		for _, id := range ids {
			departure := sim.sessions.checker.acknowledged[id]
			shown, ok := m.sessions.replica.Table().Get(id)
			if ok && sim.now-departure.at > departureBound && shown.State.Before(departure.state) {
				return fmt.Errorf("%s has endpoint %s as %s in the end, which was acknowledged as %s", m.address, id, shown.State, departure.state)
			}
		}
	}
	return sim.sessions.checker.violation
}
