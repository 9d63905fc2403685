package coordination

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = DescribeTable("the group of a cell is its name up to and including the first dot",
	func(name, group string) { Expect(GroupOf(name)).To(Equal(group)) },
	Entry("with a dot", "g1.2d", "g1."),
	Entry("with several dots", "g1.a.b", "g1."),
	Entry("without a dot", "g1", "g1"),
	Entry("with a dot at the start", ".a", "."),
	Entry("with a dot at the end", "g1.", "g1."),
)

var _ = Describe("a cell", func() {
	var m *stateMachine
	BeforeEach(func() { m = newStateMachine() })

	It("is read with the revision of its latest put, and with revision 0 before the first put", func() {
		Expect(m.ReadCell("g.a")).To(Equal(Result{}))
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		m.do(put("g.a", "3"))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Value: "3", Revision: 3, Found: true}))
		Expect(m.ReadCell("g.b")).To(Equal(Result{Value: "2", Revision: 2, Found: true}))
	})

	It("may have an empty value", func() {
		m.do(put("g.a", ""))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Revision: 1, Found: true}))
		Expect(m.do(put("g.a", "")).Revision).To(Equal(uint64(1)))
	})

	It("shares the revision counter only with the cells of its group", func() {
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(put("g.b", "2")).Revision).To(Equal(uint64(2)))
		Expect(m.do(put("h.a", "3")).Revision).To(Equal(uint64(1)))
		Expect(m.do(put("g", "4")).Revision).To(Equal(uint64(1)))
		Expect(m.ReadGroup("g.")).To(Equal(Result{Revision: 2, Found: true}))
		Expect(m.ReadGroup("x.")).To(Equal(Result{}))
	})

	It("answers a repeated put with its first revision, even after later puts", func() {
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		m.do(put("g.a", "3"))
		before := m.State
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(putIf("g.a", "1", 0)).Revision).To(Equal(uint64(1)))
		Expect(m.State).To(BeIdenticalTo(before))
		Expect(m.ReadCell("g.a").Value).To(Equal("3"))
	})

	It("answers a repeated put of the current value with its first revision, even if the history was dropped", func() {
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		m.do(dropHistory("g.", 2))
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(putIf("g.a", "1", 9)).Revision).To(Equal(uint64(1)))
	})

	It("treats a put that is neither in the history nor current as new, at restored replicas too", func() {
		m.do(put("g.a", "1"))
		m.do(put("g.a", "2"))
		m.do(dropHistory("g.", 1))
		data, err := m.GobEncode()
		Expect(err).NotTo(HaveOccurred())
		restored := &stateMachine{&State{}}
		Expect(restored.GobDecode(data)).To(Succeed())
		for _, replica := range []*stateMachine{m, restored} {
			Expect(replica.do(put("g.a", "1")).Revision).To(Equal(uint64(3)))
		}
	})

	It("treats the same value for another cell as a different put", func() {
		m.do(put("g.a", "1"))
		Expect(m.do(put("g.b", "1")).Revision).To(Equal(uint64(2)))
	})

	DescribeTable("accepts a conditional put only at the revision that the put requires",
		func(revision uint64, accepted bool) {
			m.do(put("g.x", "0"))
			m.do(put("g.a", "1"))
			if accepted {
				Expect(m.do(putIf("g.a", "2", revision)).Revision).To(Equal(uint64(3)))
				return
			}
			Expect(m.reject(putIf("g.a", "2", revision), errkind.RevisionConflict).Revision).To(Equal(uint64(2)))
		},
		Entry("the revision of the cell", uint64(2), true),
		Entry("0, as if the cell did not exist", uint64(0), false),
		Entry("an earlier revision of the group", uint64(1), false),
		Entry("a later revision", uint64(3), false),
	)

	It("that does not exist accepts a conditional put only at revision 0", func() {
		Expect(m.reject(putIf("g.a", "1", 1), errkind.RevisionConflict).Revision).To(BeZero())
		Expect(m.do(putIf("g.a", "1", 0)).Revision).To(Equal(uint64(1)))
	})
})

var _ = Describe("a number", func() {
	It("increases by one with each call, independently of other numbers", func() {
		m := newStateMachine()
		for want := uint64(1); want <= 3; want++ {
			Expect(m.do(next("n")).Number).To(Equal(want))
		}
		Expect(m.do(next("o")).Number).To(Equal(uint64(1)))
	})
})
