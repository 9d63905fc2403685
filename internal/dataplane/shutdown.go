package dataplane

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"dykering/internal/errkind"
	"dykering/internal/nodefile"
)

const (
	// readinessNoticed is how long the platform takes to stop sending new connections: it misses two checks, a second apart.
	readinessNoticed = 2500 * time.Millisecond
	// excusedFor is how long after SIGTERM a request may be sent whose answer may be cut at all: late in the grace period.
	excusedFor = 3 * time.Second
	// signalLag bounds the time from the platform's SIGTERM to its receipt here, and from the receipt of a request to its check.
	signalLag = 500 * time.Millisecond
	// cutShare and closeShare are the parts of the grace period at which answers that are still under way are cut, and
	// connections are closed. Answers may be cut in the last sixth of it alone.
	cutShare   = 0.92
	closeShare = 0.97
	// longestFreeShare is the part of the grace period for which requests of any length are taken on.
	longestFreeShare = 0.4
	shutdownPoll     = 20 * time.Millisecond
	// retryElsewhere is when a client should try again that a stopping sidecar turned away: any other one can serve it.
	retryElsewhere = 20 * time.Millisecond
)

// shutdownSchedule has the times of a graceful stop, each since its beginning.
type shutdownSchedule struct {
	admitAllUntil time.Duration // requests of any length are taken on
	idleFrom      time.Duration // the process may end as soon as nothing is under way
	cutAt         time.Duration // answers that are still under way are cut
	closeAt       time.Duration // connections are closed
}

// newShutdownSchedule derives the times from the grace period.
func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	return shutdownSchedule{
		admitAllUntil: min(excusedFor-signalLag, portion(grace, longestFreeShare)),
		idleFrom:      min(readinessNoticed, grace/2),
		cutAt:         portion(grace, cutShare),
		closeAt:       portion(grace, closeShare),
	}
}

// admits tells whether a request is taken on that arrives at a time since the beginning of the stop and has some time left.
// Late in a stop only those are that end before answers are cut, whatever their endpoint does: at their own deadline at
// the latest. How long a stream is expected to take would be no bound.
func (s shutdownSchedule) admits(elapsed, left time.Duration) bool {
	return elapsed <= s.admitAllUntil || elapsed+left <= s.cutAt
}

// shutdown is a graceful stop under way.
type shutdown struct {
	schedule shutdownSchedule
	began    time.Time
}

func (s *shutdown) elapsed() time.Duration { return time.Since(s.began) }

// stopping tells whether a graceful stop is under way.
func (p *Process) stopping() bool { return p.shutdown.Load() != nil }

// admits tells whether a request with some time left is taken on.
func (p *Process) admits(left time.Duration) bool {
	stop := p.shutdown.Load()
	return stop == nil || p.ending.Err() == nil && stop.schedule.admits(stop.elapsed(), left)
}

// refusalOfStopping turns a request away that could not end in time.
func refusalOfStopping() *refusal {
	return &refusal{kind: errkind.NotReady, detail: "this sidecar stops", retryAfter: retryElsewhere + rand.N(retryElsewhere)}
}

// stop has the platform send no new connections, serves those that are there, and ends.
func (p *Process) stop(front, health *http.Server) {
	stop := &shutdown{schedule: newShutdownSchedule(nodefile.Seconds(p.settings.Bounds.GracePeriodS)), began: time.Now()}
	p.shutdown.Store(stop)
	for !p.stopped(stop) {
		time.Sleep(shutdownPoll)
	}
	p.end()
	p.closeServers(stop, front, health)
}

// stopped tells whether nothing is under way any more, or what is must be cut.
func (p *Process) stopped(stop *shutdown) bool {
	elapsed := stop.elapsed()
	return elapsed >= stop.schedule.cutAt || elapsed >= stop.schedule.idleFrom && p.underWay.Load() == 0
}

// closeServers closes the listeners and, once their answers have gone out or their time is over, the connections.
func (p *Process) closeServers(stop *shutdown, front, health *http.Server) {
	within := max(stop.schedule.closeAt-stop.elapsed(), shutdownPoll)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if front.Shutdown(ctx) != nil {
		front.Close()
	}
	health.Close()
}
