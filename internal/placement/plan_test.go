package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"dykering/internal/fleetconfig"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const now = time.Minute

var engine = &fleetconfig.Engine{WeightsSizeMB: 220, AdapterSlots: 2, LoadsPerS: 3, Models: []fleetconfig.Model{
	{Name: "hot", WeightsSizeMB: 70, AdapterSizeMB: 1, Adapters: 9}, {Name: "warm", WeightsSizeMB: 70}, {Name: "rare", WeightsSizeMB: 70},
	{Name: "idle1", WeightsSizeMB: 70}, {Name: "idle2", WeightsSizeMB: 70}, {Name: "large", WeightsSizeMB: 200},
}}

func holding(id string, models ...string) Endpoint {
	e := Endpoint{ID: id, Models: map[string][]string{}}
	for _, m := range models {
		e.Models[m] = nil
	}
	return e
}

func key(model, adapter string) Key { return Key{Service: "s", Model: model, Adapter: adapter} }

func plan(demand *Demand, endpoints ...Endpoint) []Order {
	return Plan(now, Input{Service: "s", Engine: engine, Endpoints: endpoints, Demand: demand, MaxLoads: 4})
}

var _ = Describe("a plan", func() {
	var demand *Demand
	BeforeEach(func() { demand = NewDemand() })
	ask := func(sample Sample) { demand.Report(now, "proxy", []Sample{sample}) }

	It("orders nothing where nothing is asked for", func() {
		Expect(plan(demand, holding("a", "hot"), holding("b"))).To(BeEmpty())
	})

	It("loads a model that is asked for and stands nowhere, where there is room", func() {
		ask(Sample{Key: key("rare", ""), Unplaced: 1})
		Expect(plan(demand, holding("a", "hot", "warm", "idle1"), holding("b", "idle1"))).To(
			Equal([]Order{{Endpoint: "b", Operation: Load, Model: "rare"}}))
	})

	It("makes room by what is idle, copies that are not the last first", func() {
		ask(Sample{Key: key("rare", ""), Unplaced: 1})
		ask(Sample{Key: key("hot", ""), Requests: 10, InFlight: 5})
		Expect(plan(demand, holding("a", "hot", "idle1", "idle2"), holding("b", "hot", "warm", "idle2"))).To(
			Equal([]Order{{Endpoint: "a", Operation: Unload, Model: "idle2", FreesMemoryFor: "rare"}}))
	})

	It("does not order twice what is on its way", func() {
		ask(Sample{Key: key("rare", ""), Unplaced: 1})
		making := holding("a", "hot", "idle1")
		making.OrderInFlight, making.ReservedFor = true, "rare"
		Expect(plan(demand, making, holding("b", "hot", "warm", "idle1"))).To(BeEmpty())
		loading := holding("a", "hot", "rare")
		loading.OrderInFlight = true
		Expect(plan(demand, loading, holding("b"))).To(BeEmpty())
	})

	It("does not count what stands on a leaving endpoint, and gives it no orders", func() {
		ask(Sample{Key: key("hot", ""), Requests: 5})
		leaving := holding("a", "hot")
		leaving.Excluded = true
		Expect(plan(demand, leaving, holding("b"))).To(Equal([]Order{{Endpoint: "b", Operation: Load, Model: "hot"}}))
	})

	It("gives a crowded model copies before a rare one is loaded", func() {
		ask(Sample{Key: key("rare", ""), Requests: 1, Unplaced: 1})
		for i := range 5 {
			demand.Report(now+time.Duration(i)*time.Second, "proxy", []Sample{{Key: key("hot", ""), Requests: 40, InFlight: 30, Waiting: 30}})
		}
		orders := Plan(now+4500*time.Millisecond, Input{Service: "s", Engine: engine, Demand: demand, MaxLoads: 1,
			Endpoints: []Endpoint{holding("a", "hot"), holding("b"), holding("c")}})
		Expect(orders).NotTo(BeEmpty())
		Expect(orders[0].Model).To(Equal("hot"))
	})

	It("loads an adapter beside its model, on the endpoint with the most places", func() {
		ask(Sample{Key: key("hot", "a1"), Requests: 1, Unplaced: 1})
		full := holding("a", "hot")
		full.Models["hot"] = []string{"a2"}
		Expect(plan(demand, full, holding("b", "hot"), holding("c"))).To(
			ContainElement(Order{Endpoint: "b", Operation: Load, Model: "hot", Adapter: "a1"}))
	})

	It("unloads the adapter that was not asked for for the longest time where all places are taken", func() {
		demand.Report(now-time.Second, "proxy", []Sample{{Key: key("hot", "a2"), Requests: 1}})
		demand.Report(now-2*time.Second, "proxy", []Sample{{Key: key("hot", "a3"), Requests: 1}})
		ask(Sample{Key: key("hot", "a1"), Requests: 1, Unplaced: 1})
		full := holding("a", "hot")
		full.Models["hot"] = []string{"a2", "a3"}
		Expect(plan(demand, full)).To(ContainElement(Order{Endpoint: "a", Operation: Unload, Model: "hot", Adapter: "a3"}))
	})

	It("never loads beyond what an endpoint holds, whatever is asked for", func() {
		random := rand.New(rand.NewPCG(5, 6))
		names := []string{"hot", "warm", "rare", "idle1", "idle2", "large"}
		endpoints := []Endpoint{holding("a"), holding("b"), holding("c")}
		for step := range 3000 {
			at := now + time.Duration(step)*100*time.Millisecond
			model := names[random.IntN(len(names))]
			adapter := ""
			if model == "hot" && random.IntN(2) == 0 {
				adapter = []string{"a1", "a2", "a3", "a4"}[random.IntN(4)]
			}
			demand.Report(at, "proxy", []Sample{{Key: key(model, adapter), Requests: random.IntN(9), Unplaced: random.IntN(2),
				InFlight: random.IntN(60), Waiting: random.IntN(30)}})
			for _, order := range Plan(at, Input{Service: "s", Engine: engine, Endpoints: endpoints, Demand: demand, MaxLoads: random.IntN(4)}) {
				for i := range endpoints {
					if endpoints[i].ID == order.Endpoint {
						Expect(endpoints[i].Fits(order, engine)).To(BeTrue(), "%+v on %+v", order, endpoints[i])
						endpoints[i].Apply(order)
					}
				}
			}
		}
	})
})

