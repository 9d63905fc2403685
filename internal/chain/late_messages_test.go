package chain

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

var _ = Describe("a late message", func() {
	It("with a later state of the next view does not acknowledge an entry of the replaced head", func() {
		nodes := chainOf("a", "b", "c")
		replaced, head := nodes[0], nodes[1]
		confirm(replaced, 0)
		answers := make(chan error, 1)
		requests := NewPendingRequests(replaced, time.Minute)
		requests.Write(0, Write{
			Decide:  func(any) Decision { return Decision{Operation: []byte("lost")} },
			Respond: func(err error) { answers <- err },
		})

		// The next view starts without the entry, and the new head commits another entry with the same sequence number.
		next := head.View()
		next.Number, next.Chain = 2, []MemberID{"b", "c"}
		head.Receive(0, Install{Proposal: Proposal{View: next, Base: State{Value: 0}}})
		_, _, proposed := head.Propose([]byte("other"))
		Expect(proposed).To(BeTrue())
		head.Receive(0, Committed{From: "c", View: 2, Seq: 1})
		head.Snapshot()

		out := head.Receive(time.Second, Ping{From: replaced.Self(), Nonce: 1, Status: Status{View: 1}})
		Expect(out.Messages).To(ContainElement(HaveField("Message", BeAssignableToTypeOf(Install{}))))
		for _, envelope := range out.Messages {
			replaced.Receive(time.Second, envelope.Message)
		}
		Expect(replaced.View().Number).To(Equal(uint64(2)))
		requests.AnswerReady(time.Second)
		Expect(answers).To(Receive(MatchError(ErrNotConfirmed)))
	})

	It("from a voter before it was sealed does not confirm the view at the time of a later ping", func() {
		head := chainOf("a", "b", "c")[0]
		ping := func(now time.Duration) (nonce uint64) {
			return head.PingVoters(now).ImmediateMessages[0].Message.(Ping).Nonce
		}
		voter := head.View().Voters[1]
		earlier := ping(time.Second)
		later := ping(2 * time.Second)
		head.Receive(2*time.Second, Pong{From: voter, Nonce: later, Status: Status{View: 1, Sealed: true, Healthy: true}})
		head.Receive(2*time.Second, Pong{From: voter, Nonce: earlier, Status: Status{View: 1, Healthy: true}})
		Expect(head.QuorumConfirmedAt(2 * time.Second)).To(BeNumerically("<", time.Second))
	})

	It("to an earlier ping does not overwrite the sealed status that a later answer has reported", func() {
		nodes := chainOf("a", "b", "c")
		head := nodes[0]
		ping := func(now time.Duration) (nonce uint64) {
			return head.PingVoters(now).ImmediateMessages[0].Message.(Ping).Nonce
		}
		earlier := ping(time.Millisecond)
		later := ping(2 * time.Millisecond)
		for _, name := range []string{"b", "c"} {
			member := Member{ID: MemberID(name), Address: name}
			head.Receive(3*time.Millisecond, Pong{From: member, Nonce: later, Status: Status{View: 1, Sealed: true}})
			head.Receive(3*time.Millisecond, Pong{From: member, Nonce: earlier, Status: Status{View: 1}})
		}
		Expect(head.QuorumConfirmedAt(3*time.Millisecond)).To(BeNumerically("<", 2*time.Millisecond),
			"both other members were sealed at that time")
	})
})
