package http1

import (
	"errors"
	"os"
	"sync"
	"time"
)

// pause is how what is carried on in steps is asked to stop between two of them, to be passed on.
type pause struct {
	mu        sync.Mutex
	asked     bool
	notBefore time.Time // it is asked again
}

// ask asks, by f, unless that has been done or is too soon.
func (p *pause) ask(f func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !p.asked && now.After(p.notBefore) {
		p.asked = true
		f(now)
	}
}

func (p *pause) isAsked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// interrupted tells whether a step ended only because it was asked to.
func (p *pause) interrupted(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && p.isAsked()
}

// within gives a step its time; none after it was asked to end.
func (p *pause) within(set func(time.Time) error, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked {
		d = 0
	}
	set(time.Now().Add(d))
}

// over ends the pause: nothing could be passed on, and it goes on here.
func (p *pause) over(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked, p.notBefore = false, time.Now().Add(passAgain)
	f()
}

// passAgain is how long a relay that could not be passed on goes on before that is tried again.
const passAgain = 250 * time.Millisecond
