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
	{Name: "hot", WeightsSizeMB: 70, AdapterSizeMB: 1, Adapters: 9},
	{Name: "warm", WeightsSizeMB: 70},
	{Name: "rare", WeightsSizeMB: 70},
	{Name: "idle1", WeightsSizeMB: 70},
	{Name: "idle2", WeightsSizeMB: 70},
	{Name: "large", WeightsSizeMB: 200},
}}

// endpointWith returns an endpoint with the given models loaded.
func endpointWith(id string, models ...string) Endpoint {
	e := Endpoint{ID: id, Models: map[string][]string{}}
	for _, m := range models {
		e.Models[m] = nil
	}
	return e
}

func key(model, adapter string) Key { return Key{Service: "s", Model: model, Adapter: adapter} }

// plan makes a plan for the test engine that may start four loads.
func plan(demand *Demand, endpoints ...Endpoint) []Order {
	return Plan(now, Input{Service: "s", Engine: engine, Endpoints: endpoints, Demand: demand, MaxLoads: 4})
}

var _ = Describe("a plan", func() {
	var demand *Demand
	BeforeEach(func() { demand = NewDemand() })
	reportDemand := func(sample Sample) { demand.Report(now, "proxy", []Sample{sample}) }

	It("has no orders without demand", func() {
		Expect(plan(demand, endpointWith("a", "hot"), endpointWith("b"))).To(BeEmpty())
	})

	It("loads a model without replicas on the endpoint with free memory", func() {
		reportDemand(Sample{Key: key("rare", ""), Unplaced: 1})
		Expect(plan(demand, endpointWith("a", "hot", "warm", "idle1"), endpointWith("b", "idle1"))).To(
			Equal([]Order{{Endpoint: "b", Operation: Load, Model: "rare"}}))
	})

	It("evicts idle models, and among them those with other replicas first", func() {
		reportDemand(Sample{Key: key("rare", ""), Unplaced: 1})
		reportDemand(Sample{Key: key("hot", ""), Requests: 10, InFlight: 5})
		Expect(plan(demand, endpointWith("a", "hot", "idle1", "idle2"), endpointWith("b", "hot", "warm", "idle2"))).To(
			Equal([]Order{{Endpoint: "a", Operation: Unload, Model: "idle2", FreesMemoryFor: "rare"}}))
	})

	It("does not repeat an order in flight", func() {
		reportDemand(Sample{Key: key("rare", ""), Unplaced: 1})
		freeing := endpointWith("a", "hot", "idle1")
		freeing.OrderInFlight, freeing.ReservedFor = true, "rare"
		Expect(plan(demand, freeing, endpointWith("b", "hot", "warm", "idle1"))).To(BeEmpty())
		loading := endpointWith("a", "hot", "rare")
		loading.OrderInFlight = true
		Expect(plan(demand, loading, endpointWith("b"))).To(BeEmpty())
	})

	It("does not count the replicas of an excluded endpoint, and gives it no orders", func() {
		reportDemand(Sample{Key: key("hot", ""), Requests: 5})
		leaving := endpointWith("a", "hot")
		leaving.Excluded = true
		Expect(plan(demand, leaving, endpointWith("b"))).To(Equal([]Order{{Endpoint: "b", Operation: Load, Model: "hot"}}))
	})

	It("adds replicas to an overloaded model before it loads a rare one", func() {
		reportDemand(Sample{Key: key("rare", ""), Requests: 1, Unplaced: 1})
		for i := range 5 {
			demand.Report(now+time.Duration(i)*time.Second, "proxy", []Sample{{Key: key("hot", ""), Requests: 40, InFlight: 30, Waiting: 30}})
		}
		orders := Plan(now+4500*time.Millisecond, Input{
			Service: "s", Engine: engine, Demand: demand, MaxLoads: 1,
			Endpoints: []Endpoint{endpointWith("a", "hot"), endpointWith("b"), endpointWith("c")},
		})
		Expect(orders).NotTo(BeEmpty())
		Expect(orders[0].Model).To(Equal("hot"))
	})

	It("loads an adapter on the endpoint with its model and the most free slots", func() {
		reportDemand(Sample{Key: key("hot", "a1"), Requests: 1, Unplaced: 1})
		full := endpointWith("a", "hot")
		full.Models["hot"] = []string{"a2"}
		Expect(plan(demand, full, endpointWith("b", "hot"), endpointWith("c"))).To(
			ContainElement(Order{Endpoint: "b", Operation: Load, Model: "hot", Adapter: "a1"}))
	})

	It("unloads the longest idle adapter if all slots are taken", func() {
		demand.Report(now-time.Second, "proxy", []Sample{{Key: key("hot", "a2"), Requests: 1}})
		demand.Report(now-2*time.Second, "proxy", []Sample{{Key: key("hot", "a3"), Requests: 1}})
		reportDemand(Sample{Key: key("hot", "a1"), Requests: 1, Unplaced: 1})
		full := endpointWith("a", "hot")
		full.Models["hot"] = []string{"a2", "a3"}
		Expect(plan(demand, full)).To(ContainElement(Order{Endpoint: "a", Operation: Unload, Model: "hot", Adapter: "a3"}))
	})

	It("unloads the same adapter each time if two models have equally idle adapters of the same name", func() {
		for range 50 {
			demand := NewDemand()
			demand.Report(now, "proxy", []Sample{{Key: key("hot", "a1"), Requests: 1, Unplaced: 1}})
			full := endpointWith("a")
			full.Models["hot"], full.Models["warm"] = []string{"a2"}, []string{"a2"}
			Expect(plan(demand, full)).To(ContainElement(Order{Endpoint: "a", Operation: Unload, Model: "hot", Adapter: "a2"}))
		}
	})

	It("never exceeds an endpoint's memory or adapter slots under random demand", func() {
		random := rand.New(rand.NewPCG(5, 6))
		names := []string{"hot", "warm", "rare", "idle1", "idle2", "large"}
		endpoints := []Endpoint{endpointWith("a"), endpointWith("b"), endpointWith("c")}
		for step := range 3000 {
			at := now + time.Duration(step)*100*time.Millisecond
			model := names[random.IntN(len(names))]
			adapter := ""
			if model == "hot" && random.IntN(2) == 0 {
				adapter = []string{"a1", "a2", "a3", "a4"}[random.IntN(4)]
			}
			demand.Report(at, "proxy", []Sample{{
				Key: key(model, adapter), Requests: random.IntN(9), Unplaced: random.IntN(2),
				InFlight: random.IntN(60), Waiting: random.IntN(30),
			}})
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

// BenchmarkPlan measures one plan for a service of the expected size in two years.
func BenchmarkPlan(b *testing.B) {
	const endpoints, models, adapters, proxies = 620, 52, 1800, 340
	large := &fleetconfig.Engine{WeightsSizeMB: 220, AdapterSlots: 8, LoadsPerS: 3}
	demand, random := NewDemand(), rand.New(rand.NewPCG(1, 2))
	var all []Endpoint
	for i := range models {
		large.Models = append(large.Models, fleetconfig.Model{
			Name: fmt.Sprint("m", i), WeightsSizeMB: 70, AdapterSizeMB: 0.1, Adapters: adapters / models,
		})
	}
	for i := range endpoints {
		e := endpointWith(fmt.Sprint("e", i))
		for range 3 {
			e.Models[fmt.Sprint("m", random.IntN(models))] = []string{fmt.Sprint("a", random.IntN(adapters/models))}
		}
		all = append(all, e)
	}
	for i := range proxies {
		var samples []Sample
		for range 20 {
			adapterKey := key(fmt.Sprint("m", random.IntN(models)), fmt.Sprint("a", random.IntN(adapters/models)))
			samples = append(samples, Sample{Key: adapterKey, Requests: 1, InFlight: 1})
		}
		demand.Report(now, fmt.Sprint("p", i), samples)
	}
	for b.Loop() {
		Plan(now, Input{Service: "s", Engine: large, Endpoints: all, Demand: demand, MaxLoads: 4})
	}
}
