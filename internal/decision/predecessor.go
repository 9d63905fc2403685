package decision

import (
	"time"
)

// predecessor is what the process before this one has in flight.
type predecessorCalls struct {
	calls map[EndpointID]int
	total int
	until time.Duration // it is believed until then
}

// Calls tells how many calls this process has in flight at each endpoint that it may call, less those that it does
// not expect to be answered.
func (b *Balancer) InFlight() map[EndpointID]int {
	calls := map[EndpointID]int{}
	for _, e := range b.listed {
		if n := len(e.calls) + e.uploads - e.overdueCalls; n > 0 && e.state != stateEjected {
			calls[e.id] = n
		}
	}
	return calls
}

// Beside takes what the process before has in flight. It counts as this one's until the next word of it, and no
// longer than until the given time, as a process that dies says nothing.
func (b *Balancer) SetPredecessorCalls(now time.Duration, calls map[EndpointID]int, until time.Duration) {
	b.predecessor = predecessorCalls{calls: calls, until: until}
	for id, n := range calls {
		if b.byID[id] != nil {
			b.predecessor.total += max(n, 0)
		}
	}
	b.dispatch(now)
	b.startTick()
}

// at is what it has in flight at an endpoint.
func (p *predecessorCalls) at(now time.Duration, e *endpoint) int {
	if now > p.until {
		return 0
	}
	return max(p.calls[e.id], 0)
}

// all is what it has in flight at all endpoints.
func (p *predecessorCalls) sum(now time.Duration) int {
	if now > p.until {
		return 0
	}
	return p.total
}
