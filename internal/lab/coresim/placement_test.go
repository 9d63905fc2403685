package coresim

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("orders to endpoints in generated schedules of faults", func() {
	It("violate no guarantee", func() {
		const schedules = 300
		if failure := SearchPlacement(1, schedules, NoFlaw, nil); failure != nil {
			smallest := Shrink(*failure)
			Fail(smallest.Err.Error() + "\n" + describe(smallest.Schedule))
		}
	})

	for _, flaw := range []Flaw{OrderWithoutLease, ForgetLedger} {
		It("find a planted flaw: "+string(flaw), func() {
			const schedules = 1000
			Expect(SearchFlaw(1, schedules, flaw)).NotTo(BeNil())
		})
	}
})
