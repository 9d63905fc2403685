package controlplane

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/protocol"
)

// ownAddress is the address of the only member of the core that alone makes: nothing is sent there.
const ownAddress = "a"

// callFrom has a process call another one. It gives the number of the call and the replies that answer it.
func callFrom(p *Process) (number uint64, replies chan protocol.Reply) {
	replies = make(chan protocol.Reply, 1)
	message := func(n uint64) any {
		number = n
		return protocol.Read{From: ownAddress, ID: n}
	}
	p.forward(ownAddress, message, func(reply protocol.Reply) { replies <- reply })
	return number, replies
}

var _ = Describe("what arrives for an earlier life of a process", func() {
	// lives makes the same process twice: as it was, and as it is after a restart.
	lives := func() (before, after *Process) {
		before, _, _ = alone()
		after, _, _ = alone()
		for _, p := range []*Process{before, after} {
			p.calls, p.leaves = newCalls(), map[uint64]*pendingLeave{}
		}
		return before, after
	}

	It("answers no call of the later one", func() {
		before, after := lives()
		old, _ := callFrom(before)
		_, replies := callFrom(after)
		after.onReply(protocol.Reply{ID: old})
		Expect(replies).NotTo(Receive())
	})

	It("answers its own call once", func() {
		_, p := lives()
		number, replies := callFrom(p)
		p.onReply(protocol.Reply{ID: number, Detail: "first"})
		p.onReply(protocol.Reply{ID: number, Detail: "second"})
		Expect(replies).To(Receive(HaveField("Detail", "first")))
		Expect(replies).NotTo(Receive())
	})

	It("counts as no peer's word that an endpoint leaves", func() {
		before, after := lives()
		leave := &pendingLeave{until: time.Hour, stored: map[string]bool{}}
		after.leaves[after.calls.number()] = leave
		after.onSessionAck(protocol.SessionAck{From: "b", Ask: before.calls.number()})
		Expect(leave.stored).To(BeEmpty())
	})

	It("has pings of the two lives differ", func() {
		before, after := lives()
		view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}}, Chain: []chain.MemberID{"a", "b"}}
		nonces := map[uint64]int{}
		for _, p := range []*Process{before, after} {
			p.settings.InternalPortRange = []int{1, 1}
			node, _ := chain.NewGenesis(p.chainConfig("a"), 0, view, nil)
			for _, envelope := range node.PingVoters(0).ImmediateMessages {
				nonces[envelope.Message.(chain.Ping).Nonce]++
			}
		}
		Expect(nonces).To(HaveLen(2), "one for each life")
	})
})
