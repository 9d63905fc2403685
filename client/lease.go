package client

import (
	"sync"
	"time"
)

// lease is the time for which a holder may rely on its lock, by the process's monotonic clock. It is extended by renewals
// and ends once: by itself, or when the lock is lost or released.
type lease struct {
	lost chan struct{} // closed at the end

	mu    sync.Mutex
	until time.Time
	ended bool
	timer *time.Timer
}

// newLease returns a lease that ends by itself at a time.
func newLease(until time.Time) *lease {
	l := &lease{lost: make(chan struct{}), until: until}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(time.Until(until), l.expire)
	return l
}

// extend moves the end. It returns false, and ends the lease, if it is over: a renewal that comes too late counts for
// nothing.
func (l *lease) extend(until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heldLocked() {
		l.endLocked()
		return false
	}
	if until.After(l.until) {
		l.until = until
		l.timer.Reset(time.Until(until))
	}
	return true
}

// expire ends the lease, unless it was extended while the timer fired.
func (l *lease) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heldLocked() {
		l.timer.Reset(time.Until(l.until))
		return
	}
	l.endLocked()
}

// end ends the lease, and returns whether it held until now.
func (l *lease) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldLocked()
	l.endLocked()
	return held
}

// held reports whether the lease has neither ended nor run out. It goes by the clock, not by the timer, which may be late.
func (l *lease) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldLocked()
}

// deadline returns when the lease ends if it is not extended.
func (l *lease) deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

func (l *lease) heldLocked() bool { return !l.ended && time.Now().Before(l.until) }

func (l *lease) endLocked() {
	if l.ended {
		return
	}
	l.ended = true
	l.timer.Stop()
	close(l.lost)
}
