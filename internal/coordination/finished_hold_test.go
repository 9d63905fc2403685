package coordination

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
)

var _ = Describe("the timer of a hold at the head", func() {
	var head *Head
	var latest *State
	BeforeEach(func() {
		latest = Empty()
		head = NewHead(0, HeadConfig{
			StateOf: func(value any) *State { return value.(*State) },
			Encode:  func(command Command) ([]byte, error) { return []byte(command.Operation), nil },
		})
	})
	// decide has the head decide on a command that is then executed, and returns the function that ends the call.
	decide := func(command Command) (respond func(error)) {
		GinkgoHelper()
		write := head.Write(0, command, func(Result, error) {})
		Expect(write.Decide(latest).Rejection).NotTo(HaveOccurred())
		latest, _, _ = latest.Execute(command)
		return write.Respond
	}
	day := func(name string) Command { return withHold(begin(name, "a"), MaxHoldMs) }
	giveBack := func(name string) Command {
		lock, _ := latest.Lock(name)
		return finish(name, "a", lock.Token)
	}

	It("is forgotten once its finish is committed, however long the hold was", func() {
		for _, name := range []string{"l1", "l2", "l3"} {
			decide(day(name))(nil)
			decide(giveBack(name))(nil)
		}
		Expect(head.holds.timers).To(BeEmpty())
	})

	It("is kept while the finish is not known to be committed", func() {
		decide(day("l"))(nil)
		held, _ := latest.Lock("l")
		respond := decide(giveBack("l"))
		Expect(head.holds.IsOver(time.Hour, "l", held)).To(BeFalse())
		respond(chain.ErrNotWritable)
		Expect(head.holds.timers).To(HaveLen(1))
	})

	It("is kept when a finish under an earlier token is acknowledged, which gives nothing back", func() {
		decide(day("l"))(nil)
		late := giveBack("l")
		decide(day("l"))(nil)
		decide(late)(nil)
		held, ok := latest.Lock("l")
		Expect(ok).To(BeTrue())
		Expect(head.holds.IsOver(time.Hour, "l", held)).To(BeFalse())
		Expect(head.holds.timers).To(HaveLen(1))
	})

	It("is not that of the next hold, which was taken before the finish was committed", func() {
		decide(day("l"))(nil)
		finished := decide(giveBack("l"))
		decide(day("l"))(nil)
		finished(nil)
		next, _ := latest.Lock("l")
		Expect(head.holds.timers["l"].firstToken).To(Equal(next.FirstToken))
	})
})
