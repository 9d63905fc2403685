package sessionsync

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
	"dykering/internal/sessions"
)

func TestSessionsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sessionsync")
}

const departureTimeout = time.Hour

// newTestReplica returns the replica of the member at an address.
func newTestReplica(self string) *Replica {
	return New(Config{
		Self: self, TTL: time.Hour, DepartureTimeout: departureTimeout, MaxClockStep: time.Hour, FullSyncTimeout: time.Second,
		AntiEntropyInterval: time.Second, RandomIndex: func(int) int { return 0 }, CanStore: true,
	}, nil)
}

// threeMembers is the core as seen by a member that reaches both others.
var threeMembers = Core{
	Voters: []string{"a", "b", "c"}, Majority: 2, HasQuorum: true, IsReachable: func(string) bool { return true },
}

// withoutQuorum is the core as seen by a member that reaches no other.
var withoutQuorum = Core{Voters: threeMembers.Voters, Majority: 2, IsReachable: func(string) bool { return false }}

// messagesTo returns the messages of type M to a member.
func messagesTo[M any](out Output, to string) (messages []M) {
	for _, envelope := range out.Messages {
		if m, ok := envelope.Message.(M); ok && envelope.To == to {
			messages = append(messages, m)
		}
	}
	return messages
}

var _ = Describe("the acknowledgement of a departure", func() {
	var replica *Replica
	var now time.Duration
	var lastCall CallID
	var asked []uint64 // numbers of the departures that the peers were asked to store
	// collectAnswers records the departures that the output asks peer b to store, and returns the answers of the
	// output.
	collectAnswers := func(out Output) []Answer {
		for _, update := range messagesTo[protocol.SessionUpdate](out, "b") {
			if update.Ask != 0 {
				asked = append(asked, update.Ask)
			}
		}
		return out.Answers
	}
	heartbeat := func(state sessions.State, sequence uint64) []Answer {
		lastCall++
		beat := sessions.Heartbeat{Service: "s", Address: "x:1", State: state, Sequence: sequence}
		return collectAnswers(replica.Heartbeat(now, threeMembers, "i-1", beat, lastCall))
	}
	drain := func(sequence uint64) []Answer { return heartbeat(sessions.Draining, sequence) }
	deregister := func(id string) []Answer {
		lastCall++
		return collectAnswers(replica.Deregister(now, threeMembers, id, lastCall))
	}
	// store writes the snapshot that is due, if there is one.
	store := func() []Answer {
		out := replica.Flush(now, threeMembers)
		if out.Snapshot == nil {
			return nil
		}
		return replica.SnapshotStored(now, threeMembers, nil).Answers
	}
	// acknowledge makes a peer acknowledge all departures that it was asked to store.
	acknowledge := func(peer string) (answers []Answer) {
		for _, number := range asked {
			answers = append(answers, replica.Receive(now, threeMembers, protocol.SessionAck{From: peer, Ask: number}).Answers...)
		}
		return answers
	}
	// accepted is the successful answer to the last call.
	accepted := func() Answer { return Answer{Call: lastCall} }
	BeforeEach(func() {
		replica, now, lastCall, asked = newTestReplica("a"), 0, 0, nil
		Expect(heartbeat(sessions.Ready, 1)).To(ConsistOf(accepted()))
	})

	It("is sent once every voter has the departure on disk", func() {
		Expect(drain(2)).To(BeEmpty())
		Expect(acknowledge("b")).To(BeEmpty())
		Expect(acknowledge("c")).To(BeEmpty(), "it is not on this member's disk yet")
		Expect(store()).To(ConsistOf(accepted()))
	})

	It("is not sent for a repeated notice while the first one is pending", func() {
		drain(2)
		store()
		Expect(drain(3)).To(BeEmpty())
		Expect(store()).To(BeEmpty())
		Expect(acknowledge("b")).To(BeEmpty())
		Expect(acknowledge("c")).To(ConsistOf(Answer{Call: lastCall - 1}, accepted()))
		Expect(drain(4)).To(ConsistOf(accepted()), "all voters have it on disk")
	})

	It("is not sent for a repeated notice after the first one was rejected", func() {
		drain(2)
		now = departureTimeout + 1
		Expect(replica.Tick(now, threeMembers).Answers).To(ConsistOf(HaveField("Err", HaveOccurred())))
		Expect(drain(3)).To(BeEmpty())
	})

	It("is sent after the deadline if a majority has the departure on disk", func() {
		drain(2)
		store()
		Expect(acknowledge("c")).To(BeEmpty())
		now = departureTimeout + 1
		Expect(replica.Tick(now, threeMembers).Answers).To(ConsistOf(accepted()))
	})

	It("is sent for a deregistration once all voters have it on disk, not before", func() {
		Expect(deregister("i-1")).To(BeEmpty())
		Expect(store()).To(BeEmpty())
		Expect(acknowledge("b")).To(BeEmpty())
		Expect(acknowledge("c")).To(ConsistOf(accepted()))
	})

	It("is requested from the peers even if the deregistered endpoint is unknown to this member", func() {
		Expect(deregister("i-2")).To(BeEmpty())
		Expect(replica.Table().Records(0, []string{"i-2"})).To(ConsistOf(HaveField("Endpoint.State", sessions.Departed)))
		Expect(asked).To(HaveLen(1))
	})

	It("waits for the next snapshot if a write fails", func() {
		drain(2)
		Expect(replica.Flush(now, threeMembers).Snapshot).NotTo(BeNil())
		Expect(replica.SnapshotStored(now, threeMembers, context.DeadlineExceeded).Answers).To(BeEmpty())
		acknowledge("b")
		Expect(acknowledge("c")).To(BeEmpty())
		Expect(replica.Flush(now, threeMembers).Snapshot).To(BeNil(), "the retry interval has not passed")
		now += storeRetryInterval
		Expect(store()).To(ConsistOf(accepted()))
	})

	It("need not be pending for a failed snapshot to be written again", func() {
		Expect(replica.Flush(now, threeMembers).Snapshot).NotTo(BeNil())
		replica.SnapshotStored(now, threeMembers, context.DeadlineExceeded)
		now += snapshotInterval + 1
		Expect(replica.Flush(now, threeMembers).Snapshot).NotTo(BeNil())
	})

	It("is not sent for a snapshot that was started before the departure", func() {
		Expect(replica.Flush(now, threeMembers).Snapshot).NotTo(BeNil())
		drain(2)
		acknowledge("b")
		acknowledge("c")
		Expect(replica.SnapshotStored(now, threeMembers, nil).Answers).To(BeEmpty())
		Expect(store()).To(ConsistOf(accepted()))
	})

	It("is sent to a peer only after the next snapshot", func() {
		record := sessions.Record{Endpoint: sessions.Endpoint{ID: "i-3", State: sessions.Draining}}
		out := replica.Receive(now, threeMembers, protocol.SessionUpdate{From: "b", Ask: 7, Records: []sessions.Record{record}})
		Expect(messagesTo[protocol.SessionAck](out, "b")).To(BeEmpty())
		Expect(replica.Flush(now, threeMembers).Snapshot).NotTo(BeNil())
		out = replica.SnapshotStored(now, threeMembers, nil)
		Expect(messagesTo[protocol.SessionAck](out, "b")).To(ConsistOf(protocol.SessionAck{From: "a", Ask: 7}))
	})

	It("is never sent without a store", func() {
		replica.config.CanStore = false
		drain(2)
		acknowledge("b")
		Expect(acknowledge("c")).To(BeEmpty())
		Expect(store()).To(BeEmpty())
	})

	It("is refused without a quorum", func() {
		out := replica.Heartbeat(now, withoutQuorum, "i-1", sessions.Heartbeat{State: sessions.Draining, Sequence: 2}, 9)
		Expect(out.Answers).To(ConsistOf(HaveField("Err", HaveOccurred())))
		Expect(replica.Deregister(now, withoutQuorum, "i-1", 10).Answers).To(ConsistOf(HaveField("Err", HaveOccurred())))
	})

	It("does not count what peers stored for an earlier incarnation", func() {
		drain(2)
		store()
		restarted := newTestReplica("a")
		restarted.lastNumber = 1 << 40
		restarted.Deregister(now, threeMembers, "i-1", 1)
		for _, number := range asked {
			restarted.Receive(now, threeMembers, protocol.SessionAck{From: "b", Ask: number})
		}
		for _, pending := range restarted.departures {
			Expect(pending.storedAt).To(BeEmpty())
		}
	})
})

