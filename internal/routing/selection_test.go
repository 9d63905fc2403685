package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/sessions"
)

// session returns the session of a ready endpoint of the service "s" with the given models loaded.
func session(id string, models ...string) sessions.Endpoint {
	heartbeat := sessions.Heartbeat{Service: "s", Address: id + ":80", State: sessions.Ready}
	for _, m := range models {
		heartbeat.Models = append(heartbeat.Models, sessions.LoadedModel{Name: m})
	}
	return sessions.Endpoint{ID: id, Heartbeat: heartbeat, State: sessions.Ready}
}

var _ = Describe("the endpoint pool", func() {
	const start = time.Hour
	var pool *Pool
	query := Query{Service: "s", Model: "m"}

	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(start, []sessions.Endpoint{session("a", "m"), session("b", "m"), session("c", "n")}, true)
	})
	selections := func(now time.Duration, q Query) map[string]int {
		counts := map[string]int{}
		for range 400 {
			e, result := pool.Select(now, q)
			if result == Selected {
				counts[e.ID]++
				e.trialInFlight = false
			}
		}
		return counts
	}

	It("selects only endpoints that have the model loaded", func() {
		counts := selections(start, query)
		Expect(counts).To(HaveLen(2))
		Expect(counts["a"]).To(BeNumerically("~", 200, 60))
	})

	It("selects the endpoint with fewer calls of this proxy in flight", func() {
		pool.BeginCall(pool.Find("a"))
		counts := selections(start, query)
		Expect(counts["b"]).To(BeNumerically("~", 375, 20))
	})

	It("breaks ties by affinity, in the same way at each proxy", func() {
		other := NewPool(rand.New(rand.NewPCG(3, 4)))
		other.Update(start, []sessions.Endpoint{session("b", "m"), session("a", "m")}, true)
		q := query
		q.Affinity = 7
		first := selections(start, q)
		pool = other
		second := selections(start, q)
		Expect(first["a"] > first["b"]).To(Equal(second["a"] > second["b"]))
		Expect(max(first["a"], first["b"])).To(Equal(400))
	})

	It("breaks ties by an idle connection", func() {
		pool.HasIdleConnection = func(id string) bool { return id == "b" }
		Expect(selections(start, query)).To(HaveKeyWithValue("b", 400))
	})

	It("selects another endpoint if the one with an idle connection has more calls or more load", func() {
		pool.HasIdleConnection = func(id string) bool { return id == "b" }
		pool.SetFleetLoads(start, map[string]FleetLoad{"b": {InFlight: 4, Waiting: 4}})
		Expect(selections(start, query)["a"]).To(BeNumerically("~", 375, 20))
		pool.SetFleetLoads(start, nil)
		pool.BeginCall(pool.Find("b"))
		Expect(selections(start, query)["a"]).To(BeNumerically("~", 375, 20))
	})

	Describe("selection by affinity among many endpoints", func() {
		const endpoints, affinities = 40, 2000
		BeforeEach(func() {
			var all []sessions.Endpoint
			for i := range endpoints {
				all = append(all, session(fmt.Sprintf("i-%04x", 7919*i%65536), "m"))
			}
			pool = NewPool(rand.New(rand.NewPCG(1, 2)))
			pool.Update(start, all, true)
		})
		with := func(affinity uint64) Query { return Query{Service: "s", Model: "m", Affinity: affinity} }

		It("selects one endpoint for an affinity while it is idle", func() {
			for affinity := range uint64(20) {
				Expect(selections(start, with(affinity+1))).To(HaveLen(1))
			}
		})

		It("spreads affinities evenly over the endpoints", func() {
			counts := map[string]int{}
			for affinity := range uint64(affinities) {
				e, _ := pool.Select(start, with(affinity+1))
				counts[e.ID]++
			}
			Expect(counts).To(HaveLen(endpoints))
			for _, count := range counts {
				Expect(count).To(BeNumerically("~", affinities/endpoints, 30))
			}
		})

		It("selects the second preferred endpoint if the first has more load", func() {
			first, _ := pool.Select(start, with(1))
			pool.SetFleetLoads(start, map[string]FleetLoad{first.ID: {InFlight: 8, Waiting: 8}})
			counts := selections(start, with(1))
			Expect(counts[first.ID]).To(BeZero())
			Expect(counts).To(HaveLen(1), "all go to the endpoint with the second highest rank")
		})

		It("selects another endpoint if all preferred ones are ejected", func() {
			for range preferredPerAffinity {
				e, _ := pool.Select(start, with(1))
				pool.BeginCall(e)
				pool.EndCall(start, e, with(1), Unreachable, false)
			}
			e, result := pool.Select(start, with(1))
			Expect(result).To(Equal(Selected))
			Expect(e.State()).To(Equal(Available))
		})
	})

	DescribeTable("reports why no endpoint was selected",
		func(q Query, expected SelectionResult) {
			_, result := pool.Select(start, q)
			Expect(result).To(Equal(expected))
		},
		Entry("no endpoint of the service", Query{Service: "t"}, NoEndpoint),
		Entry("none with the model", Query{Service: "s", Model: "o"}, ModelNotLoaded),
		Entry("none with the adapter", Query{Service: "s", Model: "m", Adapter: "a1"}, AdapterNotLoaded),
		Entry("all endpoints were tried", Query{Service: "s", Model: "n", Exclude: map[string]bool{"c": true}}, NoneAvailable),
	)

	It("never selects a draining endpoint, even if a later update reports it ready", func() {
		draining := session("a", "m")
		draining.State = sessions.Draining
		pool.Update(start, []sessions.Endpoint{draining}, false)
		pool.Update(start, []sessions.Endpoint{session("a", "m")}, false)
		Expect(selections(start, query)).NotTo(HaveKey("a"))
	})

	It("samples a new endpoint less often until its slow start ends", func() {
		pool.Update(start+10*time.Second, []sessions.Endpoint{session("new", "m")}, false)
		early := selections(start+10*time.Second, query)
		late := selections(start+10*time.Second+slowStartDuration, query)
		Expect(early["new"]).To(BeNumerically("<", 80))
		Expect(late["new"]).To(BeNumerically("~", 133, 40))
	})

	It("ejects an endpoint after a lost connection, sends one trial call at a time, and enters slow start after a success", func() {
		a := pool.Find("a")
		pool.BeginCall(a)
		pool.EndCall(start, a, query, ConnectionLost, false)
		Expect(a.State()).To(Equal(Ejected))
		Expect(selections(start, query)).NotTo(HaveKey("a"))
		later := start + 2*maxEjectionTime
		var trial *Endpoint
		for trial == nil {
			if e, _ := pool.Select(later, query); e == a {
				trial = e
			}
		}
		for range 50 {
			e, _ := pool.Select(later, query)
			Expect(e).NotTo(Equal(a), "one trial at a time")
		}
		pool.BeginCall(a)
		pool.EndCall(later, a, query, Succeeded, false)
		Expect(a.State()).To(Equal(SlowStart))
	})

	It("bounds the ejection time of consecutive ejections by maxEjectionTime", func() {
		a := pool.Find("a")
		for range 20 {
			pool.BeginCall(a)
			pool.EndCall(start, a, query, ConnectionLost, false)
		}
		Expect(a.trialAt - start).To(BeNumerically("<=", 2*maxEjectionTime))
		Expect(a.trialAt - start).To(BeNumerically(">=", maxEjectionTime/2))
	})

	It("does not select an endpoint for a bounded time after it rejected a call", func() {
		a, b := pool.Find("a"), pool.Find("b")
		pool.BeginCall(a)
		pool.EndCall(start, a, query, RejectedFull, false)
		pool.BeginCall(b)
		pool.EndCall(start, b, query, RejectedNotFound, false)
		_, result := pool.Select(start, query)
		Expect(result).To(Equal(NoneAvailable))
		Expect(selections(start+fullBackoff, query)).To(HaveKey("a"))
		Expect(selections(start+notLoadedTTL, query)).To(HaveKey("b"))
	})

	It("keeps an endpoint for absentGracePeriod after a complete update that does not contain it", func() {
		pool.Update(start, []sessions.Endpoint{session("a", "m")}, true)
		pool.Expire(start + absentGracePeriod)
		Expect(pool.Find("b")).NotTo(BeNil())
		pool.Expire(start + absentGracePeriod + 1)
		Expect(pool.Find("b")).To(BeNil())
		Expect(pool.Find("a")).NotTo(BeNil())
	})

	It("adds the other proxies' calls to an endpoint's load without counting this proxy's calls twice", func() {
		a := pool.Find("a")
		pool.BeginCall(a)
		pool.BeginCall(pool.Find("b"))
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {InFlight: 1, Waiting: 1}, "b": {InFlight: 9, Waiting: 9}})
		Expect(a.othersLoad).To(BeZero())
		counts := selections(start, query)
		Expect(counts["a"]).To(BeNumerically("~", 375, 20))
		Expect(pool.OwnCalls()).To(Equal(map[string]FleetLoad{"a": {InFlight: 1, Waiting: 1}, "b": {InFlight: 1, Waiting: 1}}))
		pool.ResponseStarted(a)
		Expect(pool.OwnCalls()["a"]).To(Equal(FleetLoad{InFlight: 1}))
		pool.EndCall(start, a, query, Succeeded, true)
		Expect(pool.OwnCalls()).NotTo(HaveKey("a"))
	})

	It("adds the other proxies' calls that an endpoint reports to its load", func() {
		pool.ReportLoad(start, pool.Find("a"), ReportedLoad{Running: 9})
		counts := selections(start, query)
		Expect(counts["b"]).To(BeNumerically("~", 375, 20))
	})
})
