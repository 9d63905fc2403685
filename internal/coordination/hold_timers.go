package coordination

import "time"

// HoldTimers keeps the ends of the holds of locks at the head of the chain. It is volatile and belongs to one member. The caller
// must reset it whenever a view is installed, as another head may have renewed holds before. Times are durations since an
// epoch that the caller chooses.
type HoldTimers struct {
	// margin is added to each hold. A holder counts its hold from when it sent the call, which is before the head counts it.
	// But the clock of the holder may run at a slightly different rate.
	margin time.Duration
	// resetAt is when the view was installed. A hold without a timer may have been renewed until then.
	resetAt time.Duration
	// timers are the known timers by lock.
	timers map[string]holdTimer
}

// holdTimer is the end of one hold. The first token identifies the hold.
type holdTimer struct {
	firstToken uint64
	endsAt     time.Duration
}

// NewHoldTimers returns the timers of a member that has just started or become the head. The margin is added to each hold.
func NewHoldTimers(now, margin time.Duration) *HoldTimers {
	return &HoldTimers{margin: margin, resetAt: now, timers: map[string]holdTimer{}}
}

// Reset drops all timers. Every hold may have been renewed until now.
func (t *HoldTimers) Reset(now time.Duration) {
	t.resetAt = now
	clear(t.timers)
}

// Extend extends the hold of a lock to at least the given duration from now on. It never shortens a hold.
func (t *HoldTimers) Extend(now time.Duration, name string, lock Lock, hold time.Duration) {
	endsAt := max(now+hold+t.margin, t.endsAt(name, lock))
	t.timers[name] = holdTimer{firstToken: lock.FirstToken, endsAt: endsAt}
}

// Forget drops the timer of a finished hold. The caller calls it once the finish is committed. Otherwise the timer of a
// finished hold would stay until the hold's original end, up to a day later. Forget keeps the timer of another hold of the
// lock.
func (t *HoldTimers) Forget(name string, finished Lock) {
	if timer, ok := t.timers[name]; ok && timer.firstToken == finished.FirstToken {
		delete(t.timers, name)
	}
}

// IsExpired reports whether the hold of a lock has ended.
func (t *HoldTimers) IsExpired(now time.Duration, name string, lock Lock) bool {
	return now >= t.endsAt(name, lock)
}

// endsAt returns when the hold of a lock ends. It ignores the timer of an earlier hold of the same lock.
func (t *HoldTimers) endsAt(name string, lock Lock) time.Duration {
	if timer, ok := t.timers[name]; ok && timer.firstToken == lock.FirstToken {
		return timer.endsAt
	}
	return t.resetAt + time.Duration(lock.HoldMs)*time.Millisecond + t.margin
}

// Expired returns the holds of a state that ended more than the grace period ago, as a map from the lock to the token. It also
// drops the timers that ended at least the grace period ago. It keeps the other timers even if the state does not have their
// holds, because the state may be older than the one in which a lock was acquired.
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
