package coordination

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = Describe("a lock", func() {
	var m *stateMachine
	BeforeEach(func() { m = newStateMachine() })

	It("is held by one holder until it is released", func() {
		token := m.do(begin("l", "a")).Token
		m.reject(begin("l", "b"), errkind.LockHeld)
		m.do(renew("l", "a", token))
		m.do(finish("l", "a", token))
		m.reject(renew("l", "a", token), errkind.LockLost)
		Expect(m.do(begin("l", "b")).Token).To(BeNumerically(">", token))
	})

	It("is taken over only if the command has the token of the current hold as expired", func() {
		first := m.do(begin("l", "a")).Token
		second := m.do(begin("l", "a")).Token
		m.reject(takeOver("l", "b", first), errkind.LockHeld)
		m.reject(takeOver("l", "b", second+1), errkind.LockHeld)
		third := m.do(takeOver("l", "b", second)).Token
		Expect(third).To(BeNumerically(">", second))
		m.reject(renew("l", "a", second), errkind.LockLost)
		m.do(finish("l", "a", second))
		Expect(m.lock("l").Holder).To(Equal("b"))
	})

	It("is renewed only by its holder, and only under a token that the holder was given", func() {
		token := m.do(begin("l", "a")).Token
		m.reject(renew("l", "b", token), errkind.LockLost)
		m.reject(renew("l", "a", token+1), errkind.LockLost)
		m.reject(renew("l", "a", token-1), errkind.LockLost)
		m.reject(renew("absent", "a", token), errkind.LockLost)
	})

	It("can be renewed under the earlier token if the answer to a further begin was lost", func() {
		token := m.do(begin("l", "a")).Token
		m.do(begin("l", "a"))
		m.do(renew("l", "a", token))
	})

	It("is not released by a delayed finish of an earlier incarnation of the holder", func() {
		earlier := m.do(begin("l", "a")).Token
		m.do(begin("l", "a"))
		m.do(finish("l", "a", earlier))
		m.reject(begin("l", "b"), errkind.LockHeld)
	})

	// Guards against a renewal that makes its own token the latest one. A delayed renewal of an earlier incarnation then let
	// the delayed finish of that incarnation release the lock.
	It("is not released by a delayed renewal and a delayed finish of an earlier incarnation of the holder", func() {
		earlier := m.do(begin("l", "a")).Token
		current := m.do(begin("l", "a")).Token
		m.do(renew("l", "a", earlier))
		m.do(finish("l", "a", earlier))
		m.reject(begin("l", "b"), errkind.LockHeld)
		m.do(finish("l", "a", current))
		m.do(begin("l", "b"))
	})

	It("rejects a delayed renewal of a hold that expired before the same holder acquired the lock again", func() {
		earlier := m.do(begin("l", "a")).Token
		m.do(takeOver("l", "a", earlier))
		m.reject(renew("l", "a", earlier), errkind.LockLost)
	})

	It("keeps the longest duration that was requested since it was acquired", func() {
		command := begin("l", "a")
		command.HoldMs = 100
		token := m.do(command).Token
		longer := renew("l", "a", token)
		longer.HoldMs = 5000
		m.do(longer)
		m.do(command)
		Expect(m.lock("l").HoldMs).To(Equal(int64(5000)))
		m.do(takeOver("l", "a", m.lock("l").Token))
		Expect(m.lock("l").HoldMs).To(Equal(int64(holdMs)))
	})

	It("gets tokens that increase over all locks, including released ones", func() {
		var tokens []uint64
		for _, name := range []string{"x", "y", "x", "z", "x"} {
			token := m.do(begin(name, "a")).Token
			m.do(finish(name, "a", token))
			tokens = append(tokens, token)
		}
		Expect(tokens).To(Equal([]uint64{1, 2, 3, 4, 5}))
		Expect(m.Counts().Locks).To(BeZero())
	})

	It("whose hold has expired is dropped by a compaction only under its latest token", func() {
		first := m.do(begin("l", "a")).Token
		second := m.do(begin("l", "a")).Token
		m.do(Command{Operation: Compact, ExpiredHolds: map[string]uint64{"l": first, "absent": 7}})
		Expect(m.lock("l").Token).To(Equal(second))
		m.do(Command{Operation: Compact, ExpiredHolds: map[string]uint64{"l": second}})
		Expect(m.Counts().Locks).To(BeZero())
	})
})
