package dataplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

var _ = Describe("short prompts", func() {
	var sizes promptSizes
	BeforeEach(func() { sizes = promptSizes{} })
	note := func(service string, times int, tokens float64) (short bool) {
		for range times {
			short = sizes.note(service, tokens)
		}
		return short
	}

	It("are those well below the mean of their service", func() {
		note("s", 20, 9000)
		note("s", 20, 800)
		Expect(sizes.note("s", 800)).To(BeTrue())
		Expect(sizes.note("s", 4000)).To(BeFalse())
		Expect(sizes.note("s", 9000)).To(BeFalse())
		Expect(note("t", 20, 9000)).To(BeFalse())
		Expect(sizes.note("t", 4000)).To(BeTrue(), "each service has a mean of its own")
	})

	It("are none where nothing is known yet, all are alike or no size is told", func() {
		Expect(sizes.note("s", 1)).To(BeFalse())
		Expect(note("t", 200, 900)).To(BeFalse())
		Expect(note("t", 200, 0)).To(BeFalse())
	})

	It("follow what is asked for", func() {
		note("s", 200, 9000)
		Expect(sizes.note("s", 900)).To(BeTrue())
		Expect(note("s", 500, 900)).To(BeFalse())
	})

	DescribeTable("rank before long ones, beside the rank of their route",
		func(priority float64, short bool, expected int) {
			q := request{route: &fleetconfig.Route{Priority: priority}, short: short}
			Expect(q.priority()).To(Equal(expected))
		},
		Entry("the most urgent", 0.0, true, 0), Entry("short", 2.0, true, 2), Entry("short, of a low rank", 8.0, true, 2),
		Entry("long, of the most urgent", 0.0, false, 3), Entry("long", 2.0, false, 5), Entry("long, of a low rank", 9.0, false, 9),
	)
})
