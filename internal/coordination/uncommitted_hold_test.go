package coordination

import (
	"testing"
	"time"
)

// Guards against the failure of 3 December 2026 that two callers held one lock: the head dropped the timer of a hold that it had
// just granted when it looked at the committed state, which did not have the hold yet, and took the hold for over.
func TestTimerOfHoldOutlivesLookAtOlderState(t *testing.T) {
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

	if timers.IsOver(grantedAt+hold-1, "l", lock) {
		t.Error("the hold is over before its time")
	}
	if !timers.IsOver(grantedAt+hold, "l", lock) {
		t.Error("the hold is not over at its end")
	}
}
