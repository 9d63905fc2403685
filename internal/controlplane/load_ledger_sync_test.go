package controlplane

import (
	"io"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/nodefile"
	"dykering/internal/protocol"
)

var _ = Describe("the load ledger at a change of the lease holder", func() {
	var controller *placementController
	BeforeEach(func() {
		settings := nodefile.Settings{}
		settings.Bounds.CeilingWindowS, settings.Bounds.OriginRateOvershoot = 5, 1.1
		controller = newPlacementController(&Server{settings: settings, log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	})

	It("is kept by a holder that regains the lease before another member has held it", func() {
		controller.fencingToken = 1
		controller.ledger.RecordStart(9 * time.Second)
		controller.onLeaseAcquired(10*time.Second, 1)
		Expect(controller.ledger.Ages(10 * time.Second)).To(Equal([]time.Duration{time.Second}))
	})

	It("counts a peer's loads as started as late as they may have been", func() {
		controller.applyPeerLedger(10*time.Second, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{200, 0}})
		Expect(controller.peerLedger).To(Equal(receivedLedger{token: 4, receivedAt: 10 * time.Second, loadsStarted: []time.Duration{8 * time.Second, 10 * time.Second}}))
	})

	It("ignores the ledger of an earlier lease", func() {
		controller.applyPeerLedger(10*time.Second, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{100}})
		controller.applyPeerLedger(11*time.Second, protocol.LoadLedgerSync{Token: 3, Ages: []uint16{0, 0}})
		Expect(controller.peerLedger.token).To(Equal(uint64(4)))
		Expect(controller.peerLedger.loadsStarted).To(HaveLen(1))
	})

	It("counts a load on the origin until its expected end, and again when its end is overdue", func() {
		order := inFlightOrder{expectedEnd: 10 * time.Second}
		Expect(order.usesOrigin(9 * time.Second)).To(BeTrue())
		Expect(order.usesOrigin(10*time.Second + maxReportAge)).To(BeFalse())
		Expect(order.usesOrigin(10*time.Second + maxReportAge + completionPollInterval + time.Millisecond)).To(BeTrue())
	})
})
