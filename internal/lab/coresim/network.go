package coresim

import (
	"time"

	"dykering/internal/chain"
)

// link is one direction of the connection between two addresses. Like TCP it is reliable and ordered, except for injected
// faults.
type link struct{ from, to string }

// delayedLink contains the messages of a link that are held back until a time.
type delayedLink struct {
	until    time.Duration
	messages []any
}

// send sends a message of a machine. It arrives after all earlier messages of the same link. It is lost if the link is blocked
// when it is sent or when it should arrive.
func (sim *Simulation) send(from *machine, envelope chain.Envelope) {
	message := sim.options.Flaw.message(envelope.Message)
	path := link{from.address, envelope.To}
	if sim.blocked[path] > 0 {
		return
	}
	if delayed := sim.delayed[path]; delayed != nil {
		delayed.messages = append(delayed.messages, message)
		return
	}
	delay := minDelay + time.Duration(sim.random.Int64N(int64(maxExtraDelay)))
	arrival := max(sim.now+delay, sim.lastArrival[path]+time.Microsecond)
	sim.lastArrival[path] = arrival
	sim.at(arrival, func() { sim.arrive(path, message) })
}

// arrive delivers a message to the machine at the end of a link.
func (sim *Simulation) arrive(path link, message any) {
	to := sim.machine(path.to)
	if to == nil || sim.blocked[path] > 0 {
		return
	}
	to.receive(message)
}

// delay holds back the messages from one address to another for a duration. All of them then arrive in order, even if the
// receiving process has restarted meanwhile.
func (sim *Simulation) delay(from, to string, duration time.Duration) {
	path := link{from, to}
	if delayed := sim.delayed[path]; delayed != nil {
		delayed.until = max(delayed.until, sim.now+duration)
		return
	}
	sim.delayed[path] = &delayedLink{until: sim.now + duration}
	sim.releaseWhenDue(path)
}

// releaseWhenDue delivers the messages of a delayed link at the end of the delay. The delay may be extended meanwhile.
func (sim *Simulation) releaseWhenDue(path link) {
	delayed := sim.delayed[path]
	sim.at(delayed.until, func() {
		if sim.now < delayed.until {
			sim.releaseWhenDue(path)
			return
		}
		delete(sim.delayed, path)
		for _, message := range delayed.messages {
			sim.arrive(path, message)
		}
	})
}

// block drops the messages from one address to another for a duration.
func (sim *Simulation) block(from, to string, duration time.Duration) {
	path := link{from, to}
	sim.blocked[path]++
	sim.after(duration, func() { sim.blocked[path]-- })
}

// isolate drops the messages from a machine (outbound) or to it (inbound), or both, for a duration.
func (sim *Simulation) isolate(m *machine, duration time.Duration, outbound, inbound bool) {
	for _, other := range sim.machines {
		if other == m {
			continue
		}
		if outbound {
			sim.block(m.address, other.address, duration)
		}
		if inbound {
			sim.block(other.address, m.address, duration)
		}
	}
}

// delayMachine delays the messages to a machine for a duration and, if outbound is set, also those that it sends.
func (sim *Simulation) delayMachine(m *machine, duration time.Duration, outbound bool) {
	for _, other := range sim.machines {
		if other == m {
			continue
		}
		sim.delay(other.address, m.address, duration)
		if outbound {
			sim.delay(m.address, other.address, duration)
		}
	}
}
