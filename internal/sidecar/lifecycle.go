package sidecar

import (
	"log"
	"sync"
	"time"
)

// phase is how far a sidecar has come in its life.
type phase int

const (
	starting phase = iota // the Balancer has no list yet
	serving
	draining // by an operator's call: callers are sent away, and may come back
	stopping // for good
)

func (p phase) String() string { return [...]string{"starting", "serving", "draining", "stopping"}[p] }

// lifecycle is the one place that knows the phase. It is asked by handlers, the loop and the second address
// alike, and never blocks.
type lifecycle struct {
	mu      sync.Mutex
	phase   phase
	listed  bool          // the Balancer has a list
	since   time.Time     // start of the phase
	last    time.Time     // of stopping: when connections are closed, busy or not with their answer
	end     time.Time     // and when all is answered
	changed chan struct{} // closed when the phase changes
}

func newLifecycle() *lifecycle {
	return &lifecycle{since: time.Now(), changed: make(chan struct{})}
}

// enter needs mu.
func (f *lifecycle) enter(p phase) {
	if f.phase == p {
		return
	}
	log.Printf("lifecycle: %v, was %v", p, f.phase)
	f.phase, f.since = p, time.Now()
	close(f.changed)
	f.changed = make(chan struct{})
}

// haveList tells that the Balancer has a list: the sidecar can serve.
func (f *lifecycle) haveList() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = true
	if f.phase == starting {
		f.enter(serving)
	}
}

// drain sends callers away. A sidecar that stops does so already.
func (f *lifecycle) drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase < draining {
		f.enter(draining)
	}
}

// resume ends a drain, and nothing else.
func (f *lifecycle) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase != draining {
		return
	}
	if f.listed {
		f.enter(serving)
	} else {
		f.enter(starting)
	}
}

// stop begins the last phase: from when on its connections are closed, and at whose end all is answered.
func (f *lifecycle) stop(last, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last, f.end = last, end
	f.enter(stopping)
}

// now tells the phase, since when it is that, and what will be closed when it changes.
func (f *lifecycle) now() (p phase, since time.Time, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase, f.since, f.changed
}

// ready tells whether callers may be sent here.
func (f *lifecycle) ready() bool {
	p, _, _ := f.now()
	return p == serving
}

// canServe tells whether what callers send would be served: also in a drain, that only sends them away.
func (f *lifecycle) canServe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.phase != stopping
}

// closing tells whether a sidecar that stops closes its connections, or will in a moment.
func (f *lifecycle) closing(moment time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.phase == stopping && time.Until(f.last) < moment
}

// ends is when all is answered; zero unless the sidecar stops.
func (f *lifecycle) ends() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}