var _ = Describe("a full sync", func() {
	It("is complete once all reachable peers have answered, and is repeated after a time without a quorum", func() {
		replica := newTestReplica("a")
		out := replica.Tick(time.Second, threeMembers)
		Expect(messagesTo[protocol.SessionSnapshotRequest](out, "b")).To(HaveLen(1))
		replica.Receive(time.Second, threeMembers, protocol.SessionSnapshot{From: "b"})
		replica.Tick(time.Second, threeMembers)
		Expect(replica.IsSynced()).To(BeFalse())
		replica.Receive(time.Second, threeMembers, protocol.SessionSnapshot{From: "c"})
		replica.Tick(time.Second, threeMembers)
		Expect(replica.IsSynced()).To(BeTrue())
		replica.Tick(2*time.Second, withoutQuorum)
		Expect(replica.IsSynced()).To(BeFalse())
	})

	It("is complete after its timeout", func() {
		replica := newTestReplica("a")
		replica.Tick(time.Second, threeMembers)
		replica.Tick(2*time.Second+1, threeMembers)
		Expect(replica.IsSynced()).To(BeTrue())
	})
})

var _ = Describe("replicas that differ", func() {
	It("become equal by comparing digests", func() {
		a, b := newTestReplica("a"), newTestReplica("b")
		for i, id := range []string{"i-1", "i-2", "i-3"} {
			beat := sessions.Heartbeat{Service: "s", Address: "x:1", State: sessions.Ready, Sequence: 1}
			[]*Replica{a, b, a}[i].Heartbeat(0, threeMembers, id, beat, 1)
		}
		two := Core{Voters: []string{"a", "b"}, Majority: 2, HasQuorum: true, IsReachable: threeMembers.IsReachable}
		messages := a.Tick(time.Second, two).Messages
		for len(messages) > 0 {
			envelope := messages[0]
			to := map[string]*Replica{"a": a, "b": b}[envelope.To]
			messages = append(messages[1:], to.Receive(time.Second, two, envelope.Message).Messages...)
		}
		Expect(a.Table().ChildDigests(nil)).To(Equal(b.Table().ChildDigests(nil)))
		Expect(a.Table().Endpoints()).To(HaveLen(3))
	})
})
