package http1

import (
	"errors"
	"os"
	"sync"
	"time"
)

// pauseControl lets another goroutine ask a stepwise copy to pause between two steps, so that it
// can be transferred.
type pauseControl struct {
	mu sync.Mutex
	// A pause is requested.
	requested bool
	// When a pause may be requested again.
	notBefore time.Time
}

// requestPause requests a pause and calls f, which interrupts the step in progress. It does nothing
// if a pause is requested already or was refused less than transferRetryInterval ago.
func (p *pauseControl) requestPause(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !p.requested && now.After(p.notBefore) {
		p.requested = true
		f(now)
	}
}

// pauseRequested reports whether a pause is requested.
func (p *pauseControl) pauseRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requested
}

// interrupted reports whether a step failed only because it was interrupted for a pause.
func (p *pauseControl) interrupted(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && p.pauseRequested()
}

// setDeadline gives a step its deadline by calling set; an immediate one if a pause is requested,
// so that a step which begins after the request does not miss it.
func (p *pauseControl) setDeadline(set func(time.Time) error, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requested {
		d = 0
	}
	_ = set(time.Now().Add(d)) // a closed connection fails the step itself
}

// resume ends a pause after which nothing was transferred, and calls f.
func (p *pauseControl) resume(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested, p.notBefore = false, time.Now().Add(transferRetryInterval)
	f()
}

// transferRetryInterval is how long a copy that could not be transferred goes on before that is
// tried again.
const transferRetryInterval = 250 * time.Millisecond
