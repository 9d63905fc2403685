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
