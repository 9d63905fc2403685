package coresim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dykering/internal/sessions"
)

// departureBound is the time after the acknowledgement of a departure from which on no member that serves streams may show the
// endpoint in an earlier state. It must be less than drainTime, for which an endpoint still serves requests.
const departureBound = 1500 * time.Millisecond

// departureChecker checks that members that serve streams show departed endpoints as departed.
type departureChecker struct {
	violation error
	// acknowledged maps each endpoint to the latest acknowledged departure state.
	acknowledged map[string]acknowledgedDeparture
	// acks counts the acknowledgements.
	acks int
}

// acknowledgedDeparture is a state, draining or departed, and the time of its acknowledgement.
type acknowledgedDeparture struct {
	state sessions.State
	at    time.Duration
}

func newDepartureChecker() *departureChecker {
	return &departureChecker{acknowledged: map[string]acknowledgedDeparture{}}
}

// acknowledge records that an endpoint has received the acknowledgement of its departure.
func (c *departureChecker) acknowledge(now time.Duration, id string, state sessions.State) {
	c.acks++
	c.acknowledged[id] = acknowledgedDeparture{state: state, at: now}
}

// observe checks the endpoints that a member shows now, if it serves streams.
func (c *departureChecker) observe(now time.Duration, p *sessionProcess) {
	if c.violation != nil || !p.servesStreams(now) {
		return
	}
	for id, departure := range c.acknowledged {
		shown, ok := p.replica.Table().Get(id)
		if ok && now-departure.at > departureBound && shown.State.Before(departure.state) {
			c.violation = fmt.Errorf("member %s shows endpoint %s as %s, %v after it was acknowledged as %s", p.m.address, id, shown.State,
				now-departure.at, departure.state)
		}
	}
}

// checkSessions checks, after the last fault, that departures are acknowledged again, and that all members have the sessions
// in the acknowledged states.
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
		return fmt.Errorf("no departure is acknowledged within %v without faults", sessionSettleTime)
	}
	return sim.checkSameSessions()
}

// sessionSettleTime is the time after the last fault within which a departure must be acknowledged and all members must have
// the acknowledged states.
const sessionSettleTime = 12 * time.Second

// checkSameSessions checks that no running member shows an endpoint in a state before its acknowledged one. Departures that were
// acknowledged within departureBound are not checked, as they may still be in transit.
func (sim *Simulation) checkSameSessions() error {
	ids := slices.Sorted(maps.Keys(sim.sessions.checker.acknowledged))
	for _, m := range sim.runningMachines() {
		for _, id := range ids {
			departure := sim.sessions.checker.acknowledged[id]
			shown, ok := m.sessions.replica.Table().Get(id)
			if ok && sim.now-departure.at > departureBound && shown.State.Before(departure.state) {
				return fmt.Errorf("member %s shows endpoint %s as %s at the end of the run, which was acknowledged as %s", m.address, id,
					shown.State, departure.state)
			}
		}
	}
	return sim.sessions.checker.violation
}
