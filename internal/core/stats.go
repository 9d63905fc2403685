package core

import (
	"dykering/internal/decision"
)

// Stats is what a loop holds at one moment.
type Stats struct {
	Calls            int                    // not yet answered, or with an attempt in flight
	Attempts         int                    // in flight, adopted ones included
	Phases           [AttemptPhaseCount]int // the calls' attempts by AttemptPhase
	Queued           int                    // calls that wait for their first attempt
	AwaitingRetry    int                    // calls that wait for a further attempt
	Conns            int                    // connections to endpoints
	IdleConns        int                    // of them, those that are idle
	Revision         uint64                 // of the endpoint list
	AwaitingFullList bool                   // the followed discovery has not yet sent its full list
	DiscoveryAddress string
	Endpoints        []EndpointStats // in no order
}

// EndpointStats is what a loop holds of one endpoint.
type EndpointStats struct {
	ID        decision.EndpointID
	Address   string
	Open      bool // it may get new attempts
	IdleConns int
}

// Stats returns what the loop holds; the zero value once it has ended.
func (l *Loop) Stats() Stats {
	return query(l, func() Stats {
		s := Stats{
			Calls:            len(l.calls),
			Attempts:         len(l.adopted),
			Conns:            l.pool.total,
			IdleConns:        l.pool.oldestFirst.Len(),
			Revision:         l.revision,
			AwaitingFullList: l.awaitingFullList,
			DiscoveryAddress: l.discoveryAddress,
		}
		for _, c := range l.calls {
			switch {
			case c.attempt != nil:
				s.Attempts++
				s.Phases[c.attempt.phase.Load()]++
			case c.attempts > 0:
				s.AwaitingRetry++
			default:
				s.Queued++
			}
		}
		for _, e := range l.endpoints.byID {
			s.Endpoints = append(s.Endpoints, EndpointStats{
				ID:        e.ID,
				Address:   e.Address,
				Open:      e.IsOpen(),
				IdleConns: len(l.pool.idle[e]),
			})
		}
		return s
	})
}
