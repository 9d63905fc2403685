package orders

import (
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"

	"dykering/internal/protocol"
)

var _ = Describe("the ledger of loads at a change of the lease holder", func() {
	var holder *Holder
	const rate = 2.0 // loads per second
	takeover := func() Takeover {
		return Takeover{AgreedAt: 9 * s, LoadsPerS: []float64{rate}, Address: func(string) string { return "address" }}
	}
	BeforeEach(func() { holder = NewHolder(HolderConfig{Window: 5 * s, Overshoot: 1.1, LeaseDuration: s}) })

	It("is kept by a holder that regains the same lease", func() {
		holder.UpdateLease(9*s, Lease{Token: 1, Held: true}, func() Takeover { return Takeover{IsFirst: true} })
		holder.ledger.RecordStart(9 * s)
		Expect(holder.UpdateLease(9500*ms, Lease{Token: 1}, takeover)).To(BeFalse())
		Expect(holder.UpdateLease(10*s, Lease{Token: 1, Held: true}, takeover)).To(BeTrue())
		Expect(holder.ledger.Ages(10 * s)).To(Equal([]time.Duration{s}))
	})

	It("counts a peer's loads as started at the latest possible time", func() {
		holder.ReceiveSync(10*s, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{200, 0}})
		Expect(holder.predecessor).To(Equal(receivedSync{token: 4, receivedAt: 10 * s, loadsStarted: []time.Duration{8 * s, 10 * s}}))
	})

	It("ignores the ledger of an earlier lease", func() {
		holder.ReceiveSync(10*s, protocol.LoadLedgerSync{Token: 4, Ages: []uint16{100}})
		holder.ReceiveSync(11*s, protocol.LoadLedgerSync{Token: 3, Ages: []uint16{0, 0}})
		Expect(holder.predecessor.token).To(Equal(uint64(4)))
		Expect(holder.predecessor.loadsStarted).To(HaveLen(1))
	})

	It("permits no more loads than the store over three lease holders at the rate limit", func() {
		var started []time.Duration
		now := 100 * s
		for token := uint64(2); token <= 4; token++ {
			successor := NewHolder(holder.config)
			successor.predecessor = holder.predecessor
			agreedAt := now
			now += 1500 * ms // the time until the new holder may act
			successor.UpdateLease(now, Lease{Token: token, Held: true}, func() Takeover {
				return Takeover{AgreedAt: agreedAt, LoadsPerS: []float64{rate}, Address: func(string) string { return "" }}
			})
			for actsUntil := now + 2*s; now < actsUntil; now += 50 * ms {
				for range successor.AvailableLoads(now, rate) {
					successor.ledger.RecordStart(now)
					started = append(started, now)
				}
				if now == actsUntil-s { // the state of the last second reaches no peer
					successor.ReceiveSync(now, successor.Sync(now))
				}
			}
			holder = successor
		}
		for _, windowEnd := range started {
			count := 0
			for _, at := range started {
				if at <= windowEnd && windowEnd-at < 5*s {
					count++
				}
			}
			Expect(count).To(BeNumerically("<=", int(rate*5*1.1)+3))
		}
		Expect(len(started)).To(BeNumerically(">", 5), "the later holders continue to load")
	})

	It("is sent together with the orders in flight", func() {
		first := NewHolder(holder.config)
		first.UpdateLease(s, Lease{Token: 1, Held: true}, func() Takeover { return Takeover{IsFirst: true} })
		first.machine.Begin(s, first.lease, Request{Order: loadA, Address: "address", Engine: engine})
		holder.ReceiveSync(s, first.Sync(s))
		holder.UpdateLease(10*s, Lease{Token: 2, Held: true}, takeover)
		Expect(holder.machine.InFlight()).To(ConsistOf(InFlight{Order: loadA, Address: "address"}))
	})
})
