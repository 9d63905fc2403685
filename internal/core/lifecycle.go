package core

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Phase is how far a sidecar has come in its life.
type Phase int

const (
	Starting Phase = iota // the Balancer has no list yet
	Serving
	Draining // by an operator's call: callers are sent away, and may come back
	Stopping // for good
)

func (p Phase) String() string { return [...]string{"starting", "serving", "draining", "stopping"}[p] }

// Lifecycle is the one place that knows the phase. It is asked by handlers, the loop and the second address
// alike, and never blocks.
type Lifecycle struct {
	log          *zap.Logger
	mu           sync.Mutex
	phase        Phase
	listed       bool          // the Balancer has a list
	since        time.Time     // start of the phase
	connsCloseAt time.Time     // of stopping: when connections are closed, busy or not with their answer
	deadline     time.Time     // and when all is answered
	changed      chan struct{} // closed when the phase changes
}

func newLifecycle(log *zap.Logger) *Lifecycle {
	return &Lifecycle{log: log, since: time.Now(), changed: make(chan struct{})}
}

// enter needs mu.
func (f *Lifecycle) enter(p Phase) {
	if f.phase == p {
		return
	}
	f.log.Info("lifecycle.phase", zap.Stringer("phase", p), zap.Stringer("was", f.phase))
	f.phase, f.since = p, time.Now()
	close(f.changed)
	f.changed = make(chan struct{})
}

// haveList tells that the Balancer has a list: the sidecar can serve.
func (f *Lifecycle) listReceived() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	if f.phase == Starting {
		f.enter(Serving)
	}
}

// Drain sends callers away. A sidecar that stops does so already.
func (f *Lifecycle) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase < Draining {
		f.enter(Draining)
	}
}

// Resume ends a drain, and nothing else.
func (f *Lifecycle) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase != Draining {
		return
	}
	if f.listed {
		f.enter(Serving)
	} else {
		f.enter(Starting)
	}
}

// Stop begins the last phase: from when on its connections are closed, and at whose end all is answered.
func (f *Lifecycle) Stop(last, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connsCloseAt, f.deadline = last, end
	f.enter(Stopping)
}

// Now tells the phase, since when it is that, and what will be closed when it changes.
func (f *Lifecycle) Now() (p Phase, since time.Time, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase, f.since, f.changed
}

// Ready tells whether callers may be sent here.
func (f *Lifecycle) IsReady() bool {
	p, _, _ := f.Now()
	return p == Serving
}

// CanServe tells whether what callers send would be served: also in a drain, that only sends them away.
func (f *Lifecycle) CanServe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.phase != Stopping
}

// Closing tells whether a sidecar that stops closes its connections, or will in a moment.
func (f *Lifecycle) IsClosingWithin(moment time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == Stopping && time.Until(f.connsCloseAt) < moment
}

// Ends is when all is answered; zero unless the sidecar stops.
func (f *Lifecycle) Deadline() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadline
}
