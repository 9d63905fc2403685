package chain

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var errRefused = errors.New("refused")

var _ = Describe("a request", func() {
	const within = 900 * time.Millisecond
	var head, tail *Node
	var requests *PendingRequests
	var answers chan error

	BeforeEach(func() {
		nodes := chainOf("a", "b", "c")
		head, tail = nodes[0], nodes[2]
		requests, answers = NewPendingRequests(head, within), make(chan error, 4)
		confirm(head, 0)
	})
	write := func(now time.Duration, decision Decision) Output {
		return requests.Write(now, Write{
			Decide:    func(any) Decision { return decision },
			IsApplied: func(value any) bool { return value.(int) > 0 },
			Respond:   func(err error) { answers <- err },
		})
	}

	It("to write is acknowledged once it is committed", func() {
		write(0, Decision{Operation: []byte("x")})
		requests.AnswerReady(0)
		Expect(answers).NotTo(Receive())
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.AnswerReady(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("that was taken before is not taken again", func() {
		head.Propose([]byte("x"))
		write(0, Decision{AlreadyApplied: true})
		Expect(head.LatestState().Seq).To(Equal(uint64(1)))
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.AnswerReady(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is refused once a majority has confirmed the view after it came", func() {
		write(time.Millisecond, Decision{Rejection: errRefused})
		requests.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive(), "what confirmed the view was asked before")
		confirm(head, 2*time.Millisecond)
		requests.AnswerReady(2 * time.Millisecond)
		Expect(answers).To(Receive(MatchError(errRefused)))
	})

	It("is not refused for what is not committed", func() {
		head.Propose([]byte("x"))
		write(0, Decision{Rejection: errRefused})
		confirm(head, time.Millisecond)
		requests.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive())
		requests.AnswerReady(within + time.Millisecond)
		Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
	})

	It("is not taken by a head that nobody has confirmed lately", func() {
		write(time.Minute, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrNotHead)))
		Expect(head.LatestState().Seq).To(BeZero())
	})

	It("to read is answered at the tail alone, after a majority's word", func() {
		shown := make(chan State, 1)
		read := Read{Respond: func(state State, err error) {
			shown <- state
			answers <- err
		}}
		requests.Read(0, read)
		Expect(answers).To(Receive(MatchError(ErrNotTail)))
		<-shown
		atTail := NewPendingRequests(tail, within)
		atTail.Read(time.Millisecond, read)
		atTail.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive())
		confirm(tail, 2*time.Millisecond)
		atTail.AnswerReady(2 * time.Millisecond)
		Expect(answers).To(Receive(BeNil()))
		Expect(shown).To(Receive(HaveField("Value", 0)))
	})

	It("is one of a bounded number", func() {
		for range maxPendingRequests {
			write(0, Decision{Operation: []byte("x")})
		}
		write(0, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrTooManyPending)))
	})
})

// confirm has all other members answer a ping that is sent now.
func confirm(node *Node, now time.Duration) {
	for _, envelope := range node.PingVoters(now).ImmediateMessages {
		ping := envelope.Message.(Ping)
		node.Receive(now, Pong{From: Member{ID: MemberID(envelope.To), Address: envelope.To}, Nonce: ping.Nonce, Status: Status{View: 1, Healthy: true}})
	}
}