var _ = Describe("the ledger of loads", func() {
	It("allows no more than the ceiling in any window", func() {
		ledger := NewLoadLedger(5*time.Second, 1.1)
		var begun []time.Duration
		for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
			if ledger.Available(at, 2.8) > 0 {
				ledger.RecordStart(at)
				begun = append(begun, at)
			}
		}
		for i := range begun {
			within := 0
			for _, other := range begun[i:] {
				if other-begun[i] <= 5*time.Second {
					within++
				}
			}
			Expect(within).To(BeNumerically("<=", 14))
		}
		Expect(len(begun)).To(BeNumerically(">", 100))
	})

	mostInAWindow := func(begun []time.Duration) int {
		most := 0
		for _, from := range begun {
			within := 0
			for _, at := range begun {
				if at >= from && at-from <= 5*time.Second {
					within++
				}
			}
			most = max(most, within)
		}
		return most
	}
	// run begins all loads that a ledger allows in a time.
	run := func(ledger *LoadLedger, from, until time.Duration, perS float64) (begun []time.Duration) {
		for at := from; at <= until; at += 10 * time.Millisecond {
			for ledger.Available(at, perS) > 0 {
				ledger.RecordStart(at)
				begun = append(begun, at)
			}
		}
		return begun
	}

	DescribeTable("leaves room for what a predecessor may have begun",
		func(perS float64, predecessorFor, unheardFor, pause time.Duration) {
			predecessor, successor := NewLoadLedger(5*time.Second, 1.1), NewLoadLedger(5*time.Second, 1.1)
			begun := run(predecessor, 0, predecessorFor-unheardFor, perS)
			heard := predecessorFor - unheardFor
			for _, age := range predecessor.Ages(heard) {
				successor.RecordStart(heard - age)
			}
			begun = append(begun, run(predecessor, heard+10*time.Millisecond, predecessorFor, perS)...)
			successor.AssumeUnreported(heard, predecessorFor, perS)
			begun = append(begun, run(successor, predecessorFor+pause, predecessorFor+pause+12*time.Second, perS)...)
			Expect(float64(mostInAWindow(begun))).To(BeNumerically("<=", perS*5*1.1+3))
		},
		Entry("few", 0.1, 7*time.Second, 2*time.Second, time.Second),
		Entry("some", 2.8, 7*time.Second, 2*time.Second, time.Second),
		Entry("many", 26.0, 7*time.Second, 2*time.Second, time.Second),
		Entry("many, not heard of for a window", 26.0, 9*time.Second, 5*time.Second, 0*time.Second),
		Entry("many, heard of just now", 26.0, 9*time.Second, 0*time.Second, 0*time.Second),
		Entry("many, from a predecessor that has just begun", 26.0, 500*time.Millisecond, 400*time.Millisecond, 0*time.Second),
	)

	It("leaves room for all that a predecessor may have begun of whom nothing is known", func() {
		for _, perS := range []float64{0.1, 2.8, 26} {
			predecessor, successor := NewLoadLedger(5*time.Second, 1.1), NewLoadLedger(5*time.Second, 1.1)
			begun := run(predecessor, 0, 5*time.Second, perS)
			successor.AssumeFullWindow(5*time.Second, perS)
			begun = append(begun, run(successor, 5*time.Second, 15*time.Second, perS)...)
			Expect(float64(mostInAWindow(begun))).To(BeNumerically("<=", perS*5*1.1+3))
		}
	})

	It("goes on loading after a handover of which it has heard", func() {
		successor := NewLoadLedger(5*time.Second, 1.1)
		for _, begun := range run(NewLoadLedger(5*time.Second, 1.1), 0, 8*time.Second, 29) {
			successor.RecordStart(begun)
		}
		successor.AssumeUnreported(8*time.Second, 9*time.Second, 29)
		Expect(len(run(successor, 10*time.Second, 12*time.Second, 29))).To(BeNumerically(">", 29))
	})

	It("counts a load from when its order goes out", func() {
		ledger := NewLoadLedger(5*time.Second, 1.1)
		ledger.RecordStart(time.Second)
		ledger.Reschedule(time.Second, 3*time.Second)
		Expect(ledger.Ages(7 * time.Second)).To(Equal([]time.Duration{4 * time.Second}))
		Expect(ledger.Ages(9 * time.Second)).To(BeEmpty())
	})
})

