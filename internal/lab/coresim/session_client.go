package coresim

import (
	"fmt"
	"time"

	"dykering/internal/sessions"
)

const (
	// sessionClientCount is how many endpoints keep a session at a time.
	sessionClientCount = 5
	// minLifetime and lifetimeRange are how long an endpoint is ready.
	minLifetime   = 500 * time.Millisecond
	lifetimeRange = 8 * time.Second
	// drainTime is how long an endpoint serves on after its draining was acknowledged.
	drainTime = 2 * time.Second
	// sessionCallTimeout is how long it waits for an answer.
	sessionCallTimeout = time.Second
	// crashFraction is one in so many endpoints that ends without a notice; lostAnswerFraction one in so many answers that is
	// lost.
	crashFraction      = 4
	lostAnswerFraction = 10
)

// sessionClient is an emulated endpoint that keeps its session, drains, deregisters and is followed by another one.
type sessionClient struct {
	table      *sessionTable
	id         string
	state      sessions.State
	sequence   uint64
	ended      bool
	callNumber int
}

// startClient starts an endpoint.
func (t *sessionTable) startClient() {
	t.started++
	c := &sessionClient{table: t, id: fmt.Sprintf("i-%d", t.started), state: sessions.Ready}
	lifetime := minLifetime + time.Duration(t.random.Int64N(int64(lifetimeRange)))
	crashes := t.random.IntN(crashFraction) == 0
	t.sim.after(time.Duration(t.random.Int64N(int64(heartbeatInterval))), c.sendHeartbeat)
	t.sim.after(lifetime, func() {
		if crashes {
			c.end()
			return
		}
		c.state = sessions.Draining
		c.notify(c.onDrained)
	})
}

// beat sends a heartbeat at an interval while the endpoint is ready.
func (c *sessionClient) sendHeartbeat() {
	if c.ended || c.state != sessions.Ready {
		return
	}
	c.notify(func() {})
	c.table.sim.after(heartbeatInterval, c.sendHeartbeat)
}

// notify tells some member of the present state, until it is acknowledged or the state has changed.
func (c *sessionClient) notify(acknowledged func()) {
	sim, state := c.table.sim, c.state
	c.callNumber++
	number := c.callNumber
	once := func(run func()) {
		if c.callNumber == number && !c.ended {
			c.callNumber++
			run()
		}
	}
	retry := func() {
		if c.state == state {
			c.notify(acknowledged)
		}
	}
	sim.after(sessionCallTimeout, func() { once(retry) })
	isLost := c.table.random.IntN(lostAnswerFraction) == 0
	c.send(func(err error) {
		sim.after(minDelay, func() {
			switch {
			case isLost:
			case err == nil:
				once(acknowledged)
			default:
				once(func() { sim.after(minDelay, retry) })
			}
		})
	})
}

// send makes a call to a member drawn at random, which may not be running.
func (c *sessionClient) send(answer func(error)) {
	sim := c.table.sim
	m := sim.machines[c.table.random.IntN(len(sim.machines))]
	state := c.state
	c.sequence++
	beat := sessions.Heartbeat{Service: serviceName, Address: c.id, State: state, Sequence: c.sequence}
	sim.after(minDelay+time.Duration(c.table.random.Int64N(int64(maxExtraDelay))), func() {
		switch {
		case !m.isRunning() || m.removed:
		case state == sessions.Departed:
			m.sessions.deregister(c.id, answer)
		default:
			m.sessions.heartbeat(c.id, beat, answer)
		}
	})
}

// drained continues after the acknowledgement that the endpoint drains: it serves on for a while and deregisters.
func (c *sessionClient) onDrained() {
	sim := c.table.sim
	c.table.checker.acknowledge(sim.now, c.id, sessions.Draining)
	sim.after(drainTime, func() {
		c.state = sessions.Departed
		c.notify(func() {
			c.table.checker.acknowledge(sim.now, c.id, sessions.Departed)
			c.end()
		})
	})
}

// end ends the endpoint. Another one follows.
func (c *sessionClient) end() {
	c.ended = true
	c.table.startClient()
}
