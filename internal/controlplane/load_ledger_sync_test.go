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
	var pl *placer
	BeforeEach(func() {
		settings := nodefile.Settings{}
		settings.Bounds.CeilingWindowS, settings.Bounds.OriginRateOvershoot = 5, 1.1
		pl = newPlacer(&Process{settings: settings, log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	})

	It("is kept by a holder that loses the role and has it back before anyone else had it", func() {
		pl.token = 1
		pl.ledger.RecordStart(9 * time.Second)
		pl.take(10*time.Second, 1)
		Expect(pl.ledger.Ages(10 * time.Second)).To(Equal([]time.Duration{time.Second}))
	})

	It("takes loads to have begun as late as they can have", func() {
		pl.hear(10*time.Second, protocol.LedgerShare{Token: 4, Ages: []uint16{200, 0}})
		Expect(pl.heard).To(Equal(heardLedger{token: 4, at: 10 * time.Second, begun: []time.Duration{8 * time.Second, 10 * time.Second}}))
	})

	It("does not listen to a holder of before", func() {
		pl.hear(10*time.Second, protocol.LedgerShare{Token: 4, Ages: []uint16{100}})
		pl.hear(11*time.Second, protocol.LedgerShare{Token: 3, Ages: []uint16{0, 0}})
		Expect(pl.heard.token).To(Equal(uint64(4)))
		Expect(pl.heard.begun).To(HaveLen(1))
	})

	It("counts a load for the store until it should have ended, and again once that should have been heard", func() {
		order := orderUnderWay{ready: 10 * time.Second}
		Expect(order.loads(9 * time.Second)).To(BeTrue())
		Expect(order.loads(10*time.Second + reportLag)).To(BeFalse())
		Expect(order.loads(10*time.Second + reportLag + orderLook + time.Millisecond)).To(BeTrue())
	})
})
