package core

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Phase is a phase in the lifecycle of a sidecar process.
type Phase int

// The phases, in order. Stopping is final. A drain may end with a return to Serving.
const (
	Starting Phase = iota // the Balancer has no endpoint list yet
	Serving               // clients are served
	Draining              // an operator has asked clients to move elsewhere; they may come back
	Stopping              // the process is shutting down
)

// String returns the name of the phase in the log, the status and the metrics.
func (p Phase) String() string { return [...]string{"starting", "serving", "draining", "stopping"}[p] }

// Lifecycle holds the phase of the process. It is safe for concurrent use by request handlers, the loop and the control
// address.
type Lifecycle struct {
	log *zap.Logger

	mu           sync.Mutex
	phase        Phase
	since        time.Time     // start time of the phase
	changed      chan struct{} // closed when the phase changes
	hasList      bool          // the Balancer has an endpoint list
	connsCloseAt time.Time     // only in Stopping: from when on client connections are closed after their next answer
	deadline     time.Time     // only in Stopping: by when all requests must be answered
}

func newLifecycle(log *zap.Logger) *Lifecycle {
	return &Lifecycle{log: log, since: time.Now(), changed: make(chan struct{})}
}

// setPhase changes the phase and wakes the goroutines that wait for a change. The caller holds mu.
func (l *Lifecycle) setPhase(p Phase) {
	if l.phase == p {
		return
	}
	l.log.Info("lifecycle.phase", zap.Stringer("phase", p), zap.Stringer("was", l.phase))
	l.phase, l.since = p, time.Now()
	close(l.changed)
	l.changed = make(chan struct{})
}

// listReceived is called when the Balancer has an endpoint list. The sidecar can serve from then on.
func (l *Lifecycle) listReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasList = true
	if l.phase == Starting {
		l.setPhase(Serving)
	}
}

// Drain starts a drain, which asks clients to move elsewhere. It has no effect while the sidecar is stopping.
func (l *Lifecycle) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase < Draining {
		l.setPhase(Draining)
	}
}

// Resume ends a drain. It has no effect in any other phase.
func (l *Lifecycle) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase != Draining {
		return
	}
	if l.hasList {
		l.setPhase(Serving)
	} else {
		l.setPhase(Starting)
	}
}

// Stop enters the last phase. Client connections are closed from connsCloseAt on, and all requests are answered by the
// deadline.
func (l *Lifecycle) Stop(connsCloseAt, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connsCloseAt, l.deadline = connsCloseAt, deadline
	l.setPhase(Stopping)
}

// Now returns the current phase, its start time, and a channel that is closed when the phase changes.
func (l *Lifecycle) Now() (p Phase, since time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase, l.since, l.changed
}

// IsReady reports whether new clients should be routed to this sidecar.
func (l *Lifecycle) IsReady() bool {
	p, _, _ := l.Now()
	return p == Serving
}

// CanServe reports whether the sidecar serves requests. It does so in a drain too.
func (l *Lifecycle) CanServe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasList && l.phase != Stopping
}

// IsClosingWithin reports whether the sidecar is stopping and closes client connections now or within the given time.
func (l *Lifecycle) IsClosingWithin(within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase == Stopping && time.Until(l.connsCloseAt) < within
}

// Deadline returns the time by which all requests must be answered. It is zero unless the sidecar is stopping.
func (l *Lifecycle) Deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline
}
