package dataplane

import (
	"log/slog"
	"maps"
	"net/http"

	"dykering/internal/routing"
)

// attemptOutcome describes how an attempt ended. Attempts are counted by it.
type attemptOutcome struct {
	result     routing.CallResult
	mayHaveRun bool // the endpoint has run the request, or may have
	reused     bool // the connection had carried an earlier request
}

// outcome returns the outcome by which an attempt is counted.
func (r attemptResult) outcome() attemptOutcome {
	return attemptOutcome{result: r.callResult, mayHaveRun: r.mayHaveRun || r.answered, reused: r.connection.reused}
}

// attemptCounters counts the attempts of this process, and the surplus responses that it received. Only the table loop uses it.
type attemptCounters struct {
	byOutcome map[attemptOutcome]uint64
	surplus   uint64 // responses to other requests than the one that was sent
}

func newAttemptCounters() attemptCounters {
	return attemptCounters{byOutcome: map[attemptOutcome]uint64{}}
}

// clone returns a copy that does not change.
func (c *attemptCounters) clone() attemptCounters {
	return attemptCounters{byOutcome: maps.Clone(c.byOutcome), surplus: c.surplus}
}

// add counts an attempt.
func (c *attemptCounters) add(result attemptResult) {
	c.byOutcome[result.outcome()]++
	c.surplus += uint64(result.connection.surplusResponses)
}

// recordAttempt records the end of an attempt's call, and the load that the endpoint reported, in the endpoint pool. It counts
// and logs the attempt.
func (s *Server) recordAttempt(x *exchange, endpoint *routing.Endpoint, result attemptResult) {
	s.logAttempt(x, endpoint, result)
	q := x.query()
	s.enqueue(func() {
		now := s.now()
		s.attempts.add(result)
		s.pool.EndCall(now, endpoint, q, result.callResult, result.responseStarted)
		if result.load != nil {
			s.pool.ReportLoad(now, endpoint, *result.load)
		}
	})
}

// logAttempt logs how an attempt ended, at the level debug.
func (s *Server) logAttempt(x *exchange, endpoint *routing.Endpoint, result attemptResult) {
	if !s.log.Enabled(s.ctx, slog.LevelDebug) {
		return
	}
	s.log.Debug("attempt.ended", "request", x.request.id, "attempt", x.attempts, "endpoint", endpoint.ID,
		"connection", result.connection.localAddress, "reused", result.connection.reused,
		"sent", result.connection.sentBytes, "body", len(x.request.body), "surplus", result.connection.surplusResponses, "result", result.callResult.String(),
		"may_have_run", result.mayHaveRun || result.answered, "detail", result.detail)
}

// logOutcome logs how a request ended, at the level debug. The failure is nil for an answered request.
func (s *Server) logOutcome(x *exchange, failure *rejection) {
	if !s.log.Enabled(s.ctx, slog.LevelDebug) {
		return
	}
	served, kind := failure == nil, ""
	if !served {
		kind = failure.Error()
	}
	s.log.Debug("call.answered", "request", x.request.id, "route", x.request.route.Name, "served", served, "refused", kind,
		"attempts", x.attempts, "may_have_run", x.mayHaveRun)
}

// logEarlyRejection logs the rejection of a request that was not read completely, at the level debug.
func (s *Server) logEarlyRejection(r *http.Request, rejected *rejection) {
	if s.log.Enabled(s.ctx, slog.LevelDebug) {
		s.log.Debug("call.rejected_early", "request", r.Header.Get(headerRequestID), "refused", rejected.Error())
	}
}
