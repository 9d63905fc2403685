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
func oneOfThree() *Server {
	s, config, _ := singleMember()
	view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}},
		Chain: []chain.MemberID{"a", "b", "c"}}
	config.SuspectTimeout = time.Hour
	s.origin = time.Now()
	s.chain, _ = chain.NewGenesis(config, 0, view, nil)
	for _, envelope := range s.chain.PingVoters(0).ImmediateMessages {
		member, _ := view.Voter(chain.MemberID(envelope.To))
		s.chain.Receive(0, chain.Pong{From: member, Nonce: envelope.Message.(chain.Ping).Nonce, Status: chain.Status{View: 1, Healthy: true}})
	}
	s.table, s.pending = sessions.New(time.Hour), newPendingCalls()
	s.departures, s.acknowledgedDepartures = map[uint64]*pendingDeparture{}, map[string]sessions.State{}
	s.sessionStore = &sessionStore{ring: &ringlog.Ring{}, log: s.log, snapshots: make(chan sessionSnapshot, 1)}
	s.timing.drainAckTimeout = time.Hour
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.links = map[string]*peerlink.Link{"b": peerlink.NewLink(ended, "b"), "c": peerlink.NewLink(ended, "c")}
	return s
}

// storeSessions stands for the disk: what waits for the sessions to be written goes on.
func storeSnapshots(s *Server) {
	s.snapshotSessions(s.now())
	for len(s.sessionStore.snapshots) > 0 {
		s.onSessionsStored((<-s.sessionStore.snapshots).onStored, nil)
	}
}

// acknowledgeAll has a peer acknowledge all that is under way.
func acknowledgeDepartures(s *Server, peer string) {
	for number := range s.departures {
		s.onSessionAck(protocol.SessionAck{From: peer, Ask: number})
	}
}

var _ = Describe("the notice of an endpoint that it leaves", func() {
	var p *Server
	var answers chan error
	answer := func(err error) { answers <- err }
	drain := func(sequence uint64) {
		p.applyHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Draining, Sequence: sequence}, answer)
	}
	BeforeEach(func() {
		p, answers = oneOfThree(), make(chan error, 10)
		p.applyHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Ready, Sequence: 1}, answer)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is acknowledged once each member has it on disk", func() {
		drain(2)
		acknowledgeDepartures(p, "b")
		acknowledgeDepartures(p, "c")
		Expect(answers).NotTo(Receive(), "it is not on the own disk yet")
		storeSnapshots(p)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is not acknowledged when it comes again while the first waits", func() {
		drain(2)
		storeSnapshots(p)
		drain(3)
		Expect(answers).NotTo(Receive())
		storeSnapshots(p)
		acknowledgeDepartures(p, "b")
		acknowledgeDepartures(p, "c")
		Expect(answers).To(Receive(BeNil()))
		Expect(answers).To(Receive(BeNil()))
		drain(4)
		Expect(answers).To(Receive(BeNil()), "all have it")
	})

	It("is not acknowledged when it comes again after the first was refused", func() {
		p.timing.drainAckTimeout = -time.Hour
		drain(2)
		p.expireDepartures()
		Expect(answers).To(Receive(HaveOccurred()))
		p.timing.drainAckTimeout = time.Hour
		drain(3)
		Expect(answers).NotTo(Receive())
	})

	It("is acknowledged after a while where a majority has it on disk", func() {
		drain(2)
		storeSnapshots(p)
		acknowledgeDepartures(p, "c")
		Expect(answers).NotTo(Receive())
		for _, leave := range p.departures {
			leave.deadline = -1
		}
		p.expireDepartures()
		Expect(answers).To(Receive(BeNil()))
	})

	It("that deregisters is acknowledged once others have it, not before", func() {
		p.deregister("i-1", answer)
		storeSnapshots(p)
		Expect(answers).NotTo(Receive())
		acknowledgeDepartures(p, "b")
		acknowledgeDepartures(p, "c")
		Expect(answers).To(Receive(BeNil()))
	})

	It("that deregisters is told to others also where it is not known here", func() {
		p.deregister("i-2", answer)
		Expect(p.table.Records(0, []string{"i-2"})).To(ConsistOf(HaveField("Endpoint.State", sessions.Departed)))
		Expect(p.departures).To(HaveLen(1))
	})

	It("waits for the next copy where one cannot be written", func() {
		drain(2)
		p.snapshotSessions(p.now())
		p.onSessionsStored((<-p.sessionStore.snapshots).onStored, context.DeadlineExceeded)
		Expect(p.sessionStore.onStored).To(HaveLen(1))
		acknowledgeDepartures(p, "b")
		acknowledgeDepartures(p, "c")
		Expect(answers).NotTo(Receive())
		p.sessionStore.retryAfter = 0
		storeSnapshots(p)
		Expect(answers).To(Receive(BeNil()))
	})

	It("of another member is acknowledged once it is on the own disk", func() {
		record := sessions.Record{Endpoint: sessions.Endpoint{ID: "i-3", State: sessions.Draining}}
		p.onSessionUpdate(protocol.SessionUpdate{From: "b", Ask: 7, Records: []sessions.Record{record}})
		Expect(p.sessionStore.onStored).To(HaveLen(1))
	})
})
