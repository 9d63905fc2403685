package controlplane

import (
	"dykering/internal/errkind"
	"dykering/internal/sessions"
)

// takeHeartbeat takes a heartbeat of an endpoint. One that says that the endpoint leaves is acknowledged once that is
// replicated.
func (s *Server) applyHeartbeat(id string, heartbeat sessions.Heartbeat, answer func(error)) {
	if !s.chain.HasQuorum(s.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	s.table.ApplyHeartbeat(s.sessionClock, id, heartbeat)
	if heartbeat.State == sessions.Draining {
		s.replicateDeparture(id, sessions.Draining, answer)
		return
	}
	if _, ok := s.table.Get(id); !ok {
		answer(errkind.New(errkind.Unavailable, "the table of sessions is full"))
		return
	}
	answer(nil)
}

// deregister notes that an endpoint has gone, and acknowledges it once that is replicated.
func (s *Server) deregister(id string, answer func(error)) {
	if !s.chain.HasQuorum(s.now()) {
		answer(errkind.New(errkind.Unavailable, "no majority is in touch"))
		return
	}
	s.table.Deregister(s.sessionClock, id)
	s.replicateDeparture(id, sessions.Departed, answer)
}
