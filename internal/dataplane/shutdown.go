package dataplane

import (
	"context"
	"net/http"
	"time"

	"dykering/internal/nodefile"
)

// Constants of a graceful shutdown.
const (
	// readinessDetectionTime is how long the platform takes to stop sending new connections. It checks the readiness once a second
	// and stops after two failed checks.
	readinessDetectionTime = 2500 * time.Millisecond
	// abortableRequestWindow is the time after SIGTERM within which a request must be sent so that its response may be aborted. A
	// request that is sent later must be completed or rejected.
	abortableRequestWindow = 3 * time.Second
	// maxSignalDelay bounds the time from the platform's SIGTERM until the process receives it, plus the time from the receipt of
	// a request until its admission.
	maxSignalDelay = 500 * time.Millisecond
	// abortResponsesFraction is the fraction of the grace period after which responses in flight are aborted. Responses may only
	// be aborted in the last sixth of the grace period.
	abortResponsesFraction = 0.92
	// closeConnectionsFraction is the fraction of the grace period after which connections are closed.
	closeConnectionsFraction = 0.97
	// admitAllFraction is the fraction of the grace period in which requests with any timeout are admitted.
	admitAllFraction = 0.4
	// shutdownPollInterval is the time between two checks for requests in flight.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownSchedule has the times of a graceful shutdown, each relative to its start.
type shutdownSchedule struct {
	admitAllUntil      time.Duration // end of the admission of requests with any timeout
	idleExitFrom       time.Duration // from this time on, the process exits once no request is in flight
	abortResponsesAt   time.Duration
	closeConnectionsAt time.Duration
}

// newShutdownSchedule calculates the times of a shutdown from the grace period.
func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	return shutdownSchedule{
		admitAllUntil:      min(abortableRequestWindow-maxSignalDelay, scaleDuration(grace, admitAllFraction)),
		idleExitFrom:       min(readinessDetectionTime, grace/2),
		abortResponsesAt:   scaleDuration(grace, abortResponsesFraction),
		closeConnectionsAt: scaleDuration(grace, closeConnectionsFraction),
	}
}

// admits reports whether a request with a timeout is admitted when the shutdown has lasted for the elapsed time. After
// admitAllUntil, only a request that times out before responses are aborted is admitted. The expected duration of a response is
// not used, since an endpoint may take longer.
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

// admits reports whether a request with a timeout is admitted. All requests are, unless the process is stopping.
func (s *Server) admits(timeout time.Duration) bool {
	stop := s.shutdown.Load()
	if stop == nil {
		return true
	}
	return s.responsesAborted.Err() == nil && stop.schedule.admits(stop.elapsed(), timeout)
}

// shutDownGracefully fails the readiness checks, so that the platform sends no new connections. It waits until the requests in
// flight have ended or must be aborted, and then closes the servers.
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

// mayExit reports whether no request is in flight after idleExitFrom, or the time to abort responses has come.
func (s *Server) mayExit(stop *shutdown) bool {
	elapsed := stop.elapsed()
	isIdle := elapsed >= stop.schedule.idleExitFrom && s.requestsInFlight.Load() == 0
	return isIdle || elapsed >= stop.schedule.abortResponsesAt
}

// closeServers closes the listeners, and each connection once its response has been sent. At closeConnectionsAt it closes the
// remaining connections.
func closeServers(stop *shutdown, frontend, admin *http.Server) {
	timeout := max(stop.schedule.closeConnectionsAt-stop.elapsed(), shutdownPollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if frontend.Shutdown(ctx) != nil {
		frontend.Close()
	}
	admin.Close()
}
