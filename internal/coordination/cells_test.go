package coordination

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/errkind"
)

var _ = DescribeTable("the group of a cell is its name up to the first dot",
	func(name, group string) { Expect(GroupOf(name)).To(Equal(group)) },
	Entry("with a dot", "g1.2d", "g1."),
	Entry("with several", "g1.a.b", "g1."),
	Entry("without one", "g1", "g1"),
	Entry("with one at the begin", ".a", "."),
	Entry("with one at the end", "g1.", "g1."),
)

var _ = Describe("a cell", func() {
	var m *machine
	BeforeEach(func() { m = newMachine() })

	It("is read with the revision of its latest put, and at revision 0 before the first", func() {
		Expect(m.ReadCell("g.a")).To(Equal(Result{}))
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		m.do(put("g.a", "3"))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Value: "3", Revision: 3, Found: true}))
		Expect(m.ReadCell("g.b")).To(Equal(Result{Value: "2", Revision: 2, Found: true}))
	})

	It("may have the empty value", func() {
		m.do(put("g.a", ""))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Revision: 1, Found: true}))
		Expect(m.do(put("g.a", "")).Revision).To(Equal(uint64(1)))
	})

	It("shares the count of revisions with its group alone", func() {
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(put("g.b", "2")).Revision).To(Equal(uint64(2)))
		Expect(m.do(put("h.a", "3")).Revision).To(Equal(uint64(1)))
		Expect(m.do(put("g", "4")).Revision).To(Equal(uint64(1)))
		Expect(m.ReadGroup("g.")).To(Equal(Result{Revision: 2, Found: true}))
		Expect(m.ReadGroup("x.")).To(Equal(Result{}))
	})

	It("answers a put that comes again with its first revision, also after later puts", func() {
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

	It("answers a put that comes again with its first revision where only the value remains of it", func() {
		m.do(put("g.a", "1"))
		m.do(put("g.b", "2"))
		m.do(dropHistory("g.", 2))
		Expect(m.do(put("g.a", "1")).Revision).To(Equal(uint64(1)))
		Expect(m.do(putIf("g.a", "1", 9)).Revision).To(Equal(uint64(1)))
	})

	It("takes a put that neither the history nor the cell has any more as a new one, at restored replicas too", func() {
		m.do(put("g.a", "1"))
		m.do(put("g.a", "2"))
		m.do(dropHistory("g.", 1))
		data, err := m.GobEncode()
		Expect(err).NotTo(HaveOccurred())
		restored := &machine{&State{}}
		Expect(restored.GobDecode(data)).To(Succeed())
		for _, replica := range []*machine{m, restored} {
			Expect(replica.do(put("g.a", "1")).Revision).To(Equal(uint64(3)))
		}
	})

	It("takes the same value for another cell as another put", func() {
		m.do(put("g.a", "1"))
		Expect(m.do(put("g.b", "1")).Revision).To(Equal(uint64(2)))
	})

	DescribeTable("takes a conditional put only at the revision that it names",
		func(revision uint64, taken bool) {
			m.do(put("g.x", "0"))
			m.do(put("g.a", "1"))
			if taken {
				Expect(m.do(putIf("g.a", "2", revision)).Revision).To(Equal(uint64(3)))
				return
			}
			Expect(m.reject(putIf("g.a", "2", revision), errkind.RevisionConflict).Revision).To(Equal(uint64(2)))
		},
		Entry("the cell's", uint64(2), true),
		Entry("0, as if it did not exist", uint64(0), false),
		Entry("an earlier one of the group", uint64(1), false),
		Entry("a later one", uint64(3), false),
	)

	It("that does not exist takes a conditional put at revision 0 alone", func() {
		Expect(m.reject(putIf("g.a", "1", 1), errkind.RevisionConflict).Revision).To(BeZero())
		Expect(m.do(putIf("g.a", "1", 0)).Revision).To(Equal(uint64(1)))
	})
})

var _ = Describe("a number", func() {
	It("rises by one for each call, by its own count", func() {
		m := newMachine()
		for want := uint64(1); want <= 3; want++ {
			Expect(m.do(next("n")).Number).To(Equal(want))
		}
		Expect(m.do(next("o")).Number).To(Equal(uint64(1)))
	})
})
