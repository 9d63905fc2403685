package controlplane

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

var _ = Describe("the acknowledgement of a departure", func() {
	var server *Server
	var answers chan error
	answer := func(err error) { answers <- err }
	drain := func(sequence uint64) {
		server.applyHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Draining, Sequence: sequence}, answer)
	}
	BeforeEach(func() {
		server, answers = oneOfThree(), make(chan error, 10)
		server.applyHeartbeat("i-1", sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Ready, Sequence: 1}, answer)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is given once every voter has it on disk", func() {
		drain(2)
		acknowledgeDepartures(server, "b")
		acknowledgeDepartures(server, "c")
		Expect(answers).NotTo(Receive(), "it is not on the own disk yet")
		storeSnapshots(server)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is not given to a repeated notice while the first one is pending", func() {
		drain(2)
		storeSnapshots(server)
		drain(3)
		Expect(answers).NotTo(Receive())
		storeSnapshots(server)
		acknowledgeDepartures(server, "b")
		acknowledgeDepartures(server, "c")
		Expect(answers).To(Receive(BeNil()))
		Expect(answers).To(Receive(BeNil()))
		drain(4)
		Expect(answers).To(Receive(BeNil()), "all have it")
	})

	It("is not given to a repeated notice after the first one was rejected", func() {
		server.timing.drainAckTimeout = -time.Hour
		drain(2)
		server.expireDepartures()
		Expect(answers).To(Receive(HaveOccurred()))
		server.timing.drainAckTimeout = time.Hour
		drain(3)
		Expect(answers).NotTo(Receive())
	})

	It("is given after the deadline when a majority has it on disk", func() {
		drain(2)
		storeSnapshots(server)
		acknowledgeDepartures(server, "c")
		Expect(answers).NotTo(Receive())
		for _, departure := range server.pendingDepartures {
			departure.deadline = -1
		}
		server.expireDepartures()
		Expect(answers).To(Receive(BeNil()))
	})

	It("is given to a deregistration once the peers have it too, not before", func() {
		server.deregister("i-1", answer)
		storeSnapshots(server)
		Expect(answers).NotTo(Receive())
		acknowledgeDepartures(server, "b")
		acknowledgeDepartures(server, "c")
		Expect(answers).To(Receive(BeNil()))
	})

	It("is asked of the peers also for the deregistration of an endpoint unknown here", func() {
		server.deregister("i-2", answer)
		Expect(server.sessionTable.Records(0, []string{"i-2"})).To(ConsistOf(HaveField("Endpoint.State", sessions.Departed)))
		Expect(server.pendingDepartures).To(HaveLen(1))
	})

	It("waits for the next snapshot when one cannot be written", func() {
		drain(2)
		server.snapshotSessions(server.now())
		server.onSessionsStored((<-server.sessionStore.snapshots).onStored, context.DeadlineExceeded)
		Expect(server.sessionStore.onStored).To(HaveLen(1))
		acknowledgeDepartures(server, "b")
		acknowledgeDepartures(server, "c")
		Expect(answers).NotTo(Receive())
		server.sessionStore.retryAfter = 0
		storeSnapshots(server)
		Expect(answers).To(Receive(BeNil()))
	})

	It("is sent to a peer only after the next snapshot", func() {
		record := sessions.Record{Endpoint: sessions.Endpoint{ID: "i-3", State: sessions.Draining}}
		server.onSessionUpdate(protocol.SessionUpdate{From: "b", Ask: 7, Records: []sessions.Record{record}})
		Expect(server.sessionStore.onStored).To(HaveLen(1))
	})
})
