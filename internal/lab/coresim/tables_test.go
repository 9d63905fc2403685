package coresim

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the control plane with sessions and placement in generated schedules of faults", func() {
	It("violates no guarantee", func() {
		const schedules = 60
		if failure, _ := SearchWithCoverage(1, schedules, Options{Placement: true, Sessions: true}, nil); failure != nil {
			smallest := Shrink(*failure)
			Fail(smallest.Err.Error() + "\n" + describe(smallest.Schedule))
		}
	})

	// Two searches begin shortly before a seed that finds the flaw, to save time: from seed 1 on they run 187 and 50 schedules.
	DescribeTable("violates a guarantee with a planted flaw",
		func(flaw Flaw, first uint64) {
			const schedules = 1000
			Expect(SearchFlaw(first, schedules, flaw)).NotTo(BeNil())
		},
		Entry(string(OrderWithoutLease), OrderWithoutLease, uint64(1)),
		Entry(string(ForgetLedger), ForgetLedger, uint64(190)),
		Entry(string(AckDepartureAtOnce), AckDepartureAtOnce, uint64(1)),
		Entry(string(ServeBeforeSync), ServeBeforeSync, uint64(45)),
	)
})
