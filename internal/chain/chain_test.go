package chain

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
)

func TestChain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chain replication")
}

// countOperations is the Apply function of these tests: the value is the number of operations.
func countOperations(value any, _ []byte) any { return value.(int) + 1 }

// chainOf returns the members of a first view, head first. The identifier and the address of each member are its name.
func chainOf(names ...string) []*Node {
	view := View{Number: 1, Token: 1}
	for _, name := range names {
		view.Voters = append(view.Voters, Member{ID: MemberID(name), Address: name})
		view.Chain = append(view.Chain, MemberID(name))
	}
	view.Holder = view.Chain[0]
	var nodes []*Node
	for _, voter := range view.Voters {
		config := Config{
			Self: voter, Apply: countOperations, MaxFailures: 1, SuspectTimeout: time.Second, PingInterval: time.Second,
			LeaseDuration: time.Second, TakeoverDelay: time.Second, ReturnDelay: 3 * time.Second,
			Jitter: func(time.Duration) time.Duration { return 0 },
		}
		node, _ := NewGenesis(config, 0, view, 0)
		nodes = append(nodes, node)
	}
	return nodes
}

// messageTo returns the output's message of type T to an address. It fails the test if there is none.
func messageTo[T any](out Output, to string) T {
	GinkgoHelper()
	for _, envelope := range out.Messages {
		if message, ok := envelope.Message.(T); ok && envelope.To == to {
			return message
		}
	}
	Fail(fmt.Sprintf("the output has no %T for %s", *new(T), to))
	panic("unreachable")
}

var _ = Describe("the tail", func() {
	It("commits an entry only after its record is persisted", func() {
		nodes := chainOf("a", "b", "c")
		head, middle, tail := nodes[0], nodes[1], nodes[2]
		_, out, ok := head.Propose([]byte("x"))
		Expect(ok).To(BeTrue())
		out = middle.Receive(0, messageTo[Append](out, "b"))
		out = tail.Receive(0, messageTo[Append](out, "c"))
		Expect(out.Records).To(HaveLen(1))
		Expect(tail.LatestState().Value).To(Equal(1), "the tail has the entry")
		Expect(tail.CommittedState().Value).To(Equal(0), "the record is not persisted yet, so a read must not return it")
		tail.Receive(0, messageTo[Committed](out, "c")) // sent once the record is persisted
		Expect(tail.CommittedState().Value).To(Equal(1))
	})
})

var _ = Describe("the view", func() {
	It("lists each former holder once, the most recent first, up to a bound", func() {
		view := View{Voters: []Member{{ID: "a/1", Address: "a"}, {ID: "c/1", Address: "c"}}, Holder: "a/1", Token: 4}
		view.transferLease("b/1", "a")
		Expect(view.FormerHolders).To(Equal([]string{"a"}))
		Expect(view.isFormerHolder(view.Holder)).To(BeFalse())
		view.transferLease("c/1", "b")
		view.transferLease("d/1", "c")
		Expect(view.FormerHolders).To(Equal([]string{"c", "b", "a"}))
		view.transferLease("e/1", "d")
		Expect(view.FormerHolders).To(Equal([]string{"d", "c", "b", "a"}), "with five members, all former holders are listed")
		Expect(view.Token).To(Equal(uint64(8)))
		view.transferLease("c/1", "e")
		Expect(view.isFormerHolder(view.Holder)).To(BeTrue(), "c has held the lease before")
		view.transferLease("a/1", "c")
		Expect(view.FormerHolders).To(Equal([]string{"c", "e", "d", "b", "a"}))
		for i := range 2 * maxFormerHolders {
			view.transferLease("x/1", string(rune('A'+i)))
		}
		Expect(view.FormerHolders).To(HaveLen(maxFormerHolders), "the list is bounded")
	})

	It("recognizes a former holder by its address after its disk was replaced", func() {
		view := View{Voters: []Member{{ID: "a/2", Address: "a"}}, Holder: "b/1", FormerHolders: []string{"a"}}
		view.transferLease("a/2", "b")
		Expect(view.isFormerHolder(view.Holder)).To(BeTrue())
	})
})

var _ = Describe("a pong", func() {
	It("to an earlier incarnation does not confirm the view", func() {
		earlier := chainOf("a", "b", "c")[0]
		later := chainOf("a", "b", "c")[0]
		later.lastNonce = 1 << 32 // a process chooses a random value
		pong := func(node *Node) Pong {
			ping := node.PingVoters(5 * time.Second).ImmediateMessages[0].Message.(Ping)
			return Pong{From: Member{ID: "b", Address: "b"}, Nonce: ping.Nonce, Status: Status{View: 1, Healthy: true}}
		}
		late := pong(earlier)
		fresh := pong(later)
		later.Receive(5*time.Second, late)
		Expect(later.QuorumConfirmedAt(5 * time.Second)).To(BeNumerically("<", 0))
		later.Receive(5*time.Second, fresh)
		Expect(later.QuorumConfirmedAt(5 * time.Second)).To(Equal(5 * time.Second))
	})
})

var _ = Describe("a restarted member", func() {
	It("pings the members that ping it if all of its seeds are gone", func() {
		config := chainOf("a")[0].config
		config.Self, config.Seeds = Member{ID: "c/1", Address: "c"}, []string{"gone"}
		joiner, _ := NewJoiner(config, 0, 0)
		pinged := func(at time.Duration) []string {
			var addresses []string
			for _, envelope := range joiner.PingVoters(at).ImmediateMessages {
				addresses = append(addresses, envelope.To)
			}
			return addresses
		}
		Expect(pinged(0)).To(ConsistOf("gone"))
		joiner.Receive(time.Second, Ping{From: Member{ID: "a", Address: "a"}, Status: Status{View: 3}})
		Expect(pinged(time.Second)).To(ConsistOf("gone", "a"))
		Expect(pinged(time.Minute)).To(ConsistOf("gone"), "the other member has stopped pinging")
	})

	It("applies each entry once if a snapshot was persisted in place of the first of several records", func() {
		nodes := chainOf("a", "b")
		_, out, _ := nodes[0].Propose([]byte("x"))
		first := messageTo[Append](out, "b")
		_, out, _ = nodes[0].Propose([]byte("y"))
		second := messageTo[Append](out, "b")
		both := Append{From: "a", View: 1, Entries: append(first.Entries, second.Entries...)}
		out = nodes[1].Receive(0, both)
		Expect(out.Records).To(HaveLen(2))
		restored := Restore(nodes[1].config, 0, []any{nodes[1].Snapshot(), out.Records[1]})
		Expect(restored.LatestState()).To(Equal(State{Seq: 2, Value: 2}))
	})
})
