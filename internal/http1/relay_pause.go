package http1

import (
	"errors"
	"os"
	"sync"
	"time"
)

// pauseControl lets another goroutine ask a copy that runs in steps to pause between two steps, so
// that the copy can be transferred.
type pauseControl struct {
	mu sync.Mutex
	// A pause is requested.
	requested bool
	// The earliest time at which a pause may be requested.
	notBefore time.Time
}

// requestPause requests a pause and calls f, which interrupts the step in progress. It does nothing
// if a pause is already requested, or if a transfer failed less than transferRetryInterval ago.
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

// setDeadline sets the deadline of a step by calling set. If a pause is requested it sets an immediate
// deadline, so that a step that begins after the request is interrupted too.
func (p *pauseControl) setDeadline(set func(time.Time) error, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requested {
		d = 0
	}
	_ = set(time.Now().Add(d)) // fails only on a closed connection, which makes the step fail too
}

// resume ends a pause in which nothing was transferred, and calls f.
func (p *pauseControl) resume(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested, p.notBefore = false, time.Now().Add(transferRetryInterval)
	f()
}

// transferRetryInterval is how long a copy that could not be transferred runs before the transfer is
// tried again.
const transferRetryInterval = 250 * time.Millisecond
