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

var _ = Describe("the account of loads at a change of holder", func() {
	var pl *placementController
	BeforeEach(func() {
		settings := nodefile.Settings{}
		settings.Bounds.CeilingWindowS, settings.Bounds.OriginRateOvershoot = 5, 1.1
		pl = newPlacementController(&Server{settings: settings, log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	})

	It("is kept by a holder that loses the role and has it back before anyone else had it", func() {
		pl.fencingToken = 1
		pl.ledger.RecordStart(9 * time.Second)
		pl.onLeaseAcquired(10*time.Second, 1)
		Expect(pl.ledger.Ages(10 * time.Second)).To(Equal([]time.Duration{time.Second}))
	})

	It("takes loads to have begun as late as they can have", func() {
		pl.applyPeerLedger(10*time.Second, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{200, 0}})
		Expect(pl.peerLedger).To(Equal(receivedLedger{token: 4, receivedAt: 10 * time.Second, loadsStarted: []time.Duration{8 * time.Second, 10 * time.Second}}))
	})

	It("does not listen to a holder of before", func() {
		pl.applyPeerLedger(10*time.Second, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{100}})
		pl.applyPeerLedger(11*time.Second, protocol.LoadLedgerSync{Token: 3, Ages: []uint16{0, 0}})
		Expect(pl.peerLedger.token).To(Equal(uint64(4)))
		Expect(pl.peerLedger.loadsStarted).To(HaveLen(1))
	})

	It("counts a load for the store until it should have ended, and again once that should have been heard", func() {
		order := inFlightOrder{expectedEnd: 10 * time.Second}
		Expect(order.usesOrigin(9 * time.Second)).To(BeTrue())
		Expect(order.usesOrigin(10*time.Second + maxReportAge)).To(BeFalse())
		Expect(order.usesOrigin(10*time.Second + maxReportAge + completionPollInterval + time.Millisecond)).To(BeTrue())
	})
})
