package controlplane

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/fleetconfig"
	"dykering/internal/protocol"
	"dykering/internal/ringlog"
)

// count is a value that tells how many operations it has seen.
func countOperations(value any, _ []byte) any {
	seen := value.(*fleetconfig.State).Document.Version
	return &fleetconfig.State{Document: fleetconfig.Document{Version: seen + 1}}
}

// alone makes the state of a process that is the only member of its core, and that runs nothing.
func singleMember() (*Server, chain.Config, chain.Output) {
	view := chain.View{Number: 1, Voters: []chain.Member{{ID: "a", Address: "a"}}, Chain: []chain.MemberID{"a"}}
	config := chain.Config{Self: view.Voters[0], Apply: countOperations, Jitter: func(d time.Duration) time.Duration { return d }}
	s := &Server{log: slog.New(slog.DiscardHandler), endpointLoads: newEndpointLoadTable(), subscribers: map[*subscriber]bool{}}
	s.placement = newPlacementController(s)
	var out chain.Output
	s.chain, out = chain.NewGenesis(config, 0, view, &fleetconfig.State{})
	return s, config, out
}

var _ = Describe("a disk that has stalled for long", func() {
	It("loses no record: the next that is taken stands for those that were not", func() {
		ring, _, err := ringlog.Open(ringlog.Options{Directory: GinkgoT().TempDir(), Files: 3, FileSize: 1 << 16})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ring.Close)
		p, config, out := singleMember()
		p.chainStore = newChainStore(ring, p.log, nil)
		p.chainStore.jobs = make(chan storeJob, 2)
		p.persist(out.Records, nil)
		for range 5 { // more than the queue takes
			_, out, ok := p.chain.Propose([]byte("x"))
			Expect(ok).To(BeTrue())
			p.persist(out.Records, nil)
		}
		var payloads [][]byte
		drain := func() {
			for len(p.chainStore.jobs) > 0 {
				for _, record := range (<-p.chainStore.jobs).records {
					if record.Rotate {
						payloads = nil
					}
					payloads = append(payloads, record.Payload)
				}
			}
		}
		drain()
		_, out, _ = p.chain.Propose([]byte("x"))
		p.persist(out.Records, nil)
		drain()
		records, err := decodeRecords(payloads)
		Expect(err).NotTo(HaveOccurred())
		Expect(chain.Restore(config, 0, records).LatestState().Value).To(HaveField("Document.Version", int64(6)))
	})
})

var _ = Describe("a copy on disk that cannot be decoded", func() {
	DescribeTable("is discarded: the member joins as a new one",
		func(spoil func(*ringlog.Ring)) {
			options := ringlog.Options{Directory: GinkgoT().TempDir() + "/chain", Files: 3, FileSize: 1 << 16}
			ring, _, err := ringlog.Open(options)
			Expect(err).NotTo(HaveOccurred())
			spoil(ring)
			ring.Close()
			ring, records, discarded, err := openRecords(options, slog.New(slog.DiscardHandler))
			Expect(err).NotTo(HaveOccurred())
			Expect(records).To(BeEmpty())
			Expect(discarded).To(BeTrue())
			Expect(ring.Append([]ringlog.Record{{Payload: []byte("x"), Rotate: true}})).To(Succeed())
			ring.Close()
		},
		Entry("bytes that are no gob", func(ring *ringlog.Ring) {
			Expect(ring.Append([]ringlog.Record{{Payload: []byte("no gob"), Rotate: true}})).To(Succeed())
		}),
		Entry("a record cut short", func(ring *ringlog.Ring) {
			payload, err := newRecordEncoder().encode(chain.LeaseRecord{Token: 7})
			Expect(err).NotTo(HaveOccurred())
			Expect(ring.Append([]ringlog.Record{{Payload: payload[:len(payload)-3], Rotate: true}})).To(Succeed())
		}),
	)
})

var _ = Describe("a member that has discarded its copy", func() {
	It("joins as a new one, also where the settings still name a first start", func() {
		m := newMembers(1)[0]
		options := ringOptions(m.settings.DataDirectory, m.settings.Limits.DiskMB)
		ring, _, err := ringlog.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Append([]ringlog.Record{{Payload: []byte("no gob"), Rotate: true}})).To(Succeed())
		ring.Close()
		p := &Server{settings: m.settings, timing: newTiming(&m.settings), log: slog.New(slog.DiscardHandler), origin: time.Now()}
		Expect(p.restoreChain()).To(Succeed())
		DeferCleanup(p.chainStore.ring.Close)
		own := m.settings.InternalAddress(m.settings.IPAddress)
		Expect(p.chain.Self().ID).NotTo(Equal(genesisID(own)), "the one that may have voted")
		Expect(p.chain.View().Number).To(BeZero())
	})
})

var _ = Describe("a sidecar whose stream has ended", func() {
	It("is not heard any more: it tells another control sidecar of its calls", func() {
		p, _, _ := singleMember()
		s := &subscriber{name: "p1", updates: make(chan protocol.Update, 1)}
		p.subscribers[s] = true
		p.removeSubscriber(s)
		p.onSubscriberMessage(s, protocol.DemandReport{From: "p1", Loads: []protocol.EndpointLoad{{ID: "a", InFlight: 1}}})
		Expect(p.endpointLoads.localTotals(0)).To(BeEmpty())
	})
})
