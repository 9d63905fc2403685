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
func pendingCallOf(s *Server) (number uint64, replies chan protocol.Reply) {
	replies = make(chan protocol.Reply, 1)
	message := func(n uint64) any {
		number = n
		return protocol.Read{From: ownAddress, ID: n}
	}
	s.callPeer(ownAddress, message, func(reply protocol.Reply) { replies <- reply })
	return number, replies
}

var _ = Describe("what arrives for an earlier life of a process", func() {
	// lives makes the same process twice: as it was, and as it is after a restart.
	lives := func() (before, after *Server) {
		before, _, _ = singleMember()
		after, _, _ = singleMember()
		for _, p := range []*Server{before, after} {
			p.pending, p.departures = newPendingCalls(), map[uint64]*pendingDeparture{}
		}
		return before, after
	}

	It("answers no call of the later one", func() {
		before, after := lives()
		old, _ := pendingCallOf(before)
		_, replies := pendingCallOf(after)
		after.onReply(protocol.Reply{ID: old})
		Expect(replies).NotTo(Receive())
	})

	It("answers its own call once", func() {
		_, p := lives()
		number, replies := pendingCallOf(p)
		p.onReply(protocol.Reply{ID: number, Detail: "first"})
		p.onReply(protocol.Reply{ID: number, Detail: "second"})
		Expect(replies).To(Receive(HaveField("Detail", "first")))
		Expect(replies).NotTo(Receive())
	})

	It("counts as no peer's word that an endpoint leaves", func() {
		before, after := lives()
		leave := &pendingDeparture{deadline: time.Hour, storedAt: map[string]bool{}}
		after.departures[after.pending.nextNumber()] = leave
		after.onSessionAck(protocol.SessionAck{From: "b", Ask: before.pending.nextNumber()})
		Expect(leave.storedAt).To(BeEmpty())
	})

	It("has pings of the two lives differ", func() {
		before, after := lives()
		view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}}, Chain: []chain.MemberID{"a", "b"}}
		nonces := map[uint64]int{}
		for _, p := range []*Server{before, after} {
			p.settings.InternalPortRange = []int{1, 1}
			node, _ := chain.NewGenesis(p.chainConfig("a"), 0, view, nil)
			for _, envelope := range node.PingVoters(0).ImmediateMessages {
				nonces[envelope.Message.(chain.Ping).Nonce]++
			}
		}
		Expect(nonces).To(HaveLen(2), "one for each life")
	})
})
