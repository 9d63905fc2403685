package coordination

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A look at the committed state, for what has expired, comes while the begin of a lock waits for its commit. The head then
// still knows when that hold ends.
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
	g.Expect(timers.IsOver(now+time.Second, "l", lock)).To(BeFalse())
	g.Expect(timers.IsOver(now+3*time.Second, "l", lock)).To(BeTrue())
}

// A hold of which a new head knows only the longest time is not shortened by a call that asks for less.
func TestShorterCallAfterANewViewShortensNoHold(t *testing.T) {
	g := NewWithT(t)
	const viewInstalledAt = time.Minute
	timers := NewHoldTimers(viewInstalledAt, 0)
	held, _, err := Empty().Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: 3000})
	g.Expect(err).NotTo(HaveOccurred())
	again, _, err := held.Execute(Command{Operation: BeginLock, Name: "l", Holder: "a", HoldMs: 500})
	g.Expect(err).NotTo(HaveOccurred())
	lock, _ := again.Lock("l")
	timers.Extend(viewInstalledAt+time.Second, "l", lock, 500*time.Millisecond)
	g.Expect(timers.IsOver(viewInstalledAt+2*time.Second, "l", lock)).To(BeFalse())
	g.Expect(timers.IsOver(viewInstalledAt+3*time.Second, "l", lock)).To(BeTrue())
}

// A holder dies with a renewal and a finish on their way, comes back and takes its lock again. The late calls then end nothing.
func TestLateRenewalAndFinishOfAnEarlierIncarnationKeepTheLock(t *testing.T) {
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
	present := execute(call(BeginLock, 0)).Token
	execute(call(RenewLock, earlier))
	execute(call(FinishLock, earlier))
	lock, held := state.Lock("l")
	g.Expect(held).To(BeTrue())
	g.Expect(lock.Token).To(Equal(present))
	execute(call(FinishLock, present))
	_, held = state.Lock("l")
	g.Expect(held).To(BeFalse())
}
