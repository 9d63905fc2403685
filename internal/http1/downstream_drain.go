package http1

import (
	"bufio"
	"time"

	"dykering/internal/core"
)

const (
	// drainGrace is the time from the start of a drain until the last idle connection is closed.
	// Clients that do not know of the drain yet are served until then. Later requests are rejected
	// with a Retry-After.
	drainGrace = 1600 * time.Millisecond
	// handoverGrace is the shorter grace for a shutdown with a successor that already serves. The
	// successor can serve a rejected client at once, and a request that arrives here late may be
	// incomplete when this process is killed.
	handoverGrace = 400 * time.Millisecond
	// handoverRetryAfter is the largest Retry-After during a handover.
	handoverRetryAfter = 50 * time.Millisecond
	// drainedNewConnTimeout is how long a new connection may send nothing after the grace of a drain.
	drainedNewConnTimeout = 500 * time.Millisecond
	// minAnswerTime is the time before the end of this process by which the last byte of an upload must
	// be received. The endpoint needs this time to answer.
	minAnswerTime = 1200 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks the connections.
	drainPollInterval = 20 * time.Millisecond
)

// CanServe reports whether the server can serve requests: it has a list of endpoints and is not
// stopping. Package control calls it, Drain and Resume for operators, and none of the three waits for
// the core loop.
func (s *Server) CanServe() bool { return s.lifecycle.CanServe() }

// Drain starts redirecting clients to other instances.
func (s *Server) Drain() { s.lifecycle.Drain() }

// Resume ends a drain.
func (s *Server) Resume() { s.lifecycle.Resume() }

// drainConnections closes connections while the server drains or hands over to a successor. It begins
// with the connections that have been idle longest, whose clients are least likely to use them again,
// and ends with all idle ones. Connections in use are closed with their answer. It returns when done
// is closed.
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

// redirects reports whether clients are redirected in a phase: to other instances in a drain, or to
// the successor in a shutdown with a shared listener.
func (s *Server) redirects(p core.Phase) bool {
	return p == core.Draining || p == core.Stopping && s.sharesListener()
}

// redirectGrace returns how long clients that do not know of the drain or handover yet are served.
func (s *Server) redirectGrace() time.Duration {
	if s.lifecycle.CanServe() {
		return s.drainGrace
	}
	return s.handoverGrace
}

// redirectAnswer returns the rejection for requests that are received after the grace, and reports
// whether clients are redirected and the grace has passed.
func (s *Server) redirectAnswer() (rejection core.Answer, graceOver bool) {
	phase, since, _ := s.lifecycle.Now()
	rejection = core.RejectedAnswer(&s.config.Settings)
	if phase == core.Stopping {
		rejection.RetryAfter = min(rejection.RetryAfter, handoverRetryAfter)
	}
	return rejection, s.redirects(phase) && time.Since(since) > s.redirectGrace()
}

// uploadTooLate reports whether an upload whose last byte is received now is too late to be answered
// by this process.
func (s *Server) uploadTooLate() bool {
	if s.hasSuccessor() {
		return time.Until(s.lifecycle.Deadline()) < minAnswerTime
	}
	_, graceOver := s.redirectAnswer()
	return graceOver
}

// closesAfterAnswer reports whether the connection closes after the answer that is written now,
// because its client is redirected or the process ends. Pipelined requests that have already been
// read from the connection with r are still answered for a while, because closing the connection
// would lose them.
func (s *Server) closesAfterAnswer(c *downstreamConn, r *bufio.Reader) bool {
	buffered := r.Buffered() + len(c.readAhead)
	phase, since, _ := s.lifecycle.Now()
	switch {
	case s.redirects(phase):
		pastGrace := time.Since(since) - s.redirectGrace()
		return pastGrace > headTimeout || buffered == 0 && (pastGrace > 0 || !c.hasInput())
	case buffered > 0 && time.Until(s.lifecycle.Deadline()) > -lingerTimeout:
		// This also holds after a request that abortReads has rejected at the end of the process.
		return false
	}
	return s.lifecycle.IsClosingWithin(lastAnswerWindow)
}
