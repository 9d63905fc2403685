package dataplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

var _ = Describe("short prompts", func() {
	var sizes promptSizes
	BeforeEach(func() { sizes = promptSizes{} })
	note := func(service string, times int, tokens float64) (size promptSize) {
		for range times {
			size = sizes.note(service, tokens)
		}
		return size
	}

	It("are those well below the mean of their service, large ones those well above", func() {
		note("s", 20, 9000)
		note("s", 20, 800)
		Expect(sizes.note("s", 800)).To(Equal(shortPrompt))
		Expect(sizes.note("s", 4000)).To(Equal(middlingPrompt))
		Expect(sizes.note("s", 9000)).To(Equal(middlingPrompt))
		Expect(sizes.note("s", 18000)).To(Equal(largePrompt))
		Expect(note("t", 20, 9000)).To(Equal(middlingPrompt))
		Expect(sizes.note("t", 4000)).To(Equal(shortPrompt), "each service has a mean of its own")
	})

	It("are none where nothing is known yet, all are alike or no size is told", func() {
		Expect(sizes.note("s", 1)).To(Equal(middlingPrompt))
		Expect(note("t", 200, 900)).To(Equal(middlingPrompt))
		Expect(note("t", 200, 0)).To(Equal(middlingPrompt))
	})

	It("follow what is asked for", func() {
		note("s", 200, 9000)
		Expect(sizes.note("s", 900)).To(Equal(shortPrompt))
		Expect(note("s", 500, 900)).To(Equal(middlingPrompt))
	})

	DescribeTable("rank before long ones, beside the rank of their route",
		func(priority float64, size promptSize, expected int) {
			q := request{route: &fleetconfig.Route{Priority: priority}, size: size}
			Expect(q.priority()).To(Equal(expected))
		},
		Entry("the most urgent", 0.0, shortPrompt, 0), Entry("short", 2.0, shortPrompt, 2), Entry("short, of a low rank", 8.0, shortPrompt, 2),
		Entry("large, of the most urgent", 0.0, largePrompt, 3), Entry("large, of a low rank", 8.0, largePrompt, 5),
		Entry("middling, of the most urgent", 0.0, middlingPrompt, 6), Entry("middling", 2.0, middlingPrompt, 8),
		Entry("middling, of a low rank", 9.0, middlingPrompt, 9),
	)
})
