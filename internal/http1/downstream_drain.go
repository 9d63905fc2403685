package http1

import (
	"time"

	"dykering/internal/core"
)

const (
	// drainGrace is how long after the start of a drain the last idle connection is closed. Until then callers
	// that have not heard of it are served; who asks later is told to come back.
	drainGrace = 1600 * time.Millisecond
	// handoverGrace is the same for a process whose successor serves already: who is turned away is served
	// there at once, and what comes too late here may not be whole when this process is killed.
	handoverGrace      = 400 * time.Millisecond
	handoverRetryAfter = 50 * time.Millisecond
	// drainedNewConnTimeout is how long a connection may say nothing once a drain has lasted awayAfter.
	drainedNewConnTimeout = 500 * time.Millisecond
	// minAnswerTime is what must be left of a process's time when a long request has come whole.
	minAnswerTime     = 1200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// CanServe, Drain and Resume are what the second address asks of a sidecar. They do not wait for the loop.
func (s *Server) CanServe() bool { return s.lifecycle.CanServe() }
func (s *Server) Drain()         { s.lifecycle.Drain() }
func (s *Server) Resume()        { s.lifecycle.Resume() }

// drainConnections closes callers' connections while the sidecar drains or hands over: first those that have been idle
// for so long that their callers will hardly use them, in the end all that are idle. What is in use closes with
// its answer. It ends with done.
func (s *Server) drainConnections(done <-chan struct{}) {
	for {
		phase, since, changed := s.lifecycle.Now()
		var next <-chan time.Time
		if s.redirects(phase) {
			took, after := time.Since(since), s.redirectGrace()
			mute := after
			if took > after {
				mute = drainedNewConnTimeout
			}
			if s.hasSuccessor() {
				s.clients.interruptStreams()
			}
			s.clients.expire(max(after-took, 0), mute)
			next = time.After(drainPollInterval)
		}
		select {
		case <-changed:
		case <-next:
		case <-done:
			return
		}
	}
}

// redirects tells whether callers are to go elsewhere in a phase: by a drain, or to a successor.
func (s *Server) redirects(p core.Phase) bool {
	return p == core.Draining || p == core.Stopping && s.sharesListener()
}

// redirectGrace is how long callers that have not heard that they are to go elsewhere are served.
func (s *Server) redirectGrace() time.Duration {
	if s.lifecycle.CanServe() {
		return s.drainGrace
	}
	return s.handoverGrace
}

// redirectAnswer tells whether callers have been sent away for so long that nobody should be asking here, and what they
// are told then.
func (s *Server) redirectAnswer() (a core.Answer, away bool) {
	phase, since, _ := s.lifecycle.Now()
	a = core.TurnedAway(&s.config.Settings)
	if phase == core.Stopping {
		a.RetryAfter = min(a.RetryAfter, handoverRetryAfter)
	}
	return a, s.redirects(phase) && time.Since(since) > s.redirectGrace()
}

// uploadTooLate tells whether a long body's last byte comes when it can no longer be answered here.
func (s *Server) uploadTooLate() bool {
	if s.hasSuccessor() {
		return time.Until(s.lifecycle.Ends()) < minAnswerTime
	}
	_, away := s.redirectAnswer()
	return away
}

// closesAfterAnswer tells whether a connection is to end with the answer that is given now, as its caller is to go elsewhere or the
// process ends. What has been read behind the request that is answered is still answered, for a while: to end the
// connection would lose it.
func (s *Server) closesAfterAnswer(c *downstreamConn, buffered int) bool {
	phase, since, _ := s.lifecycle.Now()
	switch {
	case s.redirects(phase):
		late := time.Since(since) - s.redirectGrace()
		return late > headTimeout || buffered == 0 && (late > 0 || !c.hasInput())
	case buffered > 0 && time.Until(s.lifecycle.Ends()) > -lingerTimeout: // also behind what was called off at the end
		return false
	}
	return s.lifecycle.Closing(lastAnswerWindow)
}
