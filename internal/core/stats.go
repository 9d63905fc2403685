package core

import (
	"dykering/internal/decision"
)

// Stats describes the state of a loop at one moment.
type Stats struct {
	Calls            int                    // calls that are not yet answered or have an attempt in flight
	Attempts         int                    // attempts in flight, including adopted ones
	Phases           [AttemptPhaseCount]int // attempts in flight by AttemptPhase, without adopted ones
	Queued           int                    // calls that wait for their first attempt
	AwaitingRetry    int                    // calls that wait for a further attempt
	Conns            int                    // connections to endpoints
	IdleConns        int                    // connections among Conns that are idle
	Revision         uint64                 // version of the endpoint list
	AwaitingFullList bool                   // no full list has been received from the current discovery client
	DiscoveryAddress string                 // host:port of the discovery service
	Endpoints        []EndpointStats        // in no particular order
}

// EndpointStats describes the state of one endpoint.
type EndpointStats struct {
	ID        decision.EndpointID
	Address   string
	Open      bool // accepts new attempts
	IdleConns int
}

// Stats returns the state of the loop, or the zero value if the loop is closed.
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
