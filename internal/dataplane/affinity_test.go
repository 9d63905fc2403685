package dataplane

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

var _ = Describe("the affinity of a request", func() {
	affinityOf := func(model, prefix string) uint64 {
		q := request{route: &fleetconfig.Route{StickySessions: true}, model: model, promptPrefix: parsePromptPrefix(prefix)}
		return q.affinity()
	}
	const long = "a1:1000,b2:3000,c3:200"

	It("is equal for requests that share all segments but the last", func() {
		Expect(affinityOf("m", "a1:1000,b2:3000,c3:200")).To(Equal(affinityOf("m", "a1:1000,b2:3000,d4:900")))
		Expect(affinityOf("m", long)).NotTo(BeZero())
	})

	DescribeTable("differs",
		func(model, prefix string) { Expect(affinityOf(model, prefix)).NotTo(Equal(affinityOf("m", long))) },
		Entry("for another model", "n", long),
		Entry("for another shared segment", "m", "a1:1000,b9:3000,c3:200"),
		Entry("for another order", "m", "b2:3000,a1:1000,c3:200"),
		Entry("for fewer shared segments", "m", "a1:4000,c3:200"),
	)

	DescribeTable("is none",
		func(prefix string) { Expect(affinityOf("m", prefix)).To(BeZero()) },
		Entry("if too few tokens are shared", "a1:120,b2:80,c3:9000"),
		Entry("if the only segment is not shared", "c3:9000"),
		Entry("without the header", ""),
	)

	It("is none on routes without sticky sessions", func() {
		q := request{route: &fleetconfig.Route{}, model: "m", promptPrefix: parsePromptPrefix(long)}
		Expect(q.affinity()).To(BeZero())
	})
})
