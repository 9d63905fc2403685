package dataplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

var _ = Describe("prompt sizes", func() {
	var sizes promptSizes
	BeforeEach(func() { sizes = promptSizes{} })
	observeRepeatedly := func(service string, times int, tokens float64) (size promptSize) {
		for range times {
			size = sizes.observe(service, tokens)
		}
		return size
	}

	It("are short well below the mean of the service, and large well above it", func() {
		observeRepeatedly("s", 20, 9000)
		observeRepeatedly("s", 20, 800)
		Expect(sizes.observe("s", 800)).To(Equal(shortPrompt))
		Expect(sizes.observe("s", 4000)).To(Equal(mediumPrompt))
		Expect(sizes.observe("s", 9000)).To(Equal(mediumPrompt))
		Expect(sizes.observe("s", 18000)).To(Equal(largePrompt))
		Expect(observeRepeatedly("t", 20, 9000)).To(Equal(mediumPrompt))
		Expect(sizes.observe("t", 4000)).To(Equal(shortPrompt), "the mean is that of the service t")
	})

	It("are medium if too few are known, all are equal or none is reported", func() {
		Expect(sizes.observe("s", 1)).To(Equal(mediumPrompt))
		Expect(observeRepeatedly("t", 200, 900)).To(Equal(mediumPrompt))
		Expect(observeRepeatedly("t", 200, 0)).To(Equal(mediumPrompt))
	})

	It("follow a change of the mean", func() {
		observeRepeatedly("s", 200, 9000)
		Expect(sizes.observe("s", 900)).To(Equal(shortPrompt))
		Expect(observeRepeatedly("s", 500, 900)).To(Equal(mediumPrompt))
	})

	DescribeTable("determine the range of priorities, in which the route's priority decides",
		func(priority float64, size promptSize, expected int) {
			q := request{route: &fleetconfig.Route{Priority: priority}, promptSize: size}
			Expect(q.priority()).To(Equal(expected))
		},
		Entry("short, most urgent", 0.0, shortPrompt, 0), Entry("short", 2.0, shortPrompt, 2),
		Entry("short, of a low priority", 8.0, shortPrompt, 2),
		Entry("large, most urgent", 0.0, largePrompt, 3), Entry("large, of a low priority", 8.0, largePrompt, 5),
		Entry("medium, most urgent", 0.0, mediumPrompt, 6), Entry("medium", 2.0, mediumPrompt, 8),
		Entry("medium, of a low priority", 9.0, mediumPrompt, 9),
	)
})
