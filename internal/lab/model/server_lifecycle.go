package model

import (
	"slices"
	"time"

	"dykering/internal/decision"
)

// pause stops all work of a server for a duration.
func (s *Server) pause(duration time.Duration) {
	s.pausedUntil = max(s.pausedUntil, s.w.Now()+duration)
	s.w.After(duration, s.startQueued)
}

// schedulePauses schedules the regular pauses of the server's kind until the scenario's duration is over.
func (s *Server) schedulePauses() {
	k := s.kind
	if k.PauseInterval.To == 0 || s.w.Now() > Origin+time.Duration(s.w.Scenario.Duration) {
		return
	}
	s.w.After(max(k.PauseInterval.Draw(s.rng), time.Millisecond), func() {
		duration := k.PauseDuration.Draw(s.rng)
		s.pause(duration)
		s.w.After(duration, s.schedulePauses)
	})
}

// crash shuts a server down, which resets all of its work, and starts it again after a duration.
func (s *Server) crash(duration time.Duration) {
	if !s.up {
		return
	}
	s.shutDown()
	s.announce(decision.Departed)
	s.w.After(duration, s.start)
}

// shutDown ends a server: all of its attempts and calls are reset.
func (s *Server) shutDown() {
	s.up = false
	s.incarnation++
	calls := s.calls
	for _, a := range append(s.running, s.queue...) {
		s.reply(a, decision.Reset)
	}
	for _, c := range slices.Clone(calls) {
		s.abandonCall(c)
		s.reply(c.attempt, decision.Reset)
	}
	s.running, s.queue, s.calls, s.pools, s.openConnections = nil, nil, nil, map[int]*connectionPool{}, 0
	if s.w.sockets != nil {
		s.w.sockets.ServerStopped(s)
	}
}

// start starts a server that is down. Its warm-up begins.
func (s *Server) start() {
	s.up, s.draining = true, false
	s.started = s.w.Now()
	s.recentWork, s.windowStart = 0, s.w.Now()
	if s.w.sockets != nil {
		s.w.sockets.ServerStarted(s)
	}
	s.announce(decision.Ready)
}

// drain announces that a server is draining, shuts it down after half of the duration, and starts it again
// at the end of the duration.
func (s *Server) drain(duration time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.announce(decision.Draining)
	end := s.w.Now() + duration
	s.w.After(duration/2, func() {
		if s.up && s.draining {
			s.crash(end - s.w.Now())
		}
	})
}

// replace starts a new server and drains the old one, which shuts down permanently after the duration.
func (s *Server) replace(duration time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.w.addServer(s.Tier, s.kindIndex).start()
	s.announce(decision.Draining)
	s.w.After(duration, func() {
		if s.up {
			s.shutDown()
			s.announce(decision.Departed)
		}
	})
}
