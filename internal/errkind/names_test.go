package errkind

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the names of the kinds", func() {
	It("are there for each kind, all different and fit for a label", func() {
		seen := map[string]bool{}
		for kind := Kind(0); kind < numKinds; kind++ {
			Expect(kind.Name()).To(MatchRegexp(`^[a-z_]+$`))
			Expect(seen).NotTo(HaveKey(kind.Name()))
			seen[kind.Name()] = true
		}
	})

	It("are that of Internal for a kind of a newer build", func() {
		Expect(numKinds.Name()).To(Equal("internal"))
		Expect(Kind(-1).Name()).To(Equal("internal"))
	})
})
