package routing

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("endpoints that fail", func() {
	const start = 10 * time.Second
	var pool *Pool
	query := Query{Service: "s", Model: "m"}

	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(0, []sessions.Endpoint{told("a", "m"), told("b", "m"), told("c", "m"), told("d", "m")}, true)
	})
	end := func(now time.Duration, id string, result Result) {
		e := pool.Find(id)
		pool.Begin(e)
		pool.Answering(e)
		pool.End(now, e, query, result, true)
	}
	drawn := func(now time.Duration) map[string]int {
		counts := map[string]int{}
		for range 400 {
			e, verdict := pool.Pick(now, query)
			Expect(verdict).To(Equal(Picked))
			counts[e.ID]++
		}
		return counts
	}

	It("are set aside though their connections hold, and come back as their failures age", func() {
		end(start, "a", Failed)
		Expect(drawn(start)).To(HaveKey("a"), "one failure may be chance")
		end(start, "a", Failed)
		Expect(drawn(start)).NotTo(HaveKey("a"))
		Expect(pool.Find("a").Mark()).To(Equal(Usable))
		Expect(drawn(start + outcomeHalfLife/2)).To(HaveKey("a"))
	})

	It("are not those that fail now and then among many good answers", func() {
		for range 100 {
			end(start, "a", Served)
		}
		for range 5 {
			end(start, "a", Failed)
		}
		Expect(drawn(start)).To(HaveKey("a"))
	})

	It("are told by others, who need not have failed here", func() {
		pool.SetFleetLoads(start, map[string]FleetLoad{"b": {Outcomes: Outcomes{Good: 4, Failed: 3}}})
		Expect(drawn(start)).NotTo(HaveKey("b"))
		pool.SetFleetLoads(start+time.Second, map[string]FleetLoad{})
		Expect(drawn(start + time.Second)).To(HaveKey("b"))
	})

	It("count here at once, and are told once", func() {
		end(start, "a", Failed)
		Expect(pool.TakeOutcomes()).To(Equal(map[string]Outcomes{"a": {Failed: 1}}))
		Expect(pool.TakeOutcomes()).To(BeEmpty())
		end(start, "a", Failed)
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {Outcomes: Outcomes{Failed: 1}}})
		Expect(drawn(start)).NotTo(HaveKey("a"), "what others say, and the own failure that they do not know")
	})

	It("are not set aside where most fail: then it is not the endpoints", func() {
		for _, id := range []string{"a", "b", "c"} {
			end(start, id, Failed)
			end(start, id, Failed)
		}
		Expect(drawn(start)).To(HaveLen(4))
	})

	It("are set aside where they fail and serve by turns", func() {
		for range 3 {
			end(start, "a", Served)
			end(start, "a", Served)
			end(start, "a", Failed)
		}
		Expect(drawn(start)).NotTo(HaveKey("a"))
	})

	It("are set aside where they fail the callers of one zone of three alone", func() {
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {Outcomes: Outcomes{Good: 10, Failed: 2}}})
		Expect(drawn(start)).NotTo(HaveKey("a"))
	})

	It("are no more than half: as many as are well are set aside", func() {
		for _, id := range []string{"a", "b"} {
			end(start, id, Failed)
			end(start, id, Failed)
		}
		Expect(drawn(start)).To(And(HaveLen(2), HaveKey("c"), HaveKey("d")))
	})

	It("are called where nobody else holds the model", func() {
		pool.Update(start, []sessions.Endpoint{told("e", "n")}, false)
		end(start, "e", Failed)
		end(start, "e", Failed)
		e, verdict := pool.Pick(start, Query{Service: "s", Model: "n"})
		Expect(verdict).To(Equal(Picked))
		Expect(e.ID).To(Equal("e"))
	})

	DescribeTable("are told by how calls end",
		func(result Result, answered bool, expected Outcomes) {
			Expect(outcomeOf(result, answered)).To(Equal(expected))
		},
		Entry("an answer", Served, true, Outcomes{Good: 1}),
		Entry("an answer that tells of a failure", Failed, true, Outcomes{Failed: 1}),
		Entry("a connection that breaks", Broken, false, Outcomes{Failed: 1}),
		Entry("a connection that breaks in the answer", Broken, true, Outcomes{Failed: 1}),
		Entry("no connection", Unreachable, false, Outcomes{Failed: 1}),
		Entry("silence", TimedOut, false, Outcomes{Failed: 1}),
		Entry("an answer that takes too long", TimedOut, true, Outcomes{}),
		Entry("no room", Full, false, Outcomes{}),
		Entry("no such model", Missing, false, Outcomes{}),
		Entry("a client that has gone", Withdrawn, false, Outcomes{}),
	)
})
