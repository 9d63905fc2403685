package controlplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/protocol"
)

// ownAddress is the address of the member that newSingleMember creates. Messages to it are not sent.
const ownAddress = "a"

// startPendingCall starts a call to a peer. It returns the number of the call and a channel that receives the replies
// that answer it.
func startPendingCall(s *Server) (number uint64, replies chan protocol.Reply) {
	replies = make(chan protocol.Reply, 1)
	message := func(n uint64) any {
		number = n
		return protocol.Read{From: ownAddress, ID: n}
	}
	s.callPeer(ownAddress, message, func(reply protocol.Reply) { replies <- reply })
	return number, replies
}

var _ = Describe("a process that has been restarted", func() {
	// restarted creates two servers that stand for the same process before and after a restart.
	restarted := func() (before, after *Server) {
		before, _, _ = newSingleMember()
		after, _, _ = newSingleMember()
		for _, server := range []*Server{before, after} {
			server.pendingCalls = newPendingCalls()
		}
		return before, after
	}

	It("does not answer a call with the reply to a call from before the restart", func() {
		before, after := restarted()
		old, _ := startPendingCall(before)
		_, replies := startPendingCall(after)
		after.onReply(protocol.Reply{ID: old})
		Expect(replies).NotTo(Receive())
	})

	It("answers each call once", func() {
		_, server := restarted()
		number, replies := startPendingCall(server)
		server.onReply(protocol.Reply{ID: number, Detail: "first"})
		server.onReply(protocol.Reply{ID: number, Detail: "second"})
		Expect(replies).To(Receive(HaveField("Detail", "first")))
		Expect(replies).NotTo(Receive())
	})

	It("numbers its departures differently after the restart", func() {
		before, after := restarted()
		Expect(before.sessionConfig(true).FirstNumber).NotTo(Equal(after.sessionConfig(true).FirstNumber))
	})

	It("sends pings with different nonces after the restart", func() {
		before, after := restarted()
		view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}}, Chain: []chain.MemberID{"a", "b"}}
		nonces := map[uint64]int{}
		for _, server := range []*Server{before, after} {
			server.settings.InternalPortRange = []int{1, 1}
			node, _ := chain.NewGenesis(server.chainConfig("a"), 0, view, nil)
			for _, envelope := range node.PingVoters(0).ImmediateMessages {
				nonces[envelope.Message.(chain.Ping).Nonce]++
			}
		}
		Expect(nonces).To(HaveLen(2), "one nonce for each start")
	})
})
