package decision

import (
	"time"
)

// predecessorCalls holds the calls that the preceding process of this instance still has in flight.
type predecessorCalls struct {
	calls      map[EndpointID]int
	total      int
	validUntil time.Duration // the numbers count until this time
}

// InFlight returns the number of calls in flight at each endpoint that is not ejected, without overdue calls.
// A process that ends reports it to its successor.
func (b *Balancer) InFlight() map[EndpointID]int {
	calls := map[EndpointID]int{}
	for _, e := range b.listed {
		if n := len(e.calls) + e.uploads - e.overdueCalls; n > 0 && e.state != stateEjected {
			calls[e.id] = n
		}
	}
	return calls
}

// SetPredecessorCalls sets the number of calls that the preceding process has in flight at each endpoint.
// They count like the calls of this process until the next update, but at most until the given time, because
// a process that is killed sends no more updates.
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

// callsTo returns the number of calls of the preceding process at an endpoint.
func (p *predecessorCalls) callsTo(now time.Duration, e *endpoint) int {
	if now > p.validUntil {
		return 0
	}
	return max(p.calls[e.id], 0)
}

// sum returns the number of calls of the preceding process at all endpoints.
func (p *predecessorCalls) sum(now time.Duration) int {
	if now > p.validUntil {
		return 0
	}
	return p.total
}
