package dataplane

import (
	"context"
	"net/http"
	"time"

	"dykering/internal/nodefile"
)

// Graceful shutdown (docs/incidents/stop-cut-answers.md).
const (
	// readinessDetectionTime is how long the platform takes to stop sending new connections: it misses two checks, a second apart.
	readinessDetectionTime = 2500 * time.Millisecond
	// abortableRequestWindow is how long after SIGTERM a request may be sent whose response may be cut at all, late in the grace
	// period, by the pages' rules.
	abortableRequestWindow = 3 * time.Second
	// maxSignalDelay bounds the time from the platform's SIGTERM to its receipt here, and from the receipt of a request to its check.
	maxSignalDelay = 500 * time.Millisecond
	// abortResponsesFraction and closeConnectionsFraction are the parts of the grace period at which responses in flight are cut, and
	// connections closed. Responses may be cut in the last sixth of it alone. Half or double: not measured.
	abortResponsesFraction   = 0.92
	closeConnectionsFraction = 0.97
	// admitAllFraction is the part of the grace period for which requests of any length are admitted.
	admitAllFraction = 0.4
	// shutdownPollInterval is how often it is looked whether requests are in flight.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownSchedule has the times of a graceful shutdown, each since its start.
type shutdownSchedule struct {
	admitAllUntil      time.Duration // requests of any length are admitted
	idleExitFrom       time.Duration // the process may end as soon as nothing is in flight
	abortResponsesAt   time.Duration
	closeConnectionsAt time.Duration
}

// newShutdownSchedule derives the times from the grace period.
func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	return shutdownSchedule{
		admitAllUntil:      min(abortableRequestWindow-maxSignalDelay, scaleDuration(grace, admitAllFraction)),
		idleExitFrom:       min(readinessDetectionTime, grace/2),
		abortResponsesAt:   scaleDuration(grace, abortResponsesFraction),
		closeConnectionsAt: scaleDuration(grace, closeConnectionsFraction),
	}
}

// admits reports whether a request is admitted that arrives at a time since the start and ends within its timeout. Late in a
// shutdown only those are that end before responses are cut, whatever their endpoint does: at their own deadline at the
// latest. How long a stream is expected to take would be no bound.
func (s shutdownSchedule) admits(elapsed, timeout time.Duration) bool {
	return elapsed <= s.admitAllUntil || elapsed+timeout <= s.abortResponsesAt
}

// shutdown is a graceful shutdown in progress.
type shutdown struct {
	schedule  shutdownSchedule
	startedAt time.Time
}

func (s *shutdown) elapsed() time.Duration { return time.Since(s.startedAt) }

// isStopping reports whether a graceful shutdown is in progress.
func (s *Server) isStopping() bool { return s.shutdown.Load() != nil }

// admits reports whether a request with a timeout is admitted.
func (s *Server) admits(timeout time.Duration) bool {
	stop := s.shutdown.Load()
	if stop == nil {
		return true
	}
	return s.responsesAborted.Err() == nil && stop.schedule.admits(stop.elapsed(), timeout)
}

// shutDownGracefully has the platform send no new connections, completes the requests in flight, and ends.
func (s *Server) shutDownGracefully(frontend, admin *http.Server) {
	grace := nodefile.Seconds(s.settings.Bounds.GracePeriodS)
	stop := &shutdown{schedule: newShutdownSchedule(grace), startedAt: time.Now()}
	s.shutdown.Store(stop)
	for !s.mayExit(stop) {
		time.Sleep(shutdownPollInterval)
	}
	s.abortResponses()
	closeServers(stop, frontend, admin)
}

// mayExit reports whether nothing is in flight any more, or what is must be cut.
func (s *Server) mayExit(stop *shutdown) bool {
	elapsed := stop.elapsed()
	isIdle := elapsed >= stop.schedule.idleExitFrom && s.requestsInFlight.Load() == 0
	return isIdle || elapsed >= stop.schedule.abortResponsesAt
}

// closeServers closes the listeners and, once their responses have gone out or their time is over, the connections.
func closeServers(stop *shutdown, frontend, admin *http.Server) {
	timeout := max(stop.schedule.closeConnectionsAt-stop.elapsed(), shutdownPollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if frontend.Shutdown(ctx) != nil {
		frontend.Close()
	}
	admin.Close()
}
