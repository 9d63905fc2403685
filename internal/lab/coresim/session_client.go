package coresim

import (
	"fmt"
	"time"

	"dykering/internal/sessions"
)

const (
	// sessionClientCount is the number of endpoints that keep a session at a time.
	sessionClientCount = 5
	// An endpoint is ready for minLifetime plus a random part of lifetimeRange.
	minLifetime   = 500 * time.Millisecond
	lifetimeRange = 8 * time.Second
	// drainTime is the time for which an endpoint still serves requests after the acknowledgement that it drains.
	drainTime = 2 * time.Second
	// sessionCallTimeout is the time for which an endpoint waits for an answer.
	sessionCallTimeout = time.Second
	// One in crashFraction endpoints ends without a notice.
	crashFraction = 4
	// One in lostAnswerFraction answers is lost.
	lostAnswerFraction = 10
)

// sessionClient is an emulated endpoint that keeps a session, drains and deregisters. Another one then takes its place.
type sessionClient struct {
	table    *sessionTable
	id       string
	state    sessions.State
	sequence uint64
	ended    bool
	// callNumber identifies the present call: answers to earlier ones are ignored.
	callNumber int
}

// startClient starts a new endpoint and schedules its end.
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

// sendHeartbeat sends a heartbeat at each interval while the endpoint is ready.
func (c *sessionClient) sendHeartbeat() {
	if c.ended || c.state != sessions.Ready {
		return
	}
	c.notify(func() {})
	c.table.sim.after(heartbeatInterval, c.sendHeartbeat)
}

// notify reports the present state to members, with retries until one acknowledges it or the state changes.
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

// send makes a call to a random member, whose process may not be running.
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

// onDrained handles the acknowledgement that the endpoint drains. The endpoint deregisters after drainTime.
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

// end ends the endpoint and starts another one.
func (c *sessionClient) end() {
	c.ended = true
	c.table.startClient()
}
