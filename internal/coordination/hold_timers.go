package coordination

import "time"

// HoldTimers is when the holds of locks end, as the head of the chain knows it. It is volatile and belongs to one member; it
// must be reset whenever a view is installed, as another head may have renewed holds before. Times are durations since a
// start that the caller chooses.
type HoldTimers struct {
	// margin is added to each hold: a holder counts from when it sent a call, by a clock that may run a little differently.
	margin time.Duration
	// resetAt is when the view was installed. Holds without a timer may have been renewed until then.
	resetAt time.Duration
	timers  map[string]holdTimer
}

type holdTimer struct {
	firstToken uint64
	endsAt     time.Duration
}

// NewHoldTimers returns timers for a member that has just become head or was started. The margin is added to each hold.
func NewHoldTimers(now, margin time.Duration) *HoldTimers {
	return &HoldTimers{margin: margin, resetAt: now, timers: map[string]holdTimer{}}
}

// Reset forgets all times: every hold may have been renewed until now.
func (t *HoldTimers) Reset(now time.Duration) {
	t.resetAt = now
	clear(t.timers)
}

// Extend notes that the holder of a lock may count on it for hold from now on. It never shortens the time of a hold.
func (t *HoldTimers) Extend(now time.Duration, name string, lock Lock, hold time.Duration) {
	endsAt := max(now+hold+t.margin, t.endsAt(name, lock))
	t.timers[name] = holdTimer{firstToken: lock.FirstToken, endsAt: endsAt}
}

// Forget drops the timer of a hold that was given back, once that is committed. Without it a finished hold of a day would be
// remembered for a day. The timer of another hold of the lock is kept.
func (t *HoldTimers) Forget(name string, finished Lock) {
	if timer, ok := t.timers[name]; ok && timer.firstToken == finished.FirstToken {
		delete(t.timers, name)
	}
}

// IsOver reports whether the holder of a lock cannot count on it any more.
func (t *HoldTimers) IsOver(now time.Duration, name string, lock Lock) bool {
	return now >= t.endsAt(name, lock)
}

// endsAt is when the hold of a lock ends. A timer of an earlier hold of the same lock says nothing about it.
func (t *HoldTimers) endsAt(name string, lock Lock) time.Duration {
	if timer, ok := t.timers[name]; ok && timer.firstToken == lock.FirstToken {
		return timer.endsAt
	}
	return t.resetAt + time.Duration(lock.HoldMs)*time.Millisecond + t.margin
}

// Expired returns the tokens of the holds of a state that have been over for longer than a grace time, by lock. It also forgets
// the timers that have run out. Those that run are kept whatever the state says: it may be older than the one in which the
// lock was taken.
func (t *HoldTimers) Expired(now time.Duration, state *State, grace time.Duration) map[string]uint64 {
	expired := map[string]uint64{}
	for iterator := state.locks.Iterator(); !iterator.Done(); {
		name, lock, _ := iterator.Next()
		if now-t.endsAt(name, lock) > grace {
			expired[name] = lock.Token
		}
	}
	for name, timer := range t.timers {
		if now >= timer.endsAt+grace {
			delete(t.timers, name)
		}
	}
	return expired
}
