package chain

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

// answerAs sends a ping from a node and has another member answer it at once.
func answerAs(node *Node, id MemberID, now time.Duration, status Status) {
	ping := node.PingVoters(now).ImmediateMessages[0].Message.(Ping)
	node.Receive(now, Pong{From: Member{ID: id, Address: string(id)}, Nonce: ping.Nonce, Status: status})
}

var healthy = Status{View: 1, Healthy: true}

var _ = Describe("four voters that tolerate one failure", func() {
	var node *Node
	const now = time.Minute
	desired := func(at time.Duration) []MemberID {
		var ids []MemberID
		for _, voter := range node.desiredVoters(at) {
			ids = append(ids, voter.ID)
		}
		return ids
	}
	// answer advances the time and has the given members answer pings. The other members are unreachable.
	answer := func(until time.Duration, members ...MemberID) {
		for at := now; at <= until; at += time.Second / 2 {
			for _, id := range members {
				answerAs(node, id, at, healthy)
			}
			node.Tick(at)
		}
	}
	BeforeEach(func() {
		node = chainOf("a", "b", "c", "d")[0]
		answer(now, "b", "c", "d")
	})

	It("remain four while one is unreachable for a short time", func() {
		answer(now+5*time.Second, "b", "c")
		Expect(desired(now + 5*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("c"), MemberID("d")))
	})

	It("become three after one has been unreachable for longer than absenceTimeouts", func() {
		later := now + (absenceTimeouts+2)*node.config.SuspectTimeout
		answer(later, "b", "c")
		Expect(desired(later)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("c")))
	})

	It("remain four if the proposing member itself had no quorum in the meantime", func() {
		later := now + (absenceTimeouts+2)*node.config.SuspectTimeout
		answer(later, "b")
		answer(later, "b", "c")
		Expect(desired(later)).To(HaveLen(4))
	})

	It("become three at once by removing a leaving member, while another member is unreachable", func() {
		answer(now+3*time.Second, "b", "c")
		answerAs(node, "c", now+3*time.Second, Status{View: 1, Leaving: true})
		Expect(desired(now + 3*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("d")))
	})

	It("become three by removing an unreachable member whose last status said that it is leaving", func() {
		answerAs(node, "c", now, Status{View: 1, Leaving: true})
		answer(now+3*time.Second, "b", "d")
		Expect(desired(now + 3*time.Second)).To(ConsistOf(MemberID("a"), MemberID("b"), MemberID("d")))
	})

	It("replace an unreachable member with a joining one at once", func() {
		answer(now+3*time.Second, "b", "c")
		node.Receive(now+3*time.Second, Ping{From: Member{ID: "e", Address: "e"}, Status: Status{Healthy: true}})
		answerAs(node, "e", now+3*time.Second, Status{Healthy: true})
		Expect(desired(now + 3*time.Second)).To(ContainElement(MemberID("e")))
		Expect(desired(now + 3*time.Second)).NotTo(ContainElement(MemberID("d")))
	})
})

var _ = Describe("a leaving member", func() {
	var node *Node
	BeforeEach(func() {
		node = chainOf("a", "b", "c")[2]
		node.Leave(0)
	})
	// install installs a view whose chain does not include the leaving member.
	install := func(voters ...MemberID) {
		view := View{Number: 2, Chain: []MemberID{"a", "b"}}
		for _, id := range voters {
			view.Voters = append(view.Voters, Member{ID: id, Address: string(id)})
		}
		node.Receive(0, Install{From: "a", Proposal: Proposal{View: view, Base: State{Value: 0}}})
	}
	persisted := func(id MemberID, view uint64) { answerAs(node, id, 0, Status{View: 2, Healthy: true, Stored: view}) }

	It("cannot stop while it is in the chain", func() {
		Expect(node.CanStop(0)).To(BeFalse())
	})

	It("can stop once enough members of the chain have persisted the view", func() {
		install("a", "b", "c")
		persisted("a", 2)
		persisted("b", 1)
		Expect(node.CanStop(0)).To(BeFalse())
		persisted("b", 2)
		Expect(node.CanStop(0)).To(BeTrue())
	})

	It("cannot stop while it is a surplus voter", func() {
		install("a", "b", "c", "d")
		persisted("a", 2)
		persisted("b", 2)
		Expect(node.CanStop(0)).To(BeFalse())
	})

	It("can stop if it has never joined", func() {
		joiner, _ := NewJoiner(node.config, 0, 0)
		joiner.Leave(0)
		Expect(joiner.CanStop(0)).To(BeTrue())
	})
})

var _ = Describe("an installed view", func() {
	It("is reported as persisted only after its record is persisted", func() {
		node := chainOf("a", "b", "c")[1]
		view := node.View()
		view.Number = 2
		out := node.Receive(0, Install{From: "a", Proposal: Proposal{View: view, Base: State{Value: 0}}})
		Expect(node.status().Stored).To(BeZero())
		node.Receive(0, messageTo[Stored](out, "b"))
		Expect(node.status().Stored).To(Equal(uint64(2)))
	})
})
