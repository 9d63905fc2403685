package routing

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

var _ = Describe("outlier detection", func() {
	const start = 10 * time.Second
	var pool *Pool
	query := Query{Service: "s", Model: "m"}

	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(0, []sessions.Endpoint{session("a", "m"), session("b", "m"), session("c", "m"), session("d", "m")}, true)
	})
	end := func(now time.Duration, id string, result CallResult) {
		e := pool.Find(id)
		pool.BeginCall(e)
		pool.ResponseStarted(e)
		pool.EndCall(now, e, query, result, true)
	}
	selections := func(now time.Duration) map[string]int {
		counts := map[string]int{}
		for range 400 {
			e, result := pool.Select(now, query)
			Expect(result).To(Equal(Selected))
			counts[e.ID]++
		}
		return counts
	}

	It("excludes an endpoint that answers with failures, until the failures have decayed", func() {
		end(start, "a", Failed)
		Expect(selections(start)).To(HaveKey("a"), "one failure may be chance")
		end(start, "a", Failed)
		Expect(selections(start)).NotTo(HaveKey("a"))
		Expect(pool.Find("a").State()).To(Equal(Available))
		Expect(selections(start + outcomeHalfLife/2)).To(HaveKey("a"))
	})

	It("keeps an endpoint with few failures among many successes", func() {
		for range 100 {
			end(start, "a", Succeeded)
		}
		for range 5 {
			end(start, "a", Failed)
		}
		Expect(selections(start)).To(HaveKey("a"))
	})

	It("excludes an endpoint whose failures only other proxies saw", func() {
		pool.SetFleetLoads(start, map[string]FleetLoad{"b": {Outcomes: Outcomes{Good: 4, Failed: 3}}})
		Expect(selections(start)).NotTo(HaveKey("b"))
		pool.SetFleetLoads(start+time.Second, map[string]FleetLoad{})
		Expect(selections(start + time.Second)).To(HaveKey("b"))
	})

	It("counts this proxy's failures immediately, and flushes each one once", func() {
		end(start, "a", Failed)
		Expect(pool.FlushOutcomes()).To(Equal(map[string]Outcomes{"a": {Failed: 1}}))
		Expect(pool.FlushOutcomes()).To(BeEmpty())
		end(start, "a", Failed)
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {Outcomes: Outcomes{Failed: 1}}})
		Expect(selections(start)).NotTo(HaveKey("a"), "one failure in the sums and one unreported failure of this proxy")
	})

	It("excludes no endpoint if most of them fail", func() {
		for _, id := range []string{"a", "b", "c"} {
			end(start, id, Failed)
			end(start, id, Failed)
		}
		Expect(selections(start)).To(HaveLen(4))
	})

	It("excludes an endpoint that fails every third call", func() {
		for range 3 {
			end(start, "a", Succeeded)
			end(start, "a", Succeeded)
			end(start, "a", Failed)
		}
		Expect(selections(start)).NotTo(HaveKey("a"))
	})

	It("excludes an endpoint that fails only for the callers of one zone of three", func() {
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {Outcomes: Outcomes{Good: 10, Failed: 2}}})
		Expect(selections(start)).NotTo(HaveKey("a"))
	})

	It("excludes the failing endpoints if they are half of all", func() {
		for _, id := range []string{"a", "b"} {
			end(start, id, Failed)
			end(start, id, Failed)
		}
		Expect(selections(start)).To(And(HaveLen(2), HaveKey("c"), HaveKey("d")))
	})

	It("keeps a failing endpoint if no other has loaded the model", func() {
		pool.Update(start, []sessions.Endpoint{session("e", "n")}, false)
		end(start, "e", Failed)
		end(start, "e", Failed)
		e, result := pool.Select(start, Query{Service: "s", Model: "n"})
		Expect(result).To(Equal(Selected))
		Expect(e.ID).To(Equal("e"))
	})

	DescribeTable("counts a call by its result",
		func(result CallResult, answered bool, expected Outcomes) {
			Expect(outcomesOf(result, answered)).To(Equal(expected))
		},
		Entry("a success", Succeeded, true, Outcomes{Good: 1}),
		Entry("a response that reports a failure", Failed, true, Outcomes{Failed: 1}),
		Entry("a connection that is lost before the response", ConnectionLost, false, Outcomes{Failed: 1}),
		Entry("a connection that is lost during the response", ConnectionLost, true, Outcomes{Failed: 1}),
		Entry("no connection", Unreachable, false, Outcomes{Failed: 1}),
		Entry("a timeout before the response", TimedOut, false, Outcomes{Failed: 1}),
		Entry("a timeout during the response", TimedOut, true, Outcomes{}),
		Entry("a rejection for lack of capacity", RejectedFull, false, Outcomes{}),
		Entry("a rejection as not loaded", RejectedNotFound, false, Outcomes{}),
		Entry("a canceled call", Canceled, false, Outcomes{}),
	)
})
