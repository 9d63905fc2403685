package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
	"dykering/internal/sessions"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("routes", func() {
	routes := NewRoutes(&fleetconfig.Parsed{Routes: []fleetconfig.Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	DescribeTable("match by host and the longest prefix",
		func(host, path, expected string) {
			route, ok := routes.Match(host, path)
			if expected == "" {
				Expect(ok).To(BeFalse())
				return
			}
			Expect(ok).To(BeTrue())
			Expect(route.Name).To(Equal(expected))
		},
		Entry("the longest", "a.example", "/x/y/z", "long"),
		Entry("a shorter one", "a.example", "/x/z", "short"),
		Entry("no whole prefix", "a.example", "/x", "all"),
		Entry("a host in capitals, with a port", "A.EXAMPLE:8080", "/x/y/", "long"),
		Entry("another host", "b.example", "/x/y/", "other"),
		Entry("no prefix of the host", "b.example", "/y/", ""),
		Entry("no such host", "c.example", "/x/", ""),
	)

	DescribeTable("share their requests by weight",
		func(chance float64, expected string) {
			route := &fleetconfig.Route{TrafficSplit: []fleetconfig.WeightedShare{{Service: "s0", Weight: 0}, {Service: "s1", Weight: 90}, {Service: "s2", Weight: 10}}}
			Expect(ChooseService(route, chance)).To(Equal(expected))
		},
		Entry("none to a weight of 0", 0.0, "s1"),
		Entry("most to the first", 0.89, "s1"),
		Entry("the rest to the second", 0.91, "s2"),
	)
})

func told(id string, models ...string) sessions.Endpoint {
	beat := sessions.Heartbeat{Service: "s", Address: id + ":80", State: sessions.Ready}
	for _, m := range models {
		beat.Models = append(beat.Models, sessions.LoadedModel{Name: m})
	}
	return sessions.Endpoint{ID: id, Heartbeat: beat, State: sessions.Ready}
}

var _ = Describe("the pool", func() {
	const start = time.Hour
	var pool *Pool
	query := Query{Service: "s", Model: "m"}

	BeforeEach(func() {
		pool = NewPool(rand.New(rand.NewPCG(1, 2)))
		pool.Update(start, []sessions.Endpoint{told("a", "m"), told("b", "m"), told("c", "n")}, true)
	})
	picks := func(now time.Duration, q Query) map[string]int {
		counts := map[string]int{}
		for range 400 {
			e, verdict := pool.Pick(now, q)
			if verdict == Picked {
				counts[e.ID]++
				e.trying = false
			}
		}
		return counts
	}

	It("picks only endpoints that hold the model", func() {
		counts := picks(start, query)
		Expect(counts).To(HaveLen(2))
		Expect(counts["a"]).To(BeNumerically("~", 200, 60))
	})

	It("takes the one with fewer own calls in flight", func() {
		pool.Begin(pool.Find("a"))
		counts := picks(start, query)
		Expect(counts["b"]).To(BeNumerically("~", 375, 20))
	})

	It("breaks ties by a shared beginning, alike at each sidecar", func() {
		other := NewPool(rand.New(rand.NewPCG(3, 4)))
		other.Update(start, []sessions.Endpoint{told("b", "m"), told("a", "m")}, true)
		q := query
		q.Affinity = 7
		first := picks(start, q)
		pool = other
		second := picks(start, q)
		Expect(first["a"] > first["b"]).To(Equal(second["a"] > second["b"]))
		Expect(max(first["a"], first["b"])).To(Equal(400))
	})

	It("takes the endpoint to which there is a connection, among equals", func() {
		pool.Connected = func(id string) bool { return id == "b" }
		Expect(picks(start, query)).To(HaveKeyWithValue("b", 400))
	})

	It("takes another where the connected one has more own calls or more to do", func() {
		pool.Connected = func(id string) bool { return id == "b" }
		pool.SetFleetLoads(start, map[string]FleetLoad{"b": {InFlight: 4, Waiting: 4}})
		Expect(picks(start, query)["a"]).To(BeNumerically("~", 375, 20))
		pool.SetFleetLoads(start, nil)
		pool.Begin(pool.Find("b"))
		Expect(picks(start, query)["a"]).To(BeNumerically("~", 375, 20))
	})

	Describe("requests that share a beginning, among many endpoints", func() {
		const endpoints, beginnings = 40, 2000
		BeforeEach(func() {
			var all []sessions.Endpoint
			for i := range endpoints {
				all = append(all, told(fmt.Sprintf("i-%04x", 7919*i%65536), "m"))
			}
			pool = NewPool(rand.New(rand.NewPCG(1, 2)))
			pool.Update(start, all, true)
		})
		with := func(affinity uint64) Query { return Query{Service: "s", Model: "m", Affinity: affinity} }

		It("meet at one endpoint while it is idle", func() {
			for affinity := range uint64(20) {
				Expect(picks(start, with(affinity+1))).To(HaveLen(1))
			}
		})

		It("are spread evenly by their beginnings", func() {
			counts := map[string]int{}
			for affinity := range uint64(beginnings) {
				e, _ := pool.Pick(start, with(affinity+1))
				counts[e.ID]++
			}
			Expect(counts).To(HaveLen(endpoints))
			for _, count := range counts {
				Expect(count).To(BeNumerically("~", beginnings/endpoints, 30))
			}
		})

		It("go elsewhere where their endpoints have more to do", func() {
			home, _ := pool.Pick(start, with(1))
			pool.SetFleetLoads(start, map[string]FleetLoad{home.ID: {InFlight: 8, Waiting: 8}})
			counts := picks(start, with(1))
			Expect(counts[home.ID]).To(BeZero())
			Expect(counts).To(HaveLen(1), "the second by rank takes them")
		})

		It("go anywhere where all of theirs fail", func() {
			for range homes {
				e, _ := pool.Pick(start, with(1))
				pool.Begin(e)
				pool.End(start, e, with(1), Unreachable, false)
			}
			e, verdict := pool.Pick(start, with(1))
			Expect(verdict).To(Equal(Picked))
			Expect(e.Mark()).To(Equal(Usable))
		})
	})

	DescribeTable("tells why there is none",
		func(q Query, expected Verdict) {
			_, verdict := pool.Pick(start, q)
			Expect(verdict).To(Equal(expected))
		},
		Entry("no endpoint of the service", Query{Service: "t"}, NoEndpoint),
		Entry("none with the model", Query{Service: "s", Model: "o"}, NotHeld),
		Entry("none with the adapter", Query{Service: "s", Model: "m", Adapter: "a1"}, ModelOnly),
		Entry("all were tried", Query{Service: "s", Model: "n", Exclude: map[string]bool{"c": true}}, AllBusy),
	)

	It("sends a leaving endpoint nothing more, whatever is said later", func() {
		leaving := told("a", "m")
		leaving.State = sessions.Draining
		pool.Update(start, []sessions.Endpoint{leaving}, false)
		pool.Update(start, []sessions.Endpoint{told("a", "m")}, false)
		Expect(picks(start, query)).NotTo(HaveKey("a"))
	})

	It("draws a newcomer less often until it is ramped up", func() {
		pool.Update(start+10*time.Second, []sessions.Endpoint{told("new", "m")}, false)
		early := picks(start+10*time.Second, query)
		late := picks(start+10*time.Second+rampFor, query)
		Expect(early["new"]).To(BeNumerically("<", 80))
		Expect(late["new"]).To(BeNumerically("~", 133, 40))
	})

	It("isolates an endpoint whose connections break, tries it once, and ramps it up", func() {
		a := pool.Find("a")
		pool.Begin(a)
		pool.End(start, a, query, Broken, false)
		Expect(a.Mark()).To(Equal(Isolated))
		Expect(picks(start, query)).NotTo(HaveKey("a"))
		later := start + 2*mostIsolation
		var trial *Endpoint
		for trial == nil {
			if e, _ := pool.Pick(later, query); e == a {
				trial = e
			}
		}
		for range 50 {
			e, _ := pool.Pick(later, query)
			Expect(e).NotTo(Equal(a), "one trial at a time")
		}
		pool.Begin(a)
		pool.End(later, a, query, Served, false)
		Expect(a.Mark()).To(Equal(Ramping))
	})

	It("isolates for longer each time, up to a bound", func() {
		a := pool.Find("a")
		for range 20 {
			pool.Begin(a)
			pool.End(start, a, query, Broken, false)
		}
		Expect(a.trialAt - start).To(BeNumerically("<=", 2*mostIsolation))
		Expect(a.trialAt - start).To(BeNumerically(">=", mostIsolation/2))
	})

	It("passes over a full endpoint for a moment, and one that lacks the model", func() {
		a, b := pool.Find("a"), pool.Find("b")
		pool.Begin(a)
		pool.End(start, a, query, Full, false)
		pool.Begin(b)
		pool.End(start, b, query, Missing, false)
		_, verdict := pool.Pick(start, query)
		Expect(verdict).To(Equal(AllBusy))
		Expect(picks(start+fullFor, query)).To(HaveKey("a"))
		Expect(picks(start+missingFor, query)).To(HaveKey("b"))
	})

	It("keeps endpoints that a new stream does not name, for a while", func() {
		pool.Update(start, []sessions.Endpoint{told("a", "m")}, true)
		pool.Age(start + departFor)
		Expect(pool.Find("b")).NotTo(BeNil())
		pool.Age(start + departFor + 1)
		Expect(pool.Find("b")).To(BeNil())
		Expect(pool.Find("a")).NotTo(BeNil())
	})

	It("counts what others have an endpoint do, as control sidecars say, less its own calls", func() {
		a := pool.Find("a")
		pool.Begin(a)
		pool.Begin(pool.Find("b"))
		pool.SetFleetLoads(start, map[string]FleetLoad{"a": {InFlight: 1, Waiting: 1}, "b": {InFlight: 9, Waiting: 9}})
		Expect(a.others).To(BeZero())
		counts := picks(start, query)
		Expect(counts["a"]).To(BeNumerically("~", 375, 20))
		Expect(pool.Calls()).To(Equal(map[string]FleetLoad{"a": {InFlight: 1, Waiting: 1}, "b": {InFlight: 1, Waiting: 1}}))
		pool.Answering(a)
		Expect(pool.Calls()["a"]).To(Equal(FleetLoad{InFlight: 1}))
		pool.End(start, a, query, Served, true)
		Expect(pool.Calls()).NotTo(HaveKey("a"))
	})

	It("counts what an endpoint says that others have it do", func() {
		pool.Report(start, pool.Find("a"), Load{Running: 9})
		counts := picks(start, query)
		Expect(counts["b"]).To(BeNumerically("~", 375, 20))
	})
})

var _ = Describe("the budget of repeats", func() {
	It("is a part of the requests and of the slack", func() {
		budget := NewBudget(10*time.Second, 0.2, 50)
		budget.SetSidecars(5)
		for range 100 {
			budget.Request(0, "s")
		}
		allowed := 0
		for budget.Repeat(0, "s") {
			allowed++
		}
		Expect(allowed).To(BeNumerically("<=", 30))
		Expect(allowed).To(BeNumerically(">", 15))
	})

	It("comes back as the window goes on", func() {
		budget := NewBudget(10*time.Second, 0, 10)
		budget.SetSidecars(1)
		for budget.Repeat(0, "s") {
		}
		Expect(budget.Repeat(9*time.Second, "s")).To(BeFalse())
		Expect(budget.Repeat(12*time.Second, "s")).To(BeTrue())
	})

	It("has no slack before it is known how many share it", func() {
		budget := NewBudget(10*time.Second, 0, 1000)
		Expect(budget.Repeat(0, "s")).To(BeFalse())
	})
})
