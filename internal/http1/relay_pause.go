package http1

import (
	"errors"
	"os"
	"sync"
	"time"
)

// pauseControl is how what is carried on in steps is asked to stop between two of them, to be passed on.
type pauseControl struct {
	mu        sync.Mutex
	requested bool
	notBefore time.Time // it is asked again
}

// requestPause asks, by f, unless that has been done or is too soon.
func (p *pauseControl) requestPause(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !p.requested && now.After(p.notBefore) {
		p.requested = true
		f(now)
	}
}

func (p *pauseControl) pauseRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requested
}

// interrupted tells whether a step ended only because it was asked to.
func (p *pauseControl) interrupted(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && p.pauseRequested()
}

// setDeadline gives a step its time; none after it was asked to end.
func (p *pauseControl) setDeadline(set func(time.Time) error, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requested {
		d = 0
	}
	set(time.Now().Add(d))
}

// resume ends the pause: nothing could be passed on, and it goes on here.
func (p *pauseControl) resume(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested, p.notBefore = false, time.Now().Add(transferRetryInterval)
	f()
}

// transferRetryInterval is how long a relay that could not be passed on goes on before that is tried again.
const transferRetryInterval = 250 * time.Millisecond
