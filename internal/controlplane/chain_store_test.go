package controlplane

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/chain"
	"dykering/internal/ringlog"
)

var _ = Describe("a chain store whose queue has overflowed", func() {
	It("begins the next file with a snapshot that contains the dropped records", func() {
		ring, _, err := ringlog.Open(ringlog.Options{Directory: GinkgoT().TempDir(), Files: 3, FileSize: 1 << 16})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ring.Close)
		server, config, out := newSingleMember()
		server.chainStore = newChainStore(ring, server.log, nil)
		server.chainStore.jobs = make(chan storeJob, 2)
		server.persist(out.Records, nil)
		for range 5 { // more records than the queue has room for
			_, out, ok := server.chain.Propose([]byte("x"))
			Expect(ok).To(BeTrue())
			server.persist(out.Records, nil)
		}
		var payloads [][]byte
		drain := func() {
			for len(server.chainStore.jobs) > 0 {
				for _, record := range (<-server.chainStore.jobs).records {
					if record.Rotate {
						payloads = nil
					}
					payloads = append(payloads, record.Payload)
				}
			}
		}
		drain()
		_, out, _ = server.chain.Propose([]byte("x"))
		server.persist(out.Records, nil)
		drain()
		records, err := decodeRecords(payloads)
		Expect(err).NotTo(HaveOccurred())
		Expect(chain.Restore(config, 0, records).LatestState().Value).To(HaveField("Document.Version", int64(6)))
	})
})

var _ = Describe("a chain store whose records cannot be decoded", func() {
	DescribeTable("is deleted and created again, empty",
		func(corrupt func(*ringlog.Ring)) {
			options := ringlog.Options{Directory: GinkgoT().TempDir() + "/chain", Files: 3, FileSize: 1 << 16}
			ring, _, err := ringlog.Open(options)
			Expect(err).NotTo(HaveOccurred())
			corrupt(ring)
			ring.Close()
			ring, records, discarded, err := openRecords(options, slog.New(slog.DiscardHandler))
			Expect(err).NotTo(HaveOccurred())
			Expect(records).To(BeEmpty())
			Expect(discarded).To(BeTrue())
			Expect(ring.Append([]ringlog.Record{{Payload: []byte("x"), Rotate: true}})).To(Succeed())
			ring.Close()
		},
		Entry("bytes that are not gob", func(ring *ringlog.Ring) {
			Expect(ring.Append([]ringlog.Record{{Payload: []byte("no gob"), Rotate: true}})).To(Succeed())
		}),
		Entry("a truncated record", func(ring *ringlog.Ring) {
			payload, err := newRecordEncoder().encode(chain.LeaseRecord{Token: 7})
			Expect(err).NotTo(HaveOccurred())
			Expect(ring.Append([]ringlog.Record{{Payload: payload[:len(payload)-3], Rotate: true}})).To(Succeed())
		}),
	)
})

var _ = Describe("a member that has discarded its records", func() {
	It("joins under a new ID even if initial_start is set", func() {
		m := newMembers(1)[0]
		options := ringOptions(m.settings.DataDirectory, m.settings.Limits.DiskMB)
		ring, _, err := ringlog.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(ring.Append([]ringlog.Record{{Payload: []byte("no gob"), Rotate: true}})).To(Succeed())
		ring.Close()
		server := &Server{settings: m.settings, timing: newTiming(&m.settings), log: slog.New(slog.DiscardHandler), origin: time.Now()}
		Expect(server.restoreChain()).To(Succeed())
		DeferCleanup(server.chainStore.ring.Close)
		own := m.settings.InternalAddress(m.settings.IPAddress)
		Expect(server.chain.Self().ID).NotTo(Equal(genesisID(own)), "the genesis ID may have voted")
		Expect(server.chain.View().Number).To(BeZero())
	})
})
