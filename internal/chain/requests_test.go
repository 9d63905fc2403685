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
	var requests *Requests
	var answers chan error

	BeforeEach(func() {
		nodes := chainOf("a", "b", "c")
		head, tail = nodes[0], nodes[2]
		requests, answers = NewRequests(head, within), make(chan error, 4)
		confirm(head, 0)
	})
	write := func(now time.Duration, decision Decision) Output {
		return requests.Write(now, Write{
			Decide: func(any) Decision { return decision },
			Taken:  func(value any) bool { return value.(int) > 0 },
			Answer: func(err error) { answers <- err },
		})
	}

	It("to write is acknowledged once it is committed", func() {
		write(0, Decision{Operation: []byte("x")})
		requests.Settle(0)
		Expect(answers).NotTo(Receive())
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.Settle(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("that was taken before is not taken again", func() {
		head.Propose([]byte("x"))
		write(0, Decision{Taken: true})
		Expect(head.Latest().Seq).To(Equal(uint64(1)))
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.Settle(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is refused once a majority has confirmed the view after it came", func() {
		write(time.Millisecond, Decision{Refusal: errRefused})
		requests.Settle(time.Millisecond)
		Expect(answers).NotTo(Receive(), "what confirmed the view was asked before")
		confirm(head, 2*time.Millisecond)
		requests.Settle(2 * time.Millisecond)
		Expect(answers).To(Receive(MatchError(errRefused)))
	})

	It("is not refused for what is not committed", func() {
		head.Propose([]byte("x"))
		write(0, Decision{Refusal: errRefused})
		confirm(head, time.Millisecond)
		requests.Settle(time.Millisecond)
		Expect(answers).NotTo(Receive())
		requests.Settle(within + time.Millisecond)
		Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
	})

	It("is not taken by a head that nobody has confirmed lately", func() {
		write(time.Minute, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrNotHead)))
		Expect(head.Latest().Seq).To(BeZero())
	})

	It("to read is answered at the tail alone, after a majority's word", func() {
		shown := make(chan State, 1)
		read := Read{Answer: func(state State, err error) {
			shown <- state
			answers <- err
		}}
		requests.Read(0, read)
		Expect(answers).To(Receive(MatchError(ErrNotTail)))
		<-shown
		atTail := NewRequests(tail, within)
		atTail.Read(time.Millisecond, read)
		atTail.Settle(time.Millisecond)
		Expect(answers).NotTo(Receive())
		confirm(tail, 2*time.Millisecond)
		atTail.Settle(2 * time.Millisecond)
		Expect(answers).To(Receive(BeNil()))
		Expect(shown).To(Receive(HaveField("Value", 0)))
	})

	It("is one of a bounded number", func() {
		for range mostRequests {
			write(0, Decision{Operation: []byte("x")})
		}
		write(0, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrTooMany)))
	})
})

// confirm has all other members answer a ping that is sent now.
func confirm(node *Node, now time.Duration) {
	for _, envelope := range node.PingNow(now).Urgent {
		ping := envelope.Message.(Ping)
		node.Receive(now, Pong{From: Member{ID: MemberID(envelope.To), Address: envelope.To}, Nonce: ping.Nonce, Status: Status{View: 1, Healthy: true}})
	}
}
