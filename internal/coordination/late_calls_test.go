package coordination

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The head checks the committed state for expired holds while the begin of a lock is not committed yet. It must keep the end of
// that hold.
func TestTimerOfAnUncommittedHoldIsKept(t *testing.T) {
	g := NewWithT(t)
	const viewInstalledAt, now = time.Second, time.Hour
	timers := NewHoldTimers(viewInstalledAt, 0)
	committed := Empty()
	latest, _, err := committed.Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: 3000})
	g.Expect(err).NotTo(HaveOccurred())
	lock, _ := latest.Lock("l")
	timers.Extend(now, "l", lock, 3*time.Second)
	timers.Expired(now, committed, time.Minute)
	g.Expect(timers.IsExpired(now+time.Second, "l", lock)).To(BeFalse())
	g.Expect(timers.IsExpired(now+3*time.Second, "l", lock)).To(BeTrue())
}

// A new head knows only the longest requested duration of a hold. A call that requests a shorter duration must not shorten the
// hold.
func TestShorterBeginAfterANewViewShortensNoHold(t *testing.T) {
	g := NewWithT(t)
	const viewInstalledAt = time.Minute
	timers := NewHoldTimers(viewInstalledAt, 0)
	held, _, err := Empty().Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: 3000})
	g.Expect(err).NotTo(HaveOccurred())
	again, _, err := held.Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: 500})
	g.Expect(err).NotTo(HaveOccurred())
	lock, _ := again.Lock("l")
	timers.Extend(viewInstalledAt+time.Second, "l", lock, 500*time.Millisecond)
	g.Expect(timers.IsExpired(viewInstalledAt+2*time.Second, "l", lock)).To(BeFalse())
	g.Expect(timers.IsExpired(viewInstalledAt+3*time.Second, "l", lock)).To(BeTrue())
}

// A holder crashes after it has sent a renewal and a finish. It restarts and acquires its lock again before these calls arrive.
// The delayed calls must not release the lock.
func TestDelayedRenewalAndFinishOfAnEarlierIncarnationKeepTheLock(t *testing.T) {
	g := NewWithT(t)
	state := Empty()
	execute := func(command Command) Result {
		next, result, err := state.Execute(command)
		g.Expect(err).NotTo(HaveOccurred())
		state = next
		return result
	}
	call := func(operation Operation, token uint64) Command {
		return Command{Operation: operation, Name: "l", Holder: "a", Token: token, HoldMs: 3000}
	}
	earlier := execute(call(BeginLock, 0)).Token
	current := execute(call(BeginLock, 0)).Token
	execute(call(RenewLock, earlier))
	execute(call(FinishLock, earlier))
	lock, held := state.Lock("l")
	g.Expect(held).To(BeTrue())
	g.Expect(lock.Token).To(Equal(current))
	execute(call(FinishLock, current))
	_, held = state.Lock("l")
	g.Expect(held).To(BeFalse())
}
