package chain

import (
	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

var _ = Describe("the version of operations", func() {
	var head *Node
	BeforeEach(func() {
		head = chainOf("a", "b", "c")[0]
		head.config.OperationVersion = 2
	})

	It("is the lowest version that a member of the chain understands", func() {
		answerAs(head, "b", 0, Status{View: 1, OperationVersion: 1})
		answerAs(head, "c", 0, Status{View: 1, OperationVersion: 3})
		Expect(head.OperationVersion()).To(Equal(1))
		answerAs(head, "b", 0, Status{View: 1, OperationVersion: 2})
		Expect(head.OperationVersion()).To(Equal(2))
	})

	It("is 0 while a member of the chain has not reported a status, or runs a build that reports no version", func() {
		answerAs(head, "b", 0, Status{View: 1, OperationVersion: 2})
		Expect(head.OperationVersion()).To(BeZero())
		answerAs(head, "c", 0, Status{View: 1})
		Expect(head.OperationVersion()).To(BeZero())
	})
})
