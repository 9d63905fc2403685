package coordination

import (
	"bytes"
	"encoding/gob"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"dykering/internal/chain"
	"dykering/internal/errkind"
)

// encodeCommand and decodeCommand convert commands to and from operations in the log of the chain.
func encodeCommand(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(command)
	return buffer.Bytes(), err
}

func decodeCommand(data []byte) (command Command) {
	GinkgoHelper()
	Expect(gob.NewDecoder(bytes.NewReader(data)).Decode(&command)).To(Succeed())
	return command
}

var _ = Describe("a head", func() {
	const (
		margin   = 100 * time.Millisecond
		hold     = holdMs * time.Millisecond
		kept     = 40 * time.Second
		interval = 2 * time.Second
		grace    = time.Minute
	)
	var head *Head
	var m *stateMachine
	BeforeEach(func() {
		m = newStateMachine()
		head = NewHead(0, HeadConfig{
			HoldMargin:         margin,
			HistoryKept:        kept,
			CompactionInterval: interval,
			ExpiredHoldGrace:   grace,
			StateOf:            func(value any) *State { return value.(*State) },
			Encode:             encodeCommand,
		})
	})
	// decide has the head evaluate a command, and executes the operation that the head would append.
	decide := func(now time.Duration, command Command) (decision chain.Decision, respond func(error) (Result, error)) {
		var result Result
		var answer error
		write := head.Write(now, command, func(r Result, err error) { result, answer = r, err })
		Expect(write.IsApplied).To(BeNil())
		decision = write.Decide(m.State)
		if decision.Operation != nil {
			m.do(decodeCommand(decision.Operation))
		}
		return decision, func(err error) (Result, error) {
			write.Respond(err)
			return result, answer
		}
	}

	It("appends a command that changes the state, and answers with its result", func() {
		decision, respond := decide(0, begin("l", "a"))
		Expect(decision.Operation).NotTo(BeEmpty())
		result, err := respond(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Token).To(Equal(uint64(1)))
	})

	It("appends nothing for a command that changes nothing", func() {
		decide(0, begin("l", "a"))
		decide(0, put("g.a", "1"))
		for _, command := range []Command{renew("l", "a", 1), finish("l", "b", 1), put("g.a", "1")} {
			decision, _ := decide(time.Second, command)
			Expect(decision).To(Equal(chain.Decision{Unchanged: true}))
		}
	})

	It("rejects a conditional put with the current revision of the cell", func() {
		decide(0, put("g.a", "1"))
		decision, respond := decide(0, putIf("g.a", "2", 0))
		Expect(errkind.KindOf(decision.Rejection)).To(Equal(errkind.RevisionConflict))
		result, err := respond(decision.Rejection)
		Expect(errkind.KindOf(err)).To(Equal(errkind.RevisionConflict))
		Expect(result.Revision).To(Equal(uint64(1)))
	})

	It("lets another caller acquire a lock once the hold and the margin have passed, with the token of the expired hold", func() {
		decide(0, begin("l", "a"))
		decision, _ := decide(hold+margin-1, begin("l", "b"))
		Expect(errkind.KindOf(decision.Rejection)).To(Equal(errkind.LockHeld))
		decision, _ = decide(hold+margin, begin("l", "b"))
		Expect(decodeCommand(decision.Operation).ExpiredToken).To(Equal(uint64(1)))
		Expect(m.lock("l").Holder).To(Equal("b"))
	})

	It("ignores the expired token that a peer sends", func() {
		decide(0, begin("l", "a"))
		decision, _ := decide(time.Second, takeOver("l", "b", 1))
		Expect(errkind.KindOf(decision.Rejection)).To(Equal(errkind.LockHeld))
	})

	It("counts a hold from its last renewal, even if the renewal changes nothing", func() {
		decide(0, begin("l", "a"))
		decide(2*time.Second, renew("l", "a", 1))
		decision, _ := decide(2*time.Second+hold+margin-1, begin("l", "b"))
		Expect(decision.Rejection).To(HaveOccurred())
		decision, _ = decide(2*time.Second+hold+margin, begin("l", "b"))
		Expect(decision.Rejection).NotTo(HaveOccurred())
	})

	It("does not extend a hold after a rejected call", func() {
		decide(0, begin("l", "a"))
		decide(time.Second, begin("l", "b"))
		decide(time.Second, renew("l", "a", 7))
		decision, _ := decide(hold+margin, begin("l", "b"))
		Expect(decision.Rejection).NotTo(HaveOccurred())
	})

	It("counts all holds from the installation of a view", func() {
		decide(0, begin("l", "a"))
		head.ViewInstalled(time.Second)
		decision, _ := decide(time.Second+hold+margin-1, begin("l", "b"))
		Expect(decision.Rejection).To(HaveOccurred())
		decision, _ = decide(time.Second+hold+margin, begin("l", "b"))
		Expect(decision.Rejection).NotTo(HaveOccurred())
	})

	DescribeTable("reports whether a command that failed in the chain may have been executed",
		func(command Command, err error, kind errkind.Kind) {
			decide(0, begin("l", "a"))
			decide(0, put("g.a", "1"))
			_, respond := decide(0, command)
			_, answer := respond(err)
			Expect(errkind.KindOf(answer)).To(Equal(kind))
		},
		Entry("appended but not confirmed", next("n"), chain.ErrNotConfirmed, errkind.OutcomeUnknown),
		Entry("not appended, as the head is sealed", next("n"), chain.ErrNotWritable, errkind.NotReady),
		Entry("unchanged but not confirmed", put("g.a", "1"), chain.ErrNotConfirmed, errkind.OutcomeUnknown),
		Entry("rejected but not confirmed", putIf("g.a", "2", 0), chain.ErrNotConfirmed, errkind.NotReady),
		Entry("failed with another error", next("n"), errors.New("other"), errkind.OutcomeUnknown),
	)

	It("reports that a command was not executed if the chain failed before evaluating it", func() {
		var answer error
		head.Write(0, next("n"), func(_ Result, err error) { answer = err }).Respond(chain.ErrNotHead)
		Expect(errkind.KindOf(answer)).To(Equal(errkind.NotReady))
	})

	It("rejects a command that cannot be encoded", func() {
		head.config.Encode = func(Command) ([]byte, error) { return nil, errors.New("not encoded") }
		decision, _ := decide(0, next("n"))
		Expect(decision.Rejection).To(MatchError("not encoded"))
	})

	It("drops old history and expired holds at each compaction interval", func() {
		decide(0, begin("l", "a"))
		decide(0, put("g.a", "1"))
		_, ok := head.Compaction(0, m.State)
		Expect(ok).To(BeFalse())
		_, ok = head.Compaction(interval-1, m.State)
		Expect(ok).To(BeFalse())
		command, ok := head.Compaction(2*grace, m.State)
		Expect(ok).To(BeTrue())
		Expect(command).To(Equal(Command{
			Operation: Compact, Floors: map[string]uint64{"g.": 1}, ExpiredHolds: map[string]uint64{"l": 1},
		}))
		m.do(command)
		Expect(m.Counts()).To(Equal(Counts{Cells: 1, Groups: 1}))
		_, ok = head.Compaction(2*grace+interval-1, m.State)
		Expect(ok).To(BeFalse())
	})

	It("determines the age of the history from the start again after a pause", func() {
		decide(0, put("g.a", "1"))
		head.Compaction(0, m.State)
		head.Pause()
		_, ok := head.Compaction(2*kept, m.State)
		Expect(ok).To(BeFalse())
		_, ok = head.Compaction(4*kept, m.State)
		Expect(ok).To(BeTrue())
	})

	It("drops no hold that was renewed or acquired after the committed state", func() {
		decide(0, begin("l", "a"))
		decide(0, begin("m", "a"))
		committed := m.State
		decide(2*grace, renew("l", "a", 1))
		decide(2*grace, begin("m", "b"))
		if command, ok := head.Compaction(2*grace, committed); ok {
			m.do(command)
		}
		Expect(m.lock("l").Holder).To(Equal("a"))
		Expect(m.lock("m").Holder).To(Equal("b"))
	})
})

var _ = Describe("the set of recent calls", func() {
	It("recognizes a repeated call by its sender and identifier", func() {
		calls := NewRecentCalls()
		Expect(calls.IsRepeated("a", 1)).To(BeFalse())
		Expect(calls.IsRepeated("a", 2)).To(BeFalse())
		Expect(calls.IsRepeated("b", 1)).To(BeFalse())
		Expect(calls.IsRepeated("a", 1)).To(BeTrue())
		Expect(calls.IsRepeated("a", 1)).To(BeTrue())
	})

	It("keeps the latest maxRecentCalls calls", func() {
		calls := NewRecentCalls()
		const sent = 3 * maxRecentCalls
		for id := range uint64(sent) {
			Expect(calls.IsRepeated("a", id)).To(BeFalse())
		}
		Expect(calls.known).To(HaveLen(maxRecentCalls))
		Expect(calls.order).To(HaveLen(maxRecentCalls))
		Expect(calls.IsRepeated("a", sent-maxRecentCalls)).To(BeTrue())
		Expect(calls.IsRepeated("a", 0)).To(BeFalse(), "it was forgotten")
	})
})
