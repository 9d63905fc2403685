package chain

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var errRejected = errors.New("rejected")

var _ = Describe("a request", func() {
	const timeout = 900 * time.Millisecond
	var head, tail *Node
	var requests *PendingRequests
	var answers chan error

	BeforeEach(func() {
		nodes := chainOf("a", "b", "c")
		head, tail = nodes[0], nodes[2]
		requests, answers = NewPendingRequests(head, timeout), make(chan error, 4)
		confirm(head, 0)
	})
	write := func(now time.Duration, decision Decision) Output {
		return requests.Write(now, Write{
			Decide:    func(any) Decision { return decision },
			IsApplied: func(value any) bool { return value.(int) > 0 },
			Respond:   func(err error) { answers <- err },
		})
	}

	It("to write is acknowledged once the write is committed", func() {
		write(0, Decision{Operation: []byte("x")})
		requests.AnswerReady(0)
		Expect(answers).NotTo(Receive())
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.AnswerReady(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("that is already applied is acknowledged without being appended again", func() {
		head.Propose([]byte("x"))
		write(0, Decision{AlreadyApplied: true})
		Expect(head.LatestState().Seq).To(Equal(uint64(1)))
		head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
		requests.AnswerReady(0)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is rejected once a majority has confirmed the view since it was received", func() {
		write(time.Millisecond, Decision{Rejection: errRejected})
		requests.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive(), "the pings that confirmed the view were sent before the request")
		confirm(head, 2*time.Millisecond)
		requests.AnswerReady(2 * time.Millisecond)
		Expect(answers).To(Receive(MatchError(errRejected)))
	})

	It("is not rejected because of an uncommitted entry", func() {
		head.Propose([]byte("x"))
		write(0, Decision{Rejection: errRejected})
		confirm(head, time.Millisecond)
		requests.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive())
		requests.AnswerReady(timeout + time.Millisecond)
		Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
	})

	It("is not accepted by a head whose view was not confirmed recently by a majority", func() {
		write(time.Minute, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrNotHead)))
		Expect(head.LatestState().Seq).To(BeZero())
	})

	It("to read is answered only at the tail, after a majority has confirmed the view", func() {
		states := make(chan State, 1)
		read := Read{Respond: func(state State, err error) {
			states <- state
			answers <- err
		}}
		requests.Read(0, read)
		Expect(answers).To(Receive(MatchError(ErrNotTail)))
		<-states
		atTail := NewPendingRequests(tail, timeout)
		atTail.Read(time.Millisecond, read)
		atTail.AnswerReady(time.Millisecond)
		Expect(answers).NotTo(Receive())
		confirm(tail, 2*time.Millisecond)
		atTail.AnswerReady(2 * time.Millisecond)
		Expect(answers).To(Receive(BeNil()))
		Expect(states).To(Receive(HaveField("Value", 0)))
	})

	Context("to write without IsApplied, which counts as applied once its entry is committed", func() {
		writeEntry := func(now time.Duration) {
			GinkgoHelper()
			requests.Write(now, Write{
				Decide:  func(any) Decision { return Decision{Operation: []byte("x")} },
				Respond: func(err error) { answers <- err },
			})
			Expect(answers).NotTo(Receive())
		}
		// install installs a view at the head. The view starts from a state with the given sequence number.
		install := func(number, baseSeq uint64) {
			view := head.View()
			view.Number = number
			base := State{Seq: baseSeq, Value: int(baseSeq)}
			head.Receive(0, Install{Proposal: Proposal{View: view, Base: base}})
		}

		It("is acknowledged once its own entry is committed, not an earlier one", func() {
			head.Propose([]byte("earlier"))
			writeEntry(0)
			head.Receive(0, Committed{From: "c", View: 1, Seq: 1})
			requests.AnswerReady(0)
			Expect(answers).NotTo(Receive())
			head.Receive(0, Committed{From: "c", View: 1, Seq: 2})
			requests.AnswerReady(0)
			Expect(answers).To(Receive(BeNil()))
		})

		for _, next := range []struct {
			name          string
			view, baseSeq uint64
			expected      any
		}{
			{"it contains the entry", 2, 2, BeNil()},
			{"it contains the entry and later ones", 2, 5, BeNil()},
			{"it does not contain the entry", 2, 1, MatchError(ErrNotConfirmed)},
			{"a view in between was missed", 3, 2, MatchError(ErrNotConfirmed)},
			{"a view in between was missed and the state is later", 3, 5, MatchError(ErrNotConfirmed)},
		} {
			It("is answered according to the state that a new view starts from: "+next.name, func() {
				head.Propose([]byte("earlier"))
				writeEntry(0)
				install(next.view, next.baseSeq)
				requests.AnswerReady(0)
				Expect(answers).To(Receive(next.expected))
			})
		}

		It("is not acknowledged by another entry of the next view with the same sequence number", func() {
			writeEntry(0)
			install(2, 0)
			head.Propose([]byte("other"))
			head.Receive(0, Committed{From: "c", View: 2, Seq: 1})
			Expect(head.CommittedSeq()).To(Equal(uint64(1)))
			requests.AnswerReady(0)
			Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
		})

		It("waits while the members agree on the next view, and fails once the timeout has passed", func() {
			writeEntry(0)
			head.Receive(0, Prepare{From: "b", Number: 2, Ballot: ProposalNumber{Counter: 1, Proposer: "b"}})
			Expect(head.IsSealed()).To(BeTrue())
			requests.AnswerReady(timeout)
			Expect(answers).NotTo(Receive())
			requests.AnswerReady(timeout + 1)
			Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
		})
	})

	Context("to write that changes nothing", func() {
		It("is acknowledged without an entry once a majority has confirmed the view since it was received", func() {
			write(time.Millisecond, Decision{Unchanged: true})
			Expect(head.LatestState().Seq).To(BeZero())
			requests.AnswerReady(time.Millisecond)
			Expect(answers).NotTo(Receive(), "the pings that confirmed the view were sent before the request")
			confirm(head, 2*time.Millisecond)
			requests.AnswerReady(2 * time.Millisecond)
			Expect(answers).To(Receive(BeNil()))
		})

		It("is not acknowledged without a majority", func() {
			write(time.Millisecond, Decision{Unchanged: true})
			requests.AnswerReady(timeout + time.Millisecond)
			Expect(answers).NotTo(Receive())
			requests.AnswerReady(timeout + 2*time.Millisecond)
			Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
		})

		It("waits until the state that the answer is based on is committed", func() {
			head.Propose([]byte("x"))
			write(0, Decision{Unchanged: true})
			confirm(head, time.Millisecond)
			requests.AnswerReady(time.Millisecond)
			Expect(answers).NotTo(Receive())
			head.Receive(time.Millisecond, Committed{From: "c", View: 1, Seq: 1})
			requests.AnswerReady(time.Millisecond)
			Expect(answers).To(Receive(BeNil()))
		})

		It("is not confirmed by a new view, whose state may differ", func() {
			write(0, Decision{Unchanged: true})
			view := head.View()
			view.Number = 2
			head.Receive(0, Install{Proposal: Proposal{View: view, Base: State{Value: 0}}})
			confirm(head, time.Millisecond)
			requests.AnswerReady(time.Millisecond)
			Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
		})
	})

	It("is rejected if too many requests are pending", func() {
		for range maxPendingRequests {
			write(0, Decision{Operation: []byte("x")})
		}
		write(0, Decision{Operation: []byte("x")})
		Expect(answers).To(Receive(MatchError(ErrTooManyPending)))
	})
})

// confirm pings all other members from a node and has them answer at once.
func confirm(node *Node, now time.Duration) {
	for _, envelope := range node.PingVoters(now).ImmediateMessages {
		ping := envelope.Message.(Ping)
		node.Receive(now, Pong{From: Member{ID: MemberID(envelope.To), Address: envelope.To}, Nonce: ping.Nonce, Status: Status{View: 1, Healthy: true}})
	}
}
