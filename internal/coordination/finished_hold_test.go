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
	// decide has the head evaluate a command and executes it. It returns the function that reports the outcome to the head.
	decide := func(command Command) (respond func(error)) {
		GinkgoHelper()
		write := head.Write(0, command, func(Result, error) {})
		Expect(write.Decide(latest).Rejection).NotTo(HaveOccurred())
		latest, _, _ = latest.Execute(command)
		return write.Respond
	}
	beginForOneDay := func(name string) Command { return withHold(begin(name, "a"), MaxHoldMs) }
	finishCurrent := func(name string) Command {
		lock, _ := latest.Lock(name)
		return finish(name, "a", lock.Token)
	}

	It("is dropped once the finish is committed, however long the hold was", func() {
		for _, name := range []string{"l1", "l2", "l3"} {
			decide(beginForOneDay(name))(nil)
			decide(finishCurrent(name))(nil)
		}
		Expect(head.holds.timers).To(BeEmpty())
	})

	It("is kept while the finish is not known to be committed", func() {
		decide(beginForOneDay("l"))(nil)
		held, _ := latest.Lock("l")
		respond := decide(finishCurrent("l"))
		Expect(head.holds.IsExpired(time.Hour, "l", held)).To(BeFalse())
		respond(chain.ErrNotWritable)
		Expect(head.holds.timers).To(HaveLen(1))
	})

	It("is kept when a finish under an earlier token is acknowledged, as that does not release the lock", func() {
		decide(beginForOneDay("l"))(nil)
		delayed := finishCurrent("l")
		decide(beginForOneDay("l"))(nil)
		decide(delayed)(nil)
		held, ok := latest.Lock("l")
		Expect(ok).To(BeTrue())
		Expect(head.holds.IsExpired(time.Hour, "l", held)).To(BeFalse())
		Expect(head.holds.timers).To(HaveLen(1))
	})

	It("is kept for the next hold if the lock was acquired again before the finish was committed", func() {
		decide(beginForOneDay("l"))(nil)
		respondToFinish := decide(finishCurrent("l"))
		decide(beginForOneDay("l"))(nil)
		respondToFinish(nil)
		next, _ := latest.Lock("l")
		Expect(head.holds.timers["l"].firstToken).To(Equal(next.FirstToken))
	})
})
