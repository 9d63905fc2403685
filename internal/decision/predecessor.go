package decision

import (
	"time"
)

// predecessorCalls are the calls that the preceding process of this instance still has in flight.
type predecessorCalls struct {
	calls      map[EndpointID]int
	total      int
	validUntil time.Duration // it is believed until then
}

// InFlight is the number of calls in flight at each endpoint that may be called, without those that are
// overdue: what a process that ends tells its successor.
func (b *Balancer) InFlight() map[EndpointID]int {
	calls := map[EndpointID]int{}
	for _, e := range b.listed {
		if n := len(e.calls) + e.uploads - e.overdueCalls; n > 0 && e.state != stateEjected {
			calls[e.id] = n
		}
	}
	return calls
}

// SetPredecessorCalls takes the calls that the preceding process has in flight. They count as this
// process's own until the next update, but no longer than until the given time: a process that is killed
// sends no more updates.
func (b *Balancer) SetPredecessorCalls(now time.Duration, calls map[EndpointID]int, until time.Duration) {
	b.predecessor = predecessorCalls{calls: calls, validUntil: until}
	for id, n := range calls {
		if b.byID[id] != nil {
			b.predecessor.total += max(n, 0)
		}
	}
	b.dispatch(now)
	b.startTick()
}

// at is the number of its calls at an endpoint.
func (p *predecessorCalls) callsTo(now time.Duration, e *endpoint) int {
	if now > p.validUntil {
		return 0
	}
	return max(p.calls[e.id], 0)
}

// sum is the number of its calls at all endpoints.
func (p *predecessorCalls) sum(now time.Duration) int {
	if now > p.validUntil {
		return 0
	}
	return p.total
}
