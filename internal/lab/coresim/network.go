package coresim

import (
	"time"

	"dykering/internal/chain"
)

// link is the connection in one direction from one address to another. It is reliable and ordered, as TCP is, except for
// the injected faults.
type link struct{ from, to string }

// delayedLink is a link whose messages are held back for a time.
type delayedLink struct {
	until    time.Duration
	messages []any
}

// send sends a message of a machine. It arrives after those sent before it on the same link, unless the link is blocked then.
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

// arrive delivers a message at the end of a link.
func (sim *Simulation) arrive(path link, message any) {
	to := sim.machine(path.to)
	if to == nil || sim.blocked[path] > 0 {
		return
	}
	to.receive(message)
}

// delay holds the messages from one address to another back for a time. Then all arrive in order, also at a process that has
// been restarted meanwhile.
func (sim *Simulation) delay(from, to string, duration time.Duration) {
	path := link{from, to}
	if delayed := sim.delayed[path]; delayed != nil {
		delayed.until = max(delayed.until, sim.now+duration)
		return
	}
	sim.delayed[path] = &delayedLink{until: sim.now + duration}
	sim.releaseWhenDue(path)
}

// releaseWhenDue delivers the messages of a delayed link at the end of the delay, which may be extended until then.
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

// block loses the messages from one address to another for a time.
func (sim *Simulation) block(from, to string, duration time.Duration) {
	path := link{from, to}
	sim.blocked[path]++
	sim.after(duration, func() { sim.blocked[path]-- })
}

// isolate loses the messages of a machine for a time, in the given directions.
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

// delayMachine delays the messages to a machine and, if outbound is set, those that it sends.
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
