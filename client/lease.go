package client

import (
	"sync"
	"time"
)

// lease is the time for which a holder may rely on its lock, by the process's monotonic clock. Renewals extend it. It ends
// once: when it expires, or when the lock is lost or released.
type lease struct {
	lost chan struct{} // closed when the lease ends

	mu    sync.Mutex
	until time.Time
	ended bool
	timer *time.Timer
}

// newLease returns a lease that expires at a time.
func newLease(until time.Time) *lease {
	l := &lease{lost: make(chan struct{}), until: until}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(time.Until(until), l.expire)
	return l
}

// extend moves the expiry to a later time. If the lease has already expired, it ends the lease and returns false, because a
// late renewal must not revive it.
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

// end ends the lease and returns whether it was held until now.
func (l *lease) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.heldLocked()
	l.endLocked()
	return held
}

// held reports whether the lease has neither ended nor expired. It reads the clock, because the timer may fire late.
func (l *lease) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldLocked()
}

// deadline returns the time when the lease expires unless it is extended.
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
