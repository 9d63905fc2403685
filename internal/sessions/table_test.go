package sessions

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSessions(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the table of sessions")
}

const ttl = 4 * time.Second

func heartbeat(sequence uint64, state State) Heartbeat {
	return Heartbeat{Service: "s", Address: "10.0.0.1:80", Sequence: sequence, State: state,
		Models: []LoadedModel{{Name: "m", Version: 1, Adapters: []string{"a1"}}}}
}

var _ = Describe("the table", func() {
	var table *Table
	BeforeEach(func() { table = New(ttl) })
	state := func(id string) State {
		e, ok := table.Get(id)
		Expect(ok).To(BeTrue())
		return e.State
	}

	It("takes no heartbeat that is older than one it has", func() {
		Expect(table.ApplyHeartbeat(0, "i", heartbeat(5, Draining))).To(BeTrue())
		Expect(table.ApplyHeartbeat(1, "i", heartbeat(4, Ready))).To(BeFalse())
		Expect(state("i")).To(Equal(Draining))
	})

	It("never takes a leaving endpoint for one that is ready", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(5, Draining))
		table.ApplyHeartbeat(1, "i", heartbeat(6, Ready))
		Expect(state("i")).To(Equal(Draining))
		table.Deregister(2, "i")
		table.ApplyHeartbeat(3, "i", heartbeat(7, Draining))
		Expect(state("i")).To(Equal(Departed))
	})

	It("takes the state of a late heartbeat where that is further down", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(5, Ready))
		Expect(table.ApplyHeartbeat(1, "i", heartbeat(4, Draining))).To(BeFalse())
		Expect(state("i")).To(Equal(Draining))
		Expect(table.FlushModified(1)).To(HaveLen(1))
	})

	It("remembers that an endpoint has gone which it has never heard of", func() {
		table.Deregister(0, "i")
		table.Merge(1, Record{Endpoint: Endpoint{ID: "i", State: Ready, Heartbeat: heartbeat(5, Ready)}})
		Expect(state("i")).To(Equal(Departed))
	})

	It("tells subscribers only of what matters to them", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		revision := table.ModifyIndex()
		table.ApplyHeartbeat(time.Second, "i", heartbeat(2, Ready))
		Expect(table.ModifyIndex()).To(Equal(revision))
		table.ApplyHeartbeat(2*time.Second, "i", heartbeat(3, Draining))
		Expect(table.ModifiedSince(revision)).To(HaveLen(1))
	})

	It("holds a silent endpoint back until it is heard of again", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		table.ExpireTTLs(ttl + 1)
		Expect(state("i")).To(Equal(Expired))
		table.ApplyHeartbeat(ttl+2, "i", heartbeat(2, Ready))
		Expect(state("i")).To(Equal(Ready))
	})

	It("counts a sign of life that was heard elsewhere", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		Expect(table.Renew(5*time.Second, "i", 4, time.Second)).To(BeTrue())
		table.ExpireTTLs(6 * time.Second)
		Expect(state("i")).To(Equal(Ready))
		Expect(table.Renew(0, "unknown", 1, 0)).To(BeFalse())
	})

	It("tells others what was heard here, whatever others say meanwhile, and nothing that they said", func() {
		table.ApplyHeartbeat(0, "mine", heartbeat(1, Ready))
		table.FlushModified(0)
		table.ApplyHeartbeat(time.Second, "mine", heartbeat(2, Ready))
		table.Merge(time.Second, Record{Endpoint: Endpoint{ID: "theirs", Heartbeat: heartbeat(1, Ready), State: Ready}})
		table.Renew(time.Second, "theirs", 2, 0)
		Expect(table.FlushModified(time.Second)).To(BeEmpty())
		Expect(table.FlushRenewals(time.Second)).To(Equal([]Renewal{{ID: "mine", Sequence: 2}}))
	})

	It("merges alike in any order", func() {
		records := []Record{
			{Endpoint: Endpoint{ID: "i", Heartbeat: heartbeat(1, Ready), State: Ready}},
			{Endpoint: Endpoint{ID: "i", Heartbeat: heartbeat(3, Draining), State: Draining}},
			{Endpoint: Endpoint{ID: "i", Heartbeat: heartbeat(2, Ready), State: Ready, Overlay: Overlay{Version: 7}}},
		}
		orders := [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
		var results []Endpoint
		for _, order := range orders {
			other := New(ttl)
			for _, i := range order {
				other.Merge(time.Second, records[i])
			}
			e, _ := other.Get("i")
			results = append(results, e)
		}
		for _, e := range results {
			Expect(e).To(Equal(results[0]))
		}
		Expect(results[0].State).To(Equal(Draining))
		Expect(results[0].Overlay.Version).To(Equal(uint64(7)))
	})

	It("forgets what has long gone", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		table.Deregister(0, "i")
		table.ExpireTTLs(retention + 1)
		_, ok := table.Get("i")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("what an endpoint holds", func() {
	holds := func(overlay ...ModelOverride) *Endpoint {
		return &Endpoint{Heartbeat: heartbeat(1, Ready), Overlay: Overlay{Holdings: overlay}}
	}
	DescribeTable("is what it says, and what orders have made of it since",
		func(e *Endpoint, model, adapter string, expected bool) {
			Expect(e.HasLoaded(model, adapter)).To(Equal(expected))
		},
		Entry("its model", holds(), "m", "", true),
		Entry("another model", holds(), "n", "", false),
		Entry("its adapter", holds(), "m", "a1", true),
		Entry("another adapter", holds(), "m", "a2", false),
		Entry("a model that was loaded", holds(ModelOverride{Model: "n", Present: true}), "n", "", true),
		Entry("an adapter that was loaded", holds(ModelOverride{Model: "m", Adapter: "a2", Present: true}), "m", "a2", true),
		Entry("a model that was unloaded", holds(ModelOverride{Model: "m"}), "m", "", false),
		Entry("an adapter of a model that was unloaded", holds(ModelOverride{Model: "m"}), "m", "a1", false),
	)
})

var _ = Describe("two copies", func() {
	// compare finds the records that differ, and counts the digests that were told.
	compare := func(a, b *Table) (found map[string]bool, told int) {
		found = map[string]bool{}
		ranges := []Range{{}}
		for len(ranges) > 0 {
			at := ranges[0]
			ranges = ranges[1:]
			if len(at) == Depth {
				for _, id := range a.IDs(at) {
					found[id] = true
				}
				continue
			}
			told++
			ranges = append(ranges, b.DifferingChildren(at, a.ChildDigests(at))...)
		}
		return found, told
	}
	fill := func() *Table {
		t := New(ttl)
		for i := range 1000 {
			t.ApplyHeartbeat(0, fmt.Sprint("i-", i), heartbeat(1, Ready))
		}
		return t
	}

	It("that are alike say one message", func() {
		a, b := fill(), fill()
		b.ApplyHeartbeat(0, "i-5", heartbeat(9, Ready)) // a newer sign of life is no difference
		found, told := compare(a, b)
		Expect(found).To(BeEmpty())
		Expect(told).To(Equal(1))
	})

	It("find what differs with few messages", func() {
		a, b := fill(), fill()
		a.ApplyHeartbeat(0, "i-7", heartbeat(2, Draining))
		a.ApplyHeartbeat(0, "new", heartbeat(1, Ready))
		found, told := compare(a, b)
		Expect(found).To(HaveKey("i-7"))
		Expect(found).To(HaveKey("new"))
		Expect(told).To(BeNumerically("<=", 3))
		Expect(len(found)).To(BeNumerically("<", 30))
	})

	It("know no ranges but the tree's", func() {
		Expect(Range{Fanout}.Valid()).To(BeFalse())
		Expect(Range{1, 2, 3}.Valid()).To(BeFalse())
		Expect(Range{1, 2}.Valid()).To(BeTrue())
	})
})
