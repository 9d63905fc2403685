package coordination

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = Describe("a lock", func() {
	var m *machine
	BeforeEach(func() { m = newMachine() })

	It("is held by one holder until it is given back", func() {
		token := m.do(begin("l", "a")).Token
		m.reject(begin("l", "b"), errkind.LockHeld)
		m.do(renew("l", "a", token))
		m.do(finish("l", "a", token))
		m.reject(renew("l", "a", token), errkind.LockLost)
		Expect(m.do(begin("l", "b")).Token).To(BeNumerically(">", token))
	})

	It("is taken over only where the command names the present hold as over", func() {
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

	It("is renewed by its holder alone, under a token that it was given", func() {
		token := m.do(begin("l", "a")).Token
		m.reject(renew("l", "b", token), errkind.LockLost)
		m.reject(renew("l", "a", token+1), errkind.LockLost)
		m.reject(renew("l", "a", token-1), errkind.LockLost)
		m.reject(renew("absent", "a", token), errkind.LockLost)
	})

	It("stays renewable under the earlier token when the answer to a further begin was lost", func() {
		token := m.do(begin("l", "a")).Token
		m.do(begin("l", "a"))
		m.do(renew("l", "a", token))
	})

	It("is not given back by a late finish of a dead life with the same name", func() {
		dead := m.do(begin("l", "a")).Token
		m.do(begin("l", "a"))
		m.do(finish("l", "a", dead))
		m.reject(begin("l", "b"), errkind.LockHeld)
	})

	// A late renewal of the dead life made its token the active one, so that its late finish gave the lock back.
	It("is not given back by a late renewal and a late finish of a dead life with the same name", func() {
		dead := m.do(begin("l", "a")).Token
		living := m.do(begin("l", "a")).Token
		m.do(renew("l", "a", dead))
		m.do(finish("l", "a", dead))
		m.reject(begin("l", "b"), errkind.LockHeld)
		m.do(finish("l", "a", living))
		m.do(begin("l", "b"))
	})

	It("rejects a late renewal of a life whose hold was over before the same name took the lock again", func() {
		dead := m.do(begin("l", "a")).Token
		m.do(takeOver("l", "a", dead))
		m.reject(renew("l", "a", dead), errkind.LockLost)
	})

	It("keeps the longest time that was asked for since it was taken", func() {
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

	It("gets tokens that rise over all locks, also over locks that were given back", func() {
		var tokens []uint64
		for _, name := range []string{"x", "y", "x", "z", "x"} {
			token := m.do(begin(name, "a")).Token
			m.do(finish(name, "a", token))
			tokens = append(tokens, token)
		}
		Expect(tokens).To(Equal([]uint64{1, 2, 3, 4, 5}))
		Expect(m.Counts().Locks).To(BeZero())
	})

	It("that is over is dropped by a compaction under its present token alone", func() {
		first := m.do(begin("l", "a")).Token
		second := m.do(begin("l", "a")).Token
		m.do(Command{Operation: Compact, ExpiredHolds: map[string]uint64{"l": first, "absent": 7}})
		Expect(m.lock("l").Token).To(Equal(second))
		m.do(Command{Operation: Compact, ExpiredHolds: map[string]uint64{"l": second}})
		Expect(m.Counts().Locks).To(BeZero())
	})
})
