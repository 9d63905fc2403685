package coordination

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the history of a group", func() {
	const most = 10
	var m *machine
	BeforeEach(func() {
		m = newMachine()
		for _, value := range []string{"1", "2", "3", "4"} {
			m.do(put("g.a", value))
		}
	})

	DescribeTable("has each put above a revision, or says that it begins later",
		func(floor, after uint64, most int, first, upTo uint64, ok bool) {
			m.do(dropHistory("g.", floor))
			events, reached, found := m.EventsAfter("g.", after, most)
			Expect(found).To(Equal(ok))
			Expect(reached).To(Equal(upTo))
			for i, event := range events {
				Expect(event.Revision).To(Equal(first + uint64(i)))
			}
			if ok && upTo > after {
				Expect(events).To(HaveLen(int(upTo - after)))
			}
		},
		Entry("all", uint64(0), uint64(0), most, uint64(1), uint64(4), true),
		Entry("some", uint64(0), uint64(2), most, uint64(3), uint64(4), true),
		Entry("none at the latest revision", uint64(0), uint64(4), most, uint64(0), uint64(4), true),
		Entry("none above a revision that is not reached yet", uint64(0), uint64(9), most, uint64(0), uint64(9), true),
		Entry("at most a number of them", uint64(0), uint64(1), 2, uint64(2), uint64(3), true),
		Entry("at the floor", uint64(2), uint64(2), most, uint64(3), uint64(4), true),
		Entry("below the floor", uint64(2), uint64(1), most, uint64(0), uint64(0), false),
		Entry("at the floor of an empty history", uint64(4), uint64(4), most, uint64(0), uint64(4), true),
		Entry("below the floor of an empty history", uint64(9), uint64(3), most, uint64(0), uint64(0), false),
	)

	It("is empty for a group that does not exist", func() {
		events, upTo, ok := m.EventsAfter("x.", 5, most)
		Expect(events).To(BeEmpty())
		Expect(upTo).To(Equal(uint64(5)))
		Expect(ok).To(BeTrue())
	})

	It("does not bring back what was dropped, and goes on after it", func() {
		m.do(dropHistory("g.", 3))
		before := m.State
		m.do(dropHistory("g.", 2))
		m.do(dropHistory("x.", 2))
		Expect(m.State).To(BeIdenticalTo(before))
		Expect(m.do(put("g.b", "5")).Revision).To(Equal(uint64(5)))
		events, _, ok := m.EventsAfter("g.", 3, most)
		Expect(ok).To(BeTrue())
		Expect(events).To(Equal([]Event{{"g.a", "4", 4}, {"g.b", "5", 5}}))
	})

	It("keeps the cells whose puts are dropped", func() {
		m.do(dropHistory("g.", 4))
		Expect(m.ReadCell("g.a")).To(Equal(Result{Value: "4", Revision: 4, Found: true}))
		Expect(m.Counts().Events).To(BeZero())
	})
})

var _ = Describe("the retention", func() {
	const keep = 10 * time.Second
	var m *machine
	var retention *Retention
	BeforeEach(func() {
		m, retention = newMachine(), NewRetention(keep)
		m.do(put("g.a", "1"))
	})

	It("names what the head has seen for longer than the time to keep it, and nothing later", func() {
		Expect(retention.Sample(0, m.State)).To(BeNil())
		m.do(put("g.a", "2"))
		Expect(retention.Sample(keep, m.State)).To(BeNil(), "revision 1 was seen exactly that long ago")
		Expect(retention.Sample(keep+1, m.State)).To(Equal(map[string]uint64{"g.": 1}))
		Expect(retention.Sample(2*keep+1, m.State)).To(Equal(map[string]uint64{"g.": 2}))
	})

	It("names no floor that is reached already", func() {
		retention.Sample(0, m.State)
		m.do(dropHistory("g.", 1))
		Expect(retention.Sample(keep+1, m.State)).To(BeNil())
	})

	It("begins anew at a head that was another member's successor", func() {
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
