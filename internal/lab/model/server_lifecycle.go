package model

import (
	"slices"
	"time"

	"dykering/internal/decision"
)

// pause has a server work on nothing for a time.
func (s *Server) pause(lasts time.Duration) {
	s.paused = max(s.paused, s.w.Now()+lasts)
	s.w.After(lasts, s.pull)
}

// pauses has its pauses come, one after another, as long as callers ask.
func (s *Server) pauses() {
	k := s.kind
	if k.PauseEvery.To == 0 || s.w.Now() > Origin+time.Duration(s.w.S.Lasts) {
		return
	}
	s.w.After(max(k.PauseEvery.Draw(s.rng), time.Millisecond), func() {
		lasts := k.PauseFor.Draw(s.rng)
		s.pause(lasts)
		s.w.After(lasts, s.pauses)
	})
}

// crash ends a server at once, with all that it has, and starts it again after a time. Discovery says so in its time.
func (s *Server) crash(lasts time.Duration) {
	if !s.up {
		return
	}
	s.end()
	s.tell(decision.Departed)
	s.w.After(lasts, s.start)
}

func (s *Server) end() {
	s.up = false
	s.starts++
	calls := s.calls
	for _, a := range append(s.works, s.queue...) {
		s.reply(a, decision.Reset)
	}
	for _, c := range slices.Clone(calls) {
		s.giveUp(c)
		s.reply(c.a, decision.Reset)
	}
	s.works, s.queue, s.calls, s.conns, s.open = nil, nil, nil, map[int]*conns{}, 0
	if s.w.sockets != nil {
		s.w.sockets.Down(s)
	}
}

// start starts a server that is down: it is cold.
func (s *Server) start() {
	s.up, s.draining = true, false
	s.started = s.w.Now()
	s.load, s.loadAt = 0, s.w.Now()
	if s.w.sockets != nil {
		s.w.sockets.Up(s)
	}
	s.tell(decision.Ready)
}

// drain sends a server's callers away, ends it when half of the time is over, and starts it again, cold, at the end of
// the time.
func (s *Server) drain(lasts time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.tell(decision.Draining)
	end := s.w.Now() + lasts
	s.w.After(lasts/2, func() {
		if s.up && s.draining {
			s.crash(end - s.w.Now())
		}
	})
}

// replace starts another server, and drains this one, that does not come back.
func (s *Server) replace(lasts time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.w.makeServer(s.Tier, s.kindN).start()
	s.tell(decision.Draining)
	s.w.After(lasts, func() {
		if s.up {
			s.end()
			s.tell(decision.Departed)
		}
	})
}
