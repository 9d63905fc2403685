package chain

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

// answerAs has another member answer a ping that is sent now.
func answerAs(node *Node, id MemberID, now time.Duration, status Status) {
	ping := node.PingVoters(now).ImmediateMessages[0].Message.(Ping)
	node.Receive(now, Pong{From: Member{ID: id, Address: string(id)}, Nonce: ping.Nonce, Status: status})
}

var well = Status{View: 1, Healthy: true}

var _ = Describe("four voters of which one may be lost", func() {
	var node *Node
	const now = time.Minute
	wanted := func(at time.Duration) []MemberID {
		var ids []MemberID
		for _, voter := range node.desiredVoters(at) {
			ids = append(ids, voter.ID)
		}
		return ids
	}
	// meet has the members answer for a time, but for those that are away.
	meet := func(until time.Duration, members ...MemberID) {
		for at := now; at <= until; at += time.Second / 2 {
			for _, id := range members {
				answerAs(node, id, at, well)
			}
			node.Tick(at)
		}
	}
	BeforeEach(func() {
		node = chainOf("a", "b", "c", "d")[0]
		meet(now, "b", "c", "d")
	})

	It("stay four while one is away for a while", func() {
		meet(now+5*time.Second, "b", "c")
		Expect(wanted(now + 5*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("c"), MemberID("d")))
	})

	It("become three once one has long been away", func() {
		long := now + (absenceTimeouts+2)*node.config.SuspectTimeout
		meet(long, "b", "c")
		Expect(wanted(long)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("c")))
	})

	It("stay four for a member that was out of touch itself meanwhile", func() {
		long := now + (absenceTimeouts+2)*node.config.SuspectTimeout
		meet(long, "b")
		meet(long, "b", "c")
		Expect(wanted(long)).To(HaveLen(4))
	})

	It("become three at once where one leaves, though another is away", func() {
		meet(now+3*time.Second, "b", "c")
		answerAs(node, "c", now+3*time.Second, Status{View: 1, Leaving: true})
		Expect(wanted(now + 3*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("d")))
	})

	It("become three where one has gone whose last word was that it leaves", func() {
		answerAs(node, "c", now, Status{View: 1, Leaving: true})
		meet(now+3*time.Second, "b", "d")
		Expect(wanted(now + 3*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("d")))
	})

	It("take a newcomer for the one that is away at once", func() {
		meet(now+3*time.Second, "b", "c")
		node.Receive(now+3*time.Second, Ping{From: Member{ID: "e", Address: "e"}, Status: Status{Healthy: true}})
		answerAs(node, "e", now+3*time.Second, Status{Healthy: true})
		Expect(wanted(now + 3*time.Second)).To(ContainElement(MemberID("e")))
		Expect(wanted(now + 3*time.Second)).NotTo(ContainElement(MemberID("d")))
	})
})

var _ = Describe("a leaving member", func() {
	var node *Node
	BeforeEach(func() {
		node = chainOf("a", "b", "c")[2]
		node.Leave()
	})
	// installed puts the view without it in force.
	installed := func(voters ...MemberID) {
		view := View{Number: 2, Chain: []MemberID{"a", "b"}}
		for _, id := range voters {
			view.Voters = append(view.Voters, Member{ID: id, Address: string(id)})
		}
		node.Receive(0, Install{From: "a", Proposal: Proposal{View: view, Base: State{Value: 0}}})
	}
	stored := func(id MemberID, view uint64) { answerAs(node, id, 0, Status{View: 2, Healthy: true, Stored: view}) }

	It("may not end while it is in the chain", func() {
		Expect(node.CanStop()).To(BeFalse())
	})

	It("may end once as many of the chain have the view on disk as must store what is committed", func() {
		installed("a", "b", "c")
		stored("a", 2)
		stored("b", 1)
		Expect(node.CanStop()).To(BeFalse())
		stored("b", 2)
		Expect(node.CanStop()).To(BeTrue())
	})

	It("may not end while it is one voter too many", func() {
		installed("a", "b", "c", "d")
		stored("a", 2)
		stored("b", 2)
		Expect(node.CanStop()).To(BeFalse())
	})

	It("may end that has never been taken in", func() {
		joiner, _ := NewJoiner(node.config, 0, 0)
		joiner.Leave()
		Expect(joiner.CanStop()).To(BeTrue())
	})
})

var _ = Describe("a view that is installed", func() {
	It("is told to be on disk once its record is, not before", func() {
		node := chainOf("a", "b", "c")[1]
		view := node.View()
		view.Number = 2
		out := node.Receive(0, Install{From: "a", Proposal: Proposal{View: view, Base: State{Value: 0}}})
		Expect(node.status().Stored).To(BeZero())
		node.Receive(0, messageTo[Stored](out, "b"))
		Expect(node.status().Stored).To(Equal(uint64(2)))
	})
})
