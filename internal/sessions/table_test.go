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
	RunSpecs(t, "the session table")
}

const ttl = 4 * time.Second

func heartbeat(sequence uint64, state State) Heartbeat {
	return Heartbeat{
		Service: "s", Address: "10.0.0.1:80", Sequence: sequence, State: state,
		Models: []LoadedModel{{Name: "m", Version: 1, Adapters: []string{"a1"}}},
	}
}

var _ = Describe("the session table", func() {
	var table *Table
	BeforeEach(func() { table = New(ttl) })
	state := func(id string) State {
		e, ok := table.Get(id)
		Expect(ok).To(BeTrue())
		return e.State
	}

	It("ignores a heartbeat that is older than the stored one", func() {
		Expect(table.ApplyHeartbeat(0, "i", heartbeat(5, Draining))).To(BeTrue())
		Expect(table.ApplyHeartbeat(1, "i", heartbeat(4, Ready))).To(BeFalse())
		Expect(state("i")).To(Equal(Draining))
	})

	It("keeps a draining or departed state when a later heartbeat reports an earlier state", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(5, Draining))
		table.ApplyHeartbeat(1, "i", heartbeat(6, Ready))
		Expect(state("i")).To(Equal(Draining))
		table.Deregister(2, "i")
		table.ApplyHeartbeat(3, "i", heartbeat(7, Draining))
		Expect(state("i")).To(Equal(Departed))
	})

	It("applies the state of a late heartbeat if it is further in the life cycle", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(5, Ready))
		Expect(table.ApplyHeartbeat(1, "i", heartbeat(4, Draining))).To(BeFalse())
		Expect(state("i")).To(Equal(Draining))
		Expect(table.FlushModified(1)).To(HaveLen(1))
	})

	It("stores the departure of an unknown endpoint, so that a peer's record does not make it ready", func() {
		table.Deregister(0, "i")
		table.Merge(1, Record{Endpoint: Endpoint{ID: "i", State: Ready, Heartbeat: heartbeat(5, Ready)}})
		Expect(state("i")).To(Equal(Departed))
	})

	It("raises the modify index only when a field that subscribers use changes", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		index := table.ModifyIndex()
		table.ApplyHeartbeat(time.Second, "i", heartbeat(2, Ready))
		Expect(table.ModifyIndex()).To(Equal(index))
		table.ApplyHeartbeat(2*time.Second, "i", heartbeat(3, Draining))
		Expect(table.ModifiedSince(index)).To(HaveLen(1))
	})

	It("expires a session without heartbeats and renews it on the next heartbeat", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		table.ExpireTTLs(ttl + 1)
		Expect(state("i")).To(Equal(Expired))
		table.ApplyHeartbeat(ttl+2, "i", heartbeat(2, Ready))
		Expect(state("i")).To(Equal(Ready))
	})

	It("extends the TTL by a peer's renewal", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		Expect(table.Renew(5*time.Second, "i", 4, time.Second)).To(BeTrue())
		table.ExpireTTLs(6 * time.Second)
		Expect(state("i")).To(Equal(Ready))
		Expect(table.Renew(0, "unknown", 1, 0)).To(BeFalse())
	})

	It("flushes the heartbeats that it has received itself, and none of those that peers have sent", func() {
		table.ApplyHeartbeat(0, "mine", heartbeat(1, Ready))
		table.FlushModified(0)
		table.ApplyHeartbeat(time.Second, "mine", heartbeat(2, Ready))
		table.Merge(time.Second, Record{Endpoint: Endpoint{ID: "theirs", Heartbeat: heartbeat(1, Ready), State: Ready}})
		table.Renew(time.Second, "theirs", 2, 0)
		Expect(table.FlushModified(time.Second)).To(BeEmpty())
		Expect(table.FlushRenewals(time.Second)).To(Equal([]Renewal{{ID: "mine", Sequence: 2}}))
	})

	It("merges records to the same session in any order", func() {
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

	It("deletes a departed session after the retention time", func() {
		table.ApplyHeartbeat(0, "i", heartbeat(1, Ready))
		table.Deregister(0, "i")
		table.ExpireTTLs(retention + 1)
		_, ok := table.Get("i")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("whether an endpoint has loaded a model", func() {
	endpoint := func(overlay ...ModelOverride) *Endpoint {
		return &Endpoint{Heartbeat: heartbeat(1, Ready), Overlay: Overlay{Holdings: overlay}}
	}
	DescribeTable("is determined by the heartbeat and by overrides, which take precedence",
		func(e *Endpoint, model, adapter string, expected bool) {
			Expect(e.HasLoaded(model, adapter)).To(Equal(expected))
		},
		Entry("a model in the heartbeat", endpoint(), "m", "", true),
		Entry("a model not in the heartbeat", endpoint(), "n", "", false),
		Entry("an adapter in the heartbeat", endpoint(), "m", "a1", true),
		Entry("an adapter not in the heartbeat", endpoint(), "m", "a2", false),
		Entry("a model loaded by an order", endpoint(ModelOverride{Model: "n", Present: true}), "n", "", true),
		Entry("an adapter loaded by an order", endpoint(ModelOverride{Model: "m", Adapter: "a2", Present: true}), "m", "a2", true),
		Entry("a model unloaded by an order", endpoint(ModelOverride{Model: "m"}), "m", "", false),
		Entry("an adapter of a model unloaded by an order", endpoint(ModelOverride{Model: "m"}), "m", "a1", false),
	)
})

var _ = Describe("anti-entropy between two replicas", func() {
	// compare returns the IDs in the leaf ranges in which two replicas differ, and the number of digest messages needed.
	compare := func(a, b *Table) (found map[string]bool, messages int) {
		found = map[string]bool{}
		ranges := []Range{{}}
		for len(ranges) > 0 {
			node := ranges[0]
			ranges = ranges[1:]
			if node.IsLeaf() {
				for _, record := range a.RecordsIn(0, node) {
					found[record.Endpoint.ID] = true
				}
				continue
			}
			messages++
			ranges = append(ranges, b.DifferingChildren(node, a.ChildDigests(node))...)
		}
		return found, messages
	}
	// fill returns a table with 1000 sessions.
	fill := func() *Table {
		t := New(ttl)
		for i := range 1000 {
			t.ApplyHeartbeat(0, fmt.Sprint("i-", i), heartbeat(1, Ready))
		}
		return t
	}

	It("ends after one message if the replicas agree", func() {
		a, b := fill(), fill()
		b.ApplyHeartbeat(0, "i-5", heartbeat(9, Ready)) // replicas that differ only by a renewal agree
		found, messages := compare(a, b)
		Expect(found).To(BeEmpty())
		Expect(messages).To(Equal(1))
	})

	It("finds the differing sessions with few messages", func() {
		a, b := fill(), fill()
		a.ApplyHeartbeat(0, "i-7", heartbeat(2, Draining))
		a.ApplyHeartbeat(0, "new", heartbeat(1, Ready))
		found, messages := compare(a, b)
		Expect(found).To(HaveKey("i-7"))
		Expect(found).To(HaveKey("new"))
		Expect(messages).To(BeNumerically("<=", 3))
		Expect(len(found)).To(BeNumerically("<", 30))
	})

	It("rejects a range that is not a node of the tree", func() {
		Expect(Range{Fanout}.Valid()).To(BeFalse())
		Expect(Range{1, 2, 3}.Valid()).To(BeFalse())
		Expect(Range{1, 2}.Valid()).To(BeTrue())
	})
})
