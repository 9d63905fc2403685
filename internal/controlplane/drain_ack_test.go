package controlplane

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/peerlink"
	"dykering/internal/protocol"
	"dykering/internal/ringlog"
	"dykering/internal/sessions"
)

// ofThree makes the state of a process that is one of three members, in touch with both others, and that runs nothing.
func ofThree() *Process {
	p, config, _ := alone()
	view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}},
		Chain: []chain.MemberID{"a", "b", "c"}}
	config.SuspectTimeout = time.Hour
	p.origin = time.Now()
	p.node, _ = chain.NewGenesis(config, 0, view, nil)
	for _, envelope := range p.node.PingVoters(0).ImmediateMessages {
		member, _ := view.Voter(chain.MemberID(envelope.To))
		p.node.Receive(0, chain.Pong{From: member, Nonce: envelope.Message.(chain.Ping).Nonce, Status: chain.Status{View: 1, Healthy: true}})
	}
	p.table, p.calls = sessions.New(time.Hour), newCalls()
	p.leaves, p.replicatedLeaves = map[uint64]*pendingLeave{}, map[string]sessions.State{}
	p.saver = &sessionSaver{ring: &ringlog.Ring{}, log: p.log, copies: make(chan sessionCopy, 1)}
	p.timing.drainAckWithin = time.Hour
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	p.links = map[string]*peerlink.Link{"b": peerlink.NewLink(ended, "b"), "c": peerlink.NewLink(ended, "c")}
	return p
}

// storeSessions stands for the disk: what waits for the sessions to be written goes on.
func storeSessions(p *Process) {
	p.saveSessions(p.now())
	for len(p.saver.copies) > 0 {
		p.onSessionsWritten((<-p.saver.copies).stored, nil)
	}
}

// acknowledgeAll has a peer acknowledge all that is under way.
func acknowledgeAll(p *Process, peer string) {
	for number := range p.leaves {
		p.onSessionAck(protocol.SessionAck{From: peer, Ask: number})
	}
}

var _ = Describe("the notice of an endpoint that it leaves", func() {
	var p *Process
	var answers chan error
	answer := func(err error) { answers <- err }
	drain := func(sequence uint64) {
		p.takeHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Draining, Sequence: sequence}, answer)
	}
	BeforeEach(func() {
		p, answers = ofThree(), make(chan error, 10)
		p.takeHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Ready, Sequence: 1}, answer)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is acknowledged once each member has it on disk", func() {
		drain(2)
		acknowledgeAll(p, "b")
		acknowledgeAll(p, "c")
		Expect(answers).NotTo(Receive(), "it is not on the own disk yet")
		storeSessions(p)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is not acknowledged when it comes again while the first waits", func() {
		drain(2)
		storeSessions(p)
		drain(3)
		Expect(answers).NotTo(Receive())
		storeSessions(p)
		acknowledgeAll(p, "b")
		acknowledgeAll(p, "c")
		Expect(answers).To(Receive(BeNil()))
		Expect(answers).To(Receive(BeNil()))
		drain(4)
		Expect(answers).To(Receive(BeNil()), "all have it")
	})

	It("is not acknowledged when it comes again after the first was refused", func() {
		p.timing.drainAckWithin = -time.Hour
		drain(2)
		p.expireLeaves()
		Expect(answers).To(Receive(HaveOccurred()))
		p.timing.drainAckWithin = time.Hour
		drain(3)
		Expect(answers).NotTo(Receive())
	})

	It("is acknowledged after a while where a majority has it on disk", func() {
		drain(2)
		storeSessions(p)
		acknowledgeAll(p, "c")
		Expect(answers).NotTo(Receive())
		for _, leave := range p.leaves {
			leave.until = -1
		}
		p.expireLeaves()
		Expect(answers).To(Receive(BeNil()))
	})

	It("that deregisters is acknowledged once others have it, not before", func() {
		p.deregister("i-1", answer)
		storeSessions(p)
		Expect(answers).NotTo(Receive())
		acknowledgeAll(p, "b")
		acknowledgeAll(p, "c")
		Expect(answers).To(Receive(BeNil()))
	})

	It("that deregisters is told to others also where it is not known here", func() {
		p.deregister("i-2", answer)
		Expect(p.table.Records(0, []string{"i-2"})).To(ConsistOf(HaveField("Endpoint.State", sessions.Departed)))
		Expect(p.leaves).To(HaveLen(1))
	})

	It("waits for the next copy where one cannot be written", func() {
		drain(2)
		p.saveSessions(p.now())
		p.onSessionsWritten((<-p.saver.copies).stored, context.DeadlineExceeded)
		Expect(p.saver.waiting).To(HaveLen(1))
		acknowledgeAll(p, "b")
		acknowledgeAll(p, "c")
		Expect(answers).NotTo(Receive())
		p.saver.retryAt = 0
		storeSessions(p)
		Expect(answers).To(Receive(BeNil()))
	})

	It("of another member is acknowledged once it is on the own disk", func() {
		record := sessions.Record{Endpoint: sessions.Endpoint{ID: "i-3", State: sessions.Draining}}
		p.onSessionUpdate(protocol.SessionUpdate{From: "b", Ask: 7, Records: []sessions.Record{record}})
		Expect(p.saver.waiting).To(HaveLen(1))
	})
})
