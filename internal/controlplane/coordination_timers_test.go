package controlplane

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/errkind"
	"dykering/internal/protocol"
)

// newSingleHead creates a server that is the only member of its core and runs no goroutines. What it appends is not
// committed until commitAll is called.
func newSingleHead() *Server {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	s := newServer(ctx, newMembers(1)[0].settings, slog.New(slog.DiscardHandler))
	Expect(s.openStores()).To(Succeed())
	self := chain.Member{ID: "a", Address: s.settings.InternalAddress(s.settings.IPAddress)}
	view := chain.View{Number: 1, Voters: []chain.Member{self}, Chain: []chain.MemberID{self.ID}, Holder: self.ID, Token: 1}
	config := s.chainConfig(self.ID)
	config.Self = self
	s.chain, _ = chain.NewGenesis(config, s.now(), view, corestate.Initial())
	s.pendingRequests = chain.NewPendingRequests(s.chain, s.timing.callTimeout)
	return s
}

// commitAll reports all appended records as stored, and answers the requests that wait for them.
func commitAll(s *Server) {
	for len(s.chainStore.jobs) > 0 {
		s.onPersisted((<-s.chainStore.jobs).messages)
	}
	s.applyChainOutput(s.chain.Tick(s.now()))
	s.pendingRequests.AnswerReady(s.now())
}

// execute starts a command at the head and returns a channel that receives the reply.
func execute(s *Server, command coordination.Command) <-chan protocol.Reply {
	replies := make(chan protocol.Reply, 1)
	s.coordination.executeAtHead(s.now(), command, func(reply protocol.Reply) { replies <- reply })
	return replies
}

var _ = Describe("the head's hold timers", func() {
	const hold = 10 * time.Second
	begin := coordination.Command{Operation: coordination.BeginLock, Name: "l", Holder: "a", HoldMs: hold.Milliseconds()}

	// Guards against a compaction check that deletes timers of uncommitted holds: it compared the timers with the locks of
	// the committed state. Such a hold then counted as expired at once, and another caller could acquire the lock.
	It("keep the timer of a hold that is not committed yet", func() {
		s := newSingleHead()
		s.coordination.head.ViewInstalled(s.now() - time.Hour)
		reply := execute(s, begin)
		Expect(reply).NotTo(Receive())
		s.coordination.tick(s.now())
		commitAll(s)
		Expect(reply).To(Receive(HaveField("Failed", false)))

		_, held := corestate.Coordination(s.chain.CommittedState().Value).Lock("l")
		Expect(held).To(BeTrue())
		other := begin
		other.Holder = "b"
		rejected := execute(s, other)
		commitAll(s)
		Expect(rejected).To(Receive(HaveField("Kind", int(errkind.LockHeld))))
	})
})
