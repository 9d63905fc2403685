package coordination

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the timers of holds", func() {
	const (
		margin = 100 * time.Millisecond
		hold   = holdMs * time.Millisecond
		grace  = time.Minute
	)
	var m *stateMachine
	var timers *HoldTimers
	var lock Lock
	BeforeEach(func() {
		m, timers = newStateMachine(), NewHoldTimers(0, margin)
		m.do(begin("l", "a"))
		lock = m.lock("l")
	})
	expectEnd := func(end time.Duration) {
		GinkgoHelper()
		Expect(timers.IsExpired(end-1, "l", lock)).To(BeFalse())
		Expect(timers.IsExpired(end, "l", lock)).To(BeTrue())
	}

	It("count from the installation of the view for a hold whose begin this head has not handled", func() {
		timers.Reset(time.Second)
		expectEnd(time.Second + hold + margin)
	})

	It("count from the call that acquired or renewed the lock, and add the margin", func() {
		timers.Extend(time.Minute, "l", lock, hold)
		expectEnd(time.Minute + hold + margin)
	})

	It("never shorten a hold", func() {
		timers.Extend(time.Minute, "l", lock, time.Hour)
		timers.Extend(2*time.Minute, "l", lock, time.Second)
		expectEnd(time.Minute + time.Hour + margin)
	})

	It("start again for the next hold of the lock, and ignore the timer of the earlier hold", func() {
		timers.Extend(0, "l", lock, time.Hour)
		m.do(takeOver("l", "b", lock.Token))
		lock = m.lock("l")
		expectEnd(hold + margin)
		timers.Extend(time.Minute, "l", lock, hold)
		expectEnd(time.Minute + hold + margin)
	})

	It("keep the end of the hold if the holder acquires its lock again", func() {
		timers.Extend(0, "l", lock, time.Hour)
		m.do(begin("l", "a"))
		lock = m.lock("l")
		timers.Extend(time.Second, "l", lock, hold)
		expectEnd(time.Hour + margin)
	})

	It("are all dropped when a view is installed, as another head may have renewed any hold until then", func() {
		timers.Extend(0, "l", lock, time.Millisecond)
		timers.Reset(time.Minute)
		expectEnd(time.Minute + hold + margin)
	})

	It("return the holds that ended more than the grace period ago", func() {
		m.do(begin("later", "b"))
		timers.Extend(time.Hour, "later", m.lock("later"), hold)
		end := hold + margin
		Expect(timers.Expired(end+grace, m.State, grace)).To(BeEmpty())
		Expect(timers.Expired(end+grace+1, m.State, grace)).To(Equal(map[string]uint64{"l": lock.Token}))
	})

	It("are kept until the grace period after their end, even if the state no longer has the hold", func() {
		timers.Extend(0, "l", lock, hold)
		m.do(finish("l", "a", lock.Token))
		timers.Expired(hold+margin+grace-1, m.State, grace)
		Expect(timers.timers).To(HaveLen(1))
		timers.Expired(hold+margin+grace, m.State, grace)
		Expect(timers.timers).To(BeEmpty())
	})
})
