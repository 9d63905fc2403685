package core

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Phase is a phase in the life of a sidecar.
type Phase int

// The phases, in order. Stopping is the last one; Draining may end with Serving again.
const (
	Starting Phase = iota // the Balancer has no endpoint list yet
	Serving
	Draining // by an operator: callers are sent away, and may come back
	Stopping // the process ends
)

// String is the phase's name in the log, the status and the metrics.
func (p Phase) String() string { return [...]string{"starting", "serving", "draining", "stopping"}[p] }

// Lifecycle holds the phase of the process. Handlers, the loop and the admin address use it; it never blocks.
type Lifecycle struct {
	log *zap.Logger

	mu           sync.Mutex
	phase        Phase
	since        time.Time     // start of the phase
	changed      chan struct{} // closed when the phase changes
	hasList      bool          // the Balancer has an endpoint list
	connsCloseAt time.Time     // of Stopping: when callers' connections are closed with their answer
	deadline     time.Time     // of Stopping: when all must be answered
}

func newLifecycle(log *zap.Logger) *Lifecycle {
	return &Lifecycle{log: log, since: time.Now(), changed: make(chan struct{})}
}

// setPhase changes the phase. The caller holds mu.
func (c *Lifecycle) setPhase(p Phase) {
	if c.phase == p {
		return
	}
	c.log.Info("lifecycle.phase", zap.Stringer("phase", p), zap.Stringer("was", c.phase))
	c.phase, c.since = p, time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
}

// listReceived is called when the Balancer has an endpoint list: the sidecar can serve.
func (c *Lifecycle) listReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasList = true
	if c.phase == Starting {
		c.setPhase(Serving)
	}
}

// Drain sends callers away, unless the sidecar stops and so does that already.
func (c *Lifecycle) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase < Draining {
		c.setPhase(Draining)
	}
}

// Resume ends a drain; in any other phase it does nothing.
func (c *Lifecycle) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != Draining {
		return
	}
	if c.hasList {
		c.setPhase(Serving)
	} else {
		c.setPhase(Starting)
	}
}

// Stop begins the last phase. Callers' connections are closed from connsCloseAt on, and all is answered by the deadline.
func (c *Lifecycle) Stop(connsCloseAt, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connsCloseAt, c.deadline = connsCloseAt, deadline
	c.setPhase(Stopping)
}

// Now returns the phase, its start, and a channel that is closed when it changes.
func (c *Lifecycle) Now() (p Phase, since time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since, c.changed
}

// IsReady reports whether callers may be sent here.
func (c *Lifecycle) IsReady() bool {
	p, _, _ := c.Now()
	return p == Serving
}

// CanServe reports whether requests would be served: also in a drain, which only sends callers away.
func (c *Lifecycle) CanServe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasList && c.phase != Stopping
}

// IsClosingWithin reports whether the sidecar stops and closes its callers' connections now or within a time.
func (c *Lifecycle) IsClosingWithin(within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == Stopping && time.Until(c.connsCloseAt) < within
}

// Deadline is when all must be answered; zero unless the sidecar stops.
func (c *Lifecycle) Deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline
}
