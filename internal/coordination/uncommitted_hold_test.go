package coordination

import (
	"testing"
	"time"
)

// Guards against two callers that hold one lock at the same time. When the head checked the committed state for expired holds, it
// dropped the timer of a hold that it had just granted and that the committed state did not have yet. The head then treated that
// hold as expired.
func TestHoldTimersKeepTimerOfHoldMissingFromOlderState(t *testing.T) {
	const hold = 2 * time.Second
	const grantedAt = 10 * time.Second
	committed := Empty()
	latest, _, err := committed.Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: hold.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	lock, _ := latest.Lock("l")
	timers := NewHoldTimers(0, 0)
	timers.Extend(grantedAt, "l", lock, hold)

	timers.Expired(grantedAt, committed, time.Minute)

	if timers.IsExpired(grantedAt+hold-1, "l", lock) {
		t.Error("the hold has expired before its end")
	}
	if !timers.IsExpired(grantedAt+hold, "l", lock) {
		t.Error("the hold has not expired at its end")
	}
}
