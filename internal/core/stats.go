package core

import (
	"dykering/internal/decision"
)

// Stats is what a loop holds.
type Stats struct {
	Calls            int                    // not yet answered, or with an attempt out
	Attempts         int                    // attempts
	Phases           [AttemptPhaseCount]int // of them
	Queued           int                    // calls that wait for their first attempt
	AwaitingRetry    int                    // calls that wait for a further one
	Conns            int                    // to endpoints
	IdleConns        int                    // of them
	Revision         uint64
	AwaitingFullList bool   // a list of the discovery that is followed is still to come
	DiscoveryAddress string // its address
	Endpoints        []EndpointStats
}

// EndpointStats is what a loop holds of an endpoint.
type EndpointStats struct {
	ID        decision.EndpointID
	Address   string
	Open      bool // it may get new attempts
	IdleConns int  // connections
}

// Stats looks at what the loop holds.
func (l *Loop) Stats() Stats {
	return look(l, func() Stats {
		s := Stats{Calls: len(l.calls), Attempts: len(l.adopted), Conns: l.pool.total, IdleConns: l.pool.oldestFirst.Len(), Revision: l.revision,
			AwaitingFullList: l.awaitingFullList, DiscoveryAddress: l.discoveryAddress}
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
			s.Endpoints = append(s.Endpoints, EndpointStats{ID: e.ID, Address: e.Address, Open: e.IsOpen(),
				IdleConns: len(l.pool.idle[e])})
		}
		return s
	})
}
