package sidecar

import "time"

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
func (s *server) CanServe() bool { return s.life.canServe() }
func (s *server) Drain()         { s.life.drain() }
func (s *server) Resume()        { s.life.resume() }

// sendAway closes callers' connections while the sidecar drains or hands over: first those that have been idle
// for so long that their callers will hardly use them, in the end all that are idle. What is in use closes with
// its answer. It ends with done.
func (s *server) sendAway(done <-chan struct{}) {
	for {
		phase, since, changed := s.life.now()
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
func (s *server) away(p phase) bool { return p == draining || p == stopping && s.handsOver() }

// awayAfter is how long callers that have not heard that they are to go elsewhere are served.
func (s *server) awayAfter() time.Duration {
	if s.life.canServe() {
		return s.heardFor
	}
	return s.handsFor
}

// sentAway tells whether callers have been sent away for so long that nobody should be asking here, and what they
// are told then.
func (s *server) sentAway() (a answer, away bool) {
	phase, since, _ := s.life.now()
	a = s.config.turnedAway()
	if phase == stopping {
		a.retryAfter = min(a.retryAfter, handedOverWait)
	}
	return a, s.away(phase) && time.Since(since) > s.awayAfter()
}

// tooLate tells whether a long body's last byte comes when it can no longer be answered here.
func (s *server) tooLate() bool {
	if s.handing() {
		return time.Until(s.life.ends()) < leastToAnswer
	}
	_, away := s.sentAway()
	return away
}

// closes tells whether a connection is to end with the answer that is given now, as its caller is to go elsewhere.
// Requests that have come behind the one that is answered are still served, for a while.
func (s *server) closes(c *caller, buffered int) bool {
	phase, since, _ := s.life.now()
	if s.away(phase) {
		return time.Since(since) > s.awayAfter() || buffered == 0 && !c.waiting()
	}
	return s.life.closing(lastAnswers)
}
