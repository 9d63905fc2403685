package http1

import (
	"time"

	"dykering/internal/core"
)

const (
	// awayAfter is how long after the start of a drain the last idle connection is closed. Until then callers
	// that have not heard of it are served; who asks later is told to come back.
	awayAfter = 1600 * time.Millisecond
	// handedOverAfter is the same for a process whose successor serves already: who is turned away is served
	// there at once, and what comes too late here may not be whole when this process is killed.
	handedOverAfter = 400 * time.Millisecond
	handedOverWait  = 50 * time.Millisecond
	// awayMute is how long a connection may say nothing once a drain has lasted awayAfter.
	awayMute = 500 * time.Millisecond
	// leastToAnswer is what must be left of a process's time when a long request has come whole.
	leastToAnswer = 1200 * time.Millisecond
	awayPoll      = 20 * time.Millisecond
)

// CanServe, Drain and Resume are what the second address asks of a sidecar. They do not wait for the loop.
func (s *Server) CanServe() bool { return s.life.CanServe() }
func (s *Server) Drain()         { s.life.Drain() }
func (s *Server) Resume()        { s.life.Resume() }

// sendAway closes callers' connections while the sidecar drains or hands over: first those that have been idle
// for so long that their callers will hardly use them, in the end all that are idle. What is in use closes with
// its answer. It ends with done.
func (s *Server) sendAway(done <-chan struct{}) {
	for {
		phase, since, changed := s.life.Now()
		var next <-chan time.Time
		if s.away(phase) {
			took, after := time.Since(since), s.awayAfter()
			mute := after
			if took > after {
				mute = awayMute
			}
			if s.handing() {
				s.callers.interrupt()
			}
			s.callers.retire(max(after-took, 0), mute)
			next = time.After(awayPoll)
		}
		select {
		case <-changed:
		case <-next:
		case <-done:
			return
		}
	}
}

// away tells whether callers are to go elsewhere in a phase: by a drain, or to a successor.
func (s *Server) away(p core.Phase) bool {
	return p == core.Draining || p == core.Stopping && s.handsOver()
}

// awayAfter is how long callers that have not heard that they are to go elsewhere are served.
func (s *Server) awayAfter() time.Duration {
	if s.life.CanServe() {
		return s.heardFor
	}
	return s.handsFor
}

// sentAway tells whether callers have been sent away for so long that nobody should be asking here, and what they
// are told then.
func (s *Server) sentAway() (a core.Answer, away bool) {
	phase, since, _ := s.life.Now()
	a = core.TurnedAway(&s.config.Settings)
	if phase == core.Stopping {
		a.RetryAfter = min(a.RetryAfter, handedOverWait)
	}
	return a, s.away(phase) && time.Since(since) > s.awayAfter()
}

// tooLate tells whether a long body's last byte comes when it can no longer be answered here.
func (s *Server) tooLate() bool {
	if s.handing() {
		return time.Until(s.life.Ends()) < leastToAnswer
	}
	_, away := s.sentAway()
	return away
}

// closes tells whether a connection is to end with the answer that is given now, as its caller is to go elsewhere or the
// process ends. What has been read behind the request that is answered is still answered, for a while: to end the
// connection would lose it.
func (s *Server) closes(c *caller, buffered int) bool {
	phase, since, _ := s.life.Now()
	switch {
	case s.away(phase):
		late := time.Since(since) - s.awayAfter()
		return late > readTimeout || buffered == 0 && (late > 0 || !c.waiting())
	case buffered > 0 && time.Until(s.life.Ends()) > -lingerFor: // also behind what was called off at the end
		return false
	}
	return s.life.Closing(lastAnswers)
}
