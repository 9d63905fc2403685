package placement

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("demand", func() {
	It("counts an adapter's requests for its model too, but not its unplaced ones", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", "a1"), Requests: 3, Unplaced: 1, InFlight: 2, Waiting: 1}})
		demand.Report(now, "p2", []Sample{{Key: key("hot", ""), Requests: 3, InFlight: 4, Waiting: 4}})
		estimate := demand.Estimate(now, key("hot", ""))
		Expect(estimate.InFlight).To(Equal(6))
		Expect(estimate.Waiting).To(Equal(5))
		Expect(estimate.Unplaced).To(BeFalse())
		Expect(estimate.Rate).To(BeNumerically("~", 2, 0.01))
		Expect(demand.Estimate(now, key("hot", "a1")).Unplaced).To(BeTrue())
	})

	It("does not count the requests in flight of a proxy whose report has expired", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 2}})
		demand.Expire(now + inFlightTTL)
		Expect(demand.Estimate(now+inFlightTTL, key("hot", "")).InFlight).To(Equal(0))
	})

	It("counts only the last report of a proxy", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 2}, {Key: key("warm", ""), InFlight: 1}})
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 3}})
		Expect(demand.Estimate(now, key("hot", "")).InFlight).To(Equal(3))
		Expect(demand.Estimate(now, key("warm", "")).InFlight).To(Equal(0))
	})

	It("removes keys without requests after their TTL", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), Requests: 1}})
		demand.Expire(now + keyTTL + 1)
		Expect(demand.Keys("s")).To(BeEmpty())
	})
})
