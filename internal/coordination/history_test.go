package coordination

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the history of a group", func() {
	const limit = 10
	var m *stateMachine
	BeforeEach(func() {
		m = newStateMachine()
		for _, value := range []string{"1", "2", "3", "4"} {
			m.do(put("g.a", value))
		}
	})

	DescribeTable("returns each put above a revision, or reports that the history starts later",
		func(floor, after uint64, limit int, first, upTo uint64, ok bool) {
			m.do(dropHistory("g.", floor))
			events, reached, found := m.EventsAfter("g.", after, limit)
			Expect(found).To(Equal(ok))
			Expect(reached).To(Equal(upTo))
			for i, event := range events {
				Expect(event.Revision).To(Equal(first + uint64(i)))
			}
			if ok && upTo > after {
				Expect(events).To(HaveLen(int(upTo - after)))
			}
		},
		Entry("all puts", uint64(0), uint64(0), limit, uint64(1), uint64(4), true),
		Entry("some puts", uint64(0), uint64(2), limit, uint64(3), uint64(4), true),
		Entry("no puts above the latest revision", uint64(0), uint64(4), limit, uint64(0), uint64(4), true),
		Entry("no puts above a revision that is not reached yet", uint64(0), uint64(9), limit, uint64(0), uint64(9), true),
		Entry("at most the limit", uint64(0), uint64(1), 2, uint64(2), uint64(3), true),
		Entry("all puts above the floor", uint64(2), uint64(2), limit, uint64(3), uint64(4), true),
		Entry("none below the floor", uint64(2), uint64(1), limit, uint64(0), uint64(0), false),
		Entry("no puts at the floor of an empty history", uint64(4), uint64(4), limit, uint64(0), uint64(4), true),
		Entry("none below the floor of an empty history", uint64(9), uint64(3), limit, uint64(0), uint64(0), false),
	)

	It("is empty for a group that does not exist", func() {
		events, upTo, ok := m.EventsAfter("x.", 5, limit)
		Expect(events).To(BeEmpty())
		Expect(upTo).To(Equal(uint64(5)))
		Expect(ok).To(BeTrue())
	})

	It("does not restore dropped puts, and continues after them", func() {
		m.do(dropHistory("g.", 3))
		before := m.State
		m.do(dropHistory("g.", 2))
		m.do(dropHistory("x.", 2))
		Expect(m.State).To(BeIdenticalTo(before))
		Expect(m.do(put("g.b", "5")).Revision).To(Equal(uint64(5)))
		events, _, ok := m.EventsAfter("g.", 3, limit)
		Expect(ok).To(BeTrue())
		Expect(events).To(Equal([]Event{{"g.a", "4", 4}, {"g.b", "5", 5}}))
	})

	It("keeps the values of cells whose puts are dropped", func() {
		m.do(dropHistory("g.", 4))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Value: "4", Revision: 4, Found: true}))
		Expect(m.Counts().Events).To(BeZero())
	})
})

var _ = Describe("the retention", func() {
	const keep = 10 * time.Second
	var m *stateMachine
	var retention *Retention
	BeforeEach(func() {
		m, retention = newStateMachine(), NewRetention(keep)
		m.do(put("g.a", "1"))
	})

	It("returns the revisions that were sampled longer ago than the time to keep them, and no later ones", func() {
		Expect(retention.Sample(0, m.State)).To(BeNil())
		m.do(put("g.a", "2"))
		Expect(retention.Sample(keep, m.State)).To(BeNil(), "revision 1 was sampled exactly that long ago")
		Expect(retention.Sample(keep+1, m.State)).To(Equal(map[string]uint64{"g.": 1}))
		Expect(retention.Sample(2*keep+1, m.State)).To(Equal(map[string]uint64{"g.": 2}))
	})

	It("returns no floor that the group has reached already", func() {
		retention.Sample(0, m.State)
		m.do(dropHistory("g.", 1))
		Expect(retention.Sample(keep+1, m.State)).To(BeNil())
	})

	It("starts without samples after a reset", func() {
		retention.Sample(0, m.State)
		retention.Reset()
		Expect(retention.Sample(keep+1, m.State)).To(BeNil())
		Expect(retention.Sample(2*keep+2, m.State)).To(Equal(map[string]uint64{"g.": 1}))
	})

	It("keeps a bounded number of samples", func() {
		for second := range 1000 {
			retention.Sample(time.Duration(second)*time.Second, m.State)
		}
		Expect(len(retention.samples)).To(BeNumerically("<=", keep/time.Second+1))
	})
})