var _ = Describe("demand", func() {
	It("counts an adapter's requests for its model too, but not as ones that lack the model", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", "a1"), Requests: 3, Unplaced: 1, InFlight: 2, Waiting: 1}})
		demand.Report(now, "p2", []Sample{{Key: key("hot", ""), Requests: 3, InFlight: 4, Waiting: 4}})
		need := demand.Estimate(now, key("hot", ""))
		Expect(need.InFlight).To(Equal(6))
		Expect(need.Waiting).To(Equal(5))
		Expect(need.Unplaced).To(BeFalse())
		Expect(need.Rate).To(BeNumerically("~", 2, 0.01))
		Expect(demand.Estimate(now, key("hot", "a1")).Unplaced).To(BeTrue())
	})

	It("does not count a sidecar that has gone quiet as busy", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 2}})
		demand.Expire(now + inFlightTTL)
		Expect(demand.Estimate(now+inFlightTTL, key("hot", "")).InFlight).To(Equal(0))
	})

	It("counts a sidecar's last report alone", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 2}, {Key: key("warm", ""), InFlight: 1}})
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), InFlight: 3}})
		Expect(demand.Estimate(now, key("hot", "")).InFlight).To(Equal(3))
		Expect(demand.Estimate(now, key("warm", "")).InFlight).To(Equal(0))
	})

	It("forgets what nobody asks for", func() {
		demand := NewDemand()
		demand.Report(now, "p1", []Sample{{Key: key("hot", ""), Requests: 1}})
		demand.Expire(now + keyTTL + 1)
		Expect(demand.Keys("s")).To(BeEmpty())
	})
})

// The time of one plan at the size of two years from now.
func BenchmarkPlan(b *testing.B) {
	const endpoints, models, adapters, sidecars = 620, 52, 1800, 340
	large := &fleetconfig.Engine{WeightsSizeMB: 220, AdapterSlots: 8, LoadsPerS: 3}
	demand, random := NewDemand(), rand.New(rand.NewPCG(1, 2))
	var all []Endpoint
	for i := range models {
		large.Models = append(large.Models, fleetconfig.Model{Name: fmt.Sprint("m", i), WeightsSizeMB: 70, AdapterSizeMB: 0.1, Adapters: adapters / models})
	}
	for i := range endpoints {
		e := holding(fmt.Sprint("e", i))
		for range 3 {
			e.Models[fmt.Sprint("m", random.IntN(models))] = []string{fmt.Sprint("a", random.IntN(adapters/models))}
		}
		all = append(all, e)
	}
	for i := range sidecars {
		var samples []Sample
		for range 20 {
			samples = append(samples, Sample{Key: key(fmt.Sprint("m", random.IntN(models)), fmt.Sprint("a", random.IntN(adapters/models))), Requests: 1, InFlight: 1})
		}
		demand.Report(now, fmt.Sprint("p", i), samples)
	}
	for b.Loop() {
		Plan(now, Input{Service: "s", Engine: large, Endpoints: all, Demand: demand, MaxLoads: 4})
	}
}
