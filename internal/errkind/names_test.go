package errkind

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the names of the kinds", func() {
	It("exist for each kind, are unique and are valid label values", func() {
		seen := map[string]bool{}
		for kind := Kind(0); kind < numKinds; kind++ {
			Expect(kind.Name()).To(MatchRegexp(`^[a-z_]+$`))
			Expect(seen).NotTo(HaveKey(kind.Name()))
			seen[kind.Name()] = true
		}
	})

	It("fall back to the name of Internal for unknown kinds", func() {
		Expect(numKinds.Name()).To(Equal("internal"))
		Expect(Kind(-1).Name()).To(Equal("internal"))
	})
})
