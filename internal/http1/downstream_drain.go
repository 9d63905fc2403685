package http1

import (
	"bufio"
	"time"

	"dykering/internal/core"
)

const (
	// drainGrace is the time from the start of a drain until the last idle connection is closed.
	// Clients that do not yet know of the drain are served until then; later requests are rejected
	// with a Retry-After.
	drainGrace = 1600 * time.Millisecond
	// handoverGrace is the same where a successor serves already: a rejected client is served by it at
	// once, and a request that is received late here may not be complete when this process is killed.
	handoverGrace = 400 * time.Millisecond
	// handoverRetryAfter is the largest Retry-After during a handover.
	handoverRetryAfter = 50 * time.Millisecond
	// drainedNewConnTimeout is how long a new connection may send nothing once the grace of a drain
	// has passed.
	drainedNewConnTimeout = 500 * time.Millisecond
	// minAnswerTime is the time that must be left to this process when the last byte of an upload is
	// received.
	minAnswerTime = 1200 * time.Millisecond
	// drainPollInterval is the interval at which a drain looks at the connections.
	drainPollInterval = 20 * time.Millisecond
)

// CanServe reports whether the server has what it needs to serve requests. Like Drain and Resume it
// is called by the admin address and does not wait for the core loop.
func (s *Server) CanServe() bool { return s.lifecycle.CanServe() }

// Drain begins to redirect clients to other instances.
func (s *Server) Drain() { s.lifecycle.Drain() }

// Resume ends a drain.
func (s *Server) Resume() { s.lifecycle.Resume() }

// drainConnections closes connections while the server drains or hands over: first those that have
// been idle so long that their clients will hardly use them, and in the end all idle ones.
// Connections in use are closed with their answer. It returns when done is closed.
func (s *Server) drainConnections(done <-chan struct{}) {
	for {
		phase, since, changed := s.lifecycle.Now()
		var next <-chan time.Time
		if s.redirects(phase) {
			elapsed, grace := time.Since(since), s.redirectGrace()
			newFor := grace
			if elapsed > grace {
				newFor = drainedNewConnTimeout
			}
			if s.hasSuccessor() {
				s.clients.interruptStreams()
			}
			s.clients.expire(max(grace-elapsed, 0), newFor)
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

// redirects reports whether clients are to go elsewhere in a phase: to other instances in a drain,
// or to a successor.
func (s *Server) redirects(p core.Phase) bool {
	return p == core.Draining || p == core.Stopping && s.sharesListener()
}

// redirectGrace is how long clients that do not yet know of the drain or handover are served.
func (s *Server) redirectGrace() time.Duration {
	if s.lifecycle.CanServe() {
		return s.drainGrace
	}
	return s.handoverGrace
}

// redirectAnswer returns the rejection for requests after the grace, and whether the grace has
// passed.
func (s *Server) redirectAnswer() (rejection core.Answer, graceOver bool) {
	phase, since, _ := s.lifecycle.Now()
	rejection = core.RejectedAnswer(&s.config.Settings)
	if phase == core.Stopping {
		rejection.RetryAfter = min(rejection.RetryAfter, handoverRetryAfter)
	}
	return rejection, s.redirects(phase) && time.Since(since) > s.redirectGrace()
}

// uploadTooLate reports whether the last byte of an upload is received too late to be answered by
// this process.
func (s *Server) uploadTooLate() bool {
	if s.hasSuccessor() {
		return time.Until(s.lifecycle.Deadline()) < minAnswerTime
	}
	_, graceOver := s.redirectAnswer()
	return graceOver
}

// closesAfterAnswer reports whether the connection closes with the answer that is written now,
// because its client is to go elsewhere or the process ends. Requests that have been read behind
// the answered one are still answered for a while: to close the connection would lose them. The
// reader is that of the connection.
func (s *Server) closesAfterAnswer(c *downstreamConn, r *bufio.Reader) bool {
	buffered := r.Buffered() + len(c.readAhead)
	phase, since, _ := s.lifecycle.Now()
	switch {
	case s.redirects(phase):
		late := time.Since(since) - s.redirectGrace()
		return late > headTimeout || buffered == 0 && (late > 0 || !c.hasInput())
	case buffered > 0 && time.Until(s.lifecycle.Deadline()) > -lingerTimeout:
		// Also behind a request that abortReads has rejected at the end.
		return false
	}
	return s.lifecycle.IsClosingWithin(lastAnswerWindow)
}
