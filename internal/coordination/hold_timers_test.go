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
	var m *machine
	var timers *HoldTimers
	var lock Lock
	BeforeEach(func() {
		m, timers = newMachine(), NewHoldTimers(0, margin)
		m.do(begin("l", "a"))
		lock = m.lock("l")
	})
	expectEnd := func(end time.Duration) {
		GinkgoHelper()
		Expect(timers.IsOver(end-1, "l", lock)).To(BeFalse())
		Expect(timers.IsOver(end, "l", lock)).To(BeTrue())
	}

	It("count from the installation of the view for a hold that this head has not seen taken", func() {
		timers.Reset(time.Second)
		expectEnd(time.Second + hold + margin)
	})

	It("count from the call that took or renewed the hold, with a margin", func() {
		timers.Extend(time.Minute, "l", lock, hold)
		expectEnd(time.Minute + hold + margin)
	})

	It("never shorten a hold", func() {
		timers.Extend(time.Minute, "l", lock, time.Hour)
		timers.Extend(2*time.Minute, "l", lock, time.Second)
		expectEnd(time.Minute + time.Hour + margin)
	})

	It("count anew for the next hold of the lock, and ignore the timer of the earlier one", func() {
		timers.Extend(0, "l", lock, time.Hour)
		m.do(takeOver("l", "b", lock.Token))
		lock = m.lock("l")
		expectEnd(hold + margin)
		timers.Extend(time.Minute, "l", lock, hold)
		expectEnd(time.Minute + hold + margin)
	})

	It("go on for a holder that takes its lock again", func() {
		timers.Extend(0, "l", lock, time.Hour)
		m.do(begin("l", "a"))
		lock = m.lock("l")
		timers.Extend(time.Second, "l", lock, hold)
		expectEnd(time.Hour + margin)
	})

	It("are all forgotten when a view is installed: another head may have renewed any hold until then", func() {
		timers.Extend(0, "l", lock, time.Millisecond)
		timers.Reset(time.Minute)
		expectEnd(time.Minute + hold + margin)
	})

	It("name the holds that have been over for longer than the grace time", func() {
		m.do(begin("later", "b"))
		timers.Extend(time.Hour, "later", m.lock("later"), hold)
		end := hold + margin
		Expect(timers.Expired(end+grace, m.State, grace)).To(BeEmpty())
		Expect(timers.Expired(end+grace+1, m.State, grace)).To(Equal(map[string]uint64{"l": lock.Token}))
	})

	It("run to their end whatever a state says, and are forgotten a grace time after it", func() {
		timers.Extend(0, "l", lock, hold)
		m.do(finish("l", "a", lock.Token))
		timers.Expired(hold+margin+grace-1, m.State, grace)
		Expect(timers.timers).To(HaveLen(1))
		timers.Expired(hold+margin+grace, m.State, grace)
		Expect(timers.timers).To(BeEmpty())
	})
})
