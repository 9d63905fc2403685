package coordination

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

// The rows check the specified behaviour of locks, numbers and keys that the state and the head's hold timers implement. Tests in
// internal/controlplane check HTTP statuses, paths and response times.
var _ = DescribeTable("the coordination service conforms to its specification",
	func(check func(m *stateMachine)) { check(newStateMachine()) },

	Entry("begin answers 200 with fencing_token, or 409 if another caller has the lock", func(m *stateMachine) {
		Expect(m.do(begin("l", "a")).Token).NotTo(BeZero())
		m.reject(begin("l", "b"), errkind.LockHeld)
	}),
	Entry("the holder can acquire its lock again, for longer and with the same fencing token or a higher one", func(m *stateMachine) {
		first := m.do(begin("l", "a")).Token
		longer := withHold(begin("l", "a"), 2*holdMs)
		Expect(m.do(longer).Token).To(BeNumerically(">=", first))
		Expect(m.lock("l").HoldMs).To(Equal(int64(2 * holdMs)))
	}),
	Entry("heartbeat answers 200, or 409 if the lock is lost", func(m *stateMachine) {
		token := m.do(begin("l", "a")).Token
		m.do(renew("l", "a", token))
		m.do(takeOver("l", "b", token))
		m.reject(renew("l", "a", token), errkind.LockLost)
	}),
	Entry("finish answers 200 whether the lock is held or not", func(m *stateMachine) {
		m.do(finish("l", "a", 1))
		token := m.do(begin("l", "a")).Token
		m.do(finish("l", "a", token))
		m.do(finish("l", "a", token))
		m.do(begin("l", "b"))
		m.do(finish("l", "a", token))
		Expect(m.lock("l").Holder).To(Equal("b"))
	}),
	Entry("a holder keeps its lock until hold_ms after it sent its last successful call", func(m *stateMachine) {
		const sent, received = time.Minute, time.Minute + 20*time.Millisecond
		timers := NewHoldTimers(0, 0)
		token := m.do(begin("l", "a")).Token
		timers.Extend(0, "l", m.lock("l"), holdMs*time.Millisecond)
		m.do(renew("l", "a", token))
		timers.Extend(received, "l", m.lock("l"), holdMs*time.Millisecond)
		Expect(timers.IsExpired(sent+holdMs*time.Millisecond, "l", m.lock("l"))).To(BeFalse())
	}),
	Entry("a holder keeps its lock until it sends finish", func(m *stateMachine) {
		m.do(finish("l", "a", m.do(begin("l", "a")).Token))
		m.do(begin("l", "b"))
	}),
	Entry("the lock of a holder that has crashed becomes free after hold_ms", func(m *stateMachine) {
		timers := NewHoldTimers(0, 0)
		token := m.do(begin("l", "a")).Token
		timers.Extend(0, "l", m.lock("l"), holdMs*time.Millisecond)
		Expect(timers.IsExpired(holdMs*time.Millisecond, "l", m.lock("l"))).To(BeTrue())
		Expect(m.do(takeOver("l", "b", token)).Token).To(BeNumerically(">", token))
	}),
	Entry("a holder that pauses for longer than hold_ms loses its lock", func(m *stateMachine) {
		expired := m.do(begin("l", "a")).Token
		m.do(takeOver("l", "b", expired))
		m.reject(renew("l", "a", expired), errkind.LockLost)
		m.reject(begin("l", "a"), errkind.LockHeld)
		m.do(finish("l", "a", expired))
		Expect(m.lock("l").Holder).To(Equal("b"))
	}),
	Entry("a holder that has crashed and restarted uses the same name", func(m *stateMachine) {
		earlier := m.do(begin("l", "a")).Token
		current := m.do(begin("l", "a")).Token
		m.do(renew("l", "a", earlier))
		m.do(finish("l", "a", earlier))
		Expect(m.lock("l").Token).To(Equal(current))
	}),
	Entry("a put whose outcome is unknown is sent again with the same value", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		Expect(m.do(putIf("g.a", "2", 1)).Revision).To(Equal(uint64(2)))
		Expect(m.do(putIf("g.a", "2", 1)).Revision).To(Equal(uint64(2)))
		Expect(m.ReadGroup("g.").Revision).To(Equal(uint64(2)))
	}),
	Entry("a 404 counts as a read at revision 0", func(m *stateMachine) {
		Expect(m.ReadCell("g.a")).To(Equal(Result{}))
		m.do(putIf("g.a", "1", 0))
	}),
	Entry("a number answers with value, which is above every value issued under that name", func(m *stateMachine) {
		first := m.do(next("n")).Number
		m.do(next("o"))
		Expect(m.do(next("n")).Number).To(BeNumerically(">", first))
	}),
	Entry("if_revision is the revision that the key must have", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		m.reject(putIf("g.a", "3", 2), errkind.RevisionConflict)
		m.do(putIf("g.a", "3", 1))
	}),
	Entry("if_revision is 0 if the key must not exist yet", func(m *stateMachine) {
		m.do(putIf("g.a", "1", 0))
		m.reject(putIf("g.a", "2", 0), errkind.RevisionConflict)
	}),
	Entry("a put answers revision, or 412 with the key's revision", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		Expect(m.reject(putIf("g.a", "3", 0), errkind.RevisionConflict)).To(Equal(Result{Revision: 1}))
	}),
	Entry("keys that are equal up to the first dot share one increasing revision counter that starts at 1", func(m *stateMachine) {
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(put("g.b.c", "2")).Revision).To(Equal(uint64(2)))
		Expect(m.do(put("g2.a", "3")).Revision).To(Equal(uint64(1)))
	}),
	Entry("a repeated put gets its first revision", func(m *stateMachine) {
		first := m.do(put("g.a", "1")).Revision
		m.do(put("g.a", "2"))
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(first))
		Expect(m.ReadCell("g.a").Value).To(Equal("2"))
	}),
	Entry("a read answers value and revision, or 404", func(m *stateMachine) {
		Expect(m.ReadCell("g.a").Found).To(BeFalse())
		m.do(put("g.a", "1"))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Value: "1", Revision: 1, Found: true}))
	}),
	Entry("a watch answers with every put in the group above after and up to the answer's revision", func(m *stateMachine) {
		for _, command := range []Command{put("g.a", "1"), put("g.b", "2"), put("h.a", "3"), put("g.a", "4")} {
			m.do(command)
		}
		events, revision, ok := m.EventsAfter("g.", 1, 10)
		Expect(ok).To(BeTrue())
		Expect(events).To(Equal([]Event{{"g.b", "2", 2}, {"g.a", "4", 3}}))
		Expect(revision).To(Equal(uint64(3)))
	}),
	Entry("a watch answers 410 if after is older than history_s", func(m *stateMachine) {
		const history = 20 * time.Second
		retention := NewRetention(history)
		m.do(put("g.a", "1"))
		retention.Sample(0, m.State)
		m.do(put("g.a", "2"))
		m.do(Command{Operation: Compact, Floors: retention.Sample(history, m.State)})
		_, _, ok := m.EventsAfter("g.", 0, 10)
		Expect(ok).To(BeTrue(), "the puts are not older than history_s")
		m.do(Command{Operation: Compact, Floors: retention.Sample(history+1, m.State)})
		_, _, ok = m.EventsAfter("g.", 0, 10)
		Expect(ok).To(BeFalse())
		_, _, ok = m.EventsAfter("g.", 1, 10)
		Expect(ok).To(BeTrue())
	}),
	Entry("a watch with after 0 answers with the current revision only", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		Expect(m.ReadGroup("g.").Revision).To(Equal(uint64(1)))
		Expect(m.ReadGroup("x.").Revision).To(BeZero())
	}),
	Entry("a call that is answered with 412 or 429 has no effect", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		before := m.State
		m.reject(putIf("g.a", "2", 0), errkind.RevisionConflict)
		Expect(m.State).To(BeIdenticalTo(before))
	}),
	Entry("ONE: no two holders get the same fencing token, and each token is above the earlier ones", func(m *stateMachine) {
		first := m.do(begin("l1", "a")).Token
		second := m.do(begin("l2", "b")).Token
		third := m.do(takeOver("l1", "b", first)).Token
		Expect([]uint64{first, second, third}).To(Equal([]uint64{1, 2, 3}))
	}),
	Entry("ORDER: no put with if_revision succeeds over a later revision", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		m.do(put("g.a", "2"))
		m.reject(putIf("g.a", "3", 1), errkind.RevisionConflict)
	}),
	Entry("REFUSED: the value of a rejected put is never returned", func(m *stateMachine) {
		m.do(put("g.a", "1"))
		m.reject(putIf("g.a", "2", 0), errkind.RevisionConflict)
		Expect(m.ReadCell("g.a").Value).To(Equal("1"))
		events, _, _ := m.EventsAfter("g.", 0, 10)
		Expect(events).To(HaveLen(1))
	}),
)
