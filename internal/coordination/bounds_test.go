package coordination

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

func withHold(command Command, holdMs int64) Command {
	command.HoldMs = holdMs
	return command
}

var _ = Describe("a command", func() {
	long := strings.Repeat("x", MaxNameBytes)

	DescribeTable("is valid at its bounds",
		func(command Command) { Expect(command.Validate()).To(Succeed()) },
		Entry("the longest name of a lock", begin(long, "a")),
		Entry("the longest name of a holder", begin("l", long)),
		Entry("the shortest hold", withHold(begin("l", "a"), 1)),
		Entry("the longest hold", withHold(renew("l", "a", 1), MaxHoldMs)),
		Entry("a finish without a duration", finish("l", "a", 1)),
		Entry("a number", next("n")),
		Entry("an empty value", put("g.a", "")),
		Entry("the longest value", put("g.a", strings.Repeat("x", MaxValueBytes))),
		Entry("non-ASCII letters", put("åäö.ö", "å")),
	)

	DescribeTable("is rejected beyond its bounds",
		func(command Command, kind errkind.Kind) {
			err := command.Validate()
			Expect(err).To(HaveOccurred())
			Expect(errkind.KindOf(err)).To(Equal(kind))
		},
		Entry("no name", next(""), errkind.Malformed),
		Entry("a name that is too long", next(long+"x"), errkind.Malformed),
		Entry("a name with a zero byte, which separates the name from the value in the history", put("g.a\x00b", "c"), errkind.Malformed),
		Entry("a name that is not valid UTF-8, which no answer can contain", put("g.\xff", "c"), errkind.Malformed),
		Entry("no holder of a begin", begin("l", ""), errkind.Malformed),
		Entry("no holder of a finish", finish("l", "", 1), errkind.Malformed),
		Entry("a holder that is too long", begin("l", long+"x"), errkind.Malformed),
		Entry("no duration", withHold(begin("l", "a"), 0), errkind.Malformed),
		Entry("a negative duration", withHold(renew("l", "a", 1), -1), errkind.Malformed),
		Entry("a duration that is too long", withHold(begin("l", "a"), MaxHoldMs+1), errkind.Malformed),
		Entry("a value that is too long", put("g.a", strings.Repeat("x", MaxValueBytes+1)), errkind.TooLarge),
	)

	It("with an unknown operation is rejected", func() {
		newStateMachine().reject(Command{Operation: "other", Name: "l"}, errkind.Malformed)
	})
})

var _ = Describe("a full state", func() {
	const oldest = "g.0"
	value := strings.Repeat("x", MaxValueBytes-8)
	var m *stateMachine

	BeforeEach(func() {
		m = newStateMachine()
		m.do(begin("held", "a"))
		m.do(next("known"))
		for i := 0; ; i++ {
			if _, err := m.try(put(fmt.Sprintf("g.%d", i), fmt.Sprintf("%08d", i)+value)); err != nil {
				Expect(errkind.KindOf(err)).To(Equal(errkind.RateLimited))
				break
			}
		}
		for i := 0; ; i++ {
			if _, err := m.try(next(fmt.Sprintf("n%d", i))); err != nil {
				break
			}
		}
	})

	It("rejects commands that need space", func() {
		Expect(m.Bytes()).To(BeNumerically("<=", maxStateBytes))
		m.reject(begin("new", "a"), errkind.RateLimited)
		m.reject(next("new"), errkind.RateLimited)
		m.reject(put("new", ""), errkind.RateLimited)
		m.reject(put(oldest, value), errkind.RateLimited)
	})

	It("accepts commands on held locks, known numbers and repeated puts", func() {
		token := m.do(begin("held", "a")).Token
		m.do(renew("held", "a", token))
		Expect(m.do(next("known")).Number).To(Equal(uint64(2)))
		Expect(m.do(put(oldest, "00000000"+value)).Revision).To(Equal(uint64(1)))
		m.do(finish("held", "a", token))
	})

	It("has space again once history is dropped or locks are released", func() {
		m.do(finish("held", "a", m.lock("held").Token))
		m.do(begin("new", "b"))
		m.do(dropHistory("g.", 1))
		m.do(put(oldest, "1"))
	})
})
