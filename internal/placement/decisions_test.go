package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
)

// The tests of this file compare the decisions for random inputs with those that the build of commit bfb03d8 made for the
// same inputs, as recorded in the fixtures.

const (
	simulationSteps      = 100
	proxyCount           = 3
	modelCount           = 7
	adapterCountPerModel = 4
	planInterval         = 200 * time.Millisecond
)

// seeds are the seeds of the recorded simulations. Each one gave the same orders in 250 runs of the recorded build. With other
// seeds, that build could choose either of two endpoints whose costs differ only by the rounding of a floating-point sum over
// a map, whose iteration order is random.
var seeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7}

// simulation is a random service with its endpoints and demand.
type simulation struct {
	random    *rand.Rand
	engine    *fleetconfig.Engine
	endpoints []Endpoint
	demand    *Demand
}

// newSimulation draws an engine and endpoints without models.
func newSimulation(seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 11)), demand: NewDemand()}
	sim.engine = &fleetconfig.Engine{WeightsSizeMB: 200 + float64(sim.random.IntN(100)), AdapterSlots: float64(1 + sim.random.IntN(3))}
	for i := range modelCount {
		sim.engine.Models = append(sim.engine.Models, fleetconfig.Model{
			Name: fmt.Sprintf("model-%d", i), WeightsSizeMB: 40 + float64(sim.random.IntN(120)), AdapterSizeMB: float64(1 + sim.random.IntN(5)),
		})
	}
	for i := range 4 + sim.random.IntN(8) {
		sim.endpoints = append(sim.endpoints, Endpoint{ID: fmt.Sprintf("endpoint-%02d", i), Models: map[string][]string{}})
	}
	return sim
}

// report applies a random report of a proxy.
func (sim *simulation) report(now time.Duration, proxy string) {
	var samples []Sample
	for range 1 + sim.random.IntN(4) {
		model := sim.random.IntN(1 + sim.random.IntN(modelCount)) // models with low numbers are requested most
		adapter := ""
		if sim.random.IntN(4) == 0 {
			// The name contains the model: the recorded build could unload either of two adapters with the same name and the
			// same time of the last request.
			adapter = fmt.Sprintf("adapter-%d-%d", model, sim.random.IntN(adapterCountPerModel))
		}
		samples = append(samples, Sample{
			Key:      Key{Service: "service", Model: fmt.Sprintf("model-%d", model), Adapter: adapter},
			Requests: sim.random.IntN(12), Unplaced: sim.random.IntN(2), InFlight: sim.random.IntN(90), Waiting: max(sim.random.IntN(30)-20, 0),
		})
	}
	sim.demand.Report(now, proxy, samples)
}

// disturbEndpoint randomly changes whether an endpoint is excluded, has an order in flight, and has memory reserved.
func (sim *simulation) disturbEndpoint() {
	e := &sim.endpoints[sim.random.IntN(len(sim.endpoints))]
	e.Excluded = sim.random.IntN(8) == 0
	e.OrderInFlight = sim.random.IntN(6) == 0
	e.ReservedFor = ""
	if e.OrderInFlight && sim.random.IntN(3) == 0 {
		e.ReservedFor = fmt.Sprintf("model-%d", sim.random.IntN(modelCount))
	}
}

// apply executes most orders that fit, and returns a description of the result.
func (sim *simulation) apply(order Order) string {
	for i := range sim.endpoints {
		e := &sim.endpoints[i]
		if e.ID != order.Endpoint {
			continue
		}
		fits := e.Fits(order, sim.engine)
		if fits && sim.random.IntN(10) > 0 {
			e.Apply(order)
			return "applied"
		}
		return fmt.Sprintf("not applied, fits: %t", fits)
	}
	return "no such endpoint"
}

// run makes a plan at each step, and appends the orders and the final estimates to text.
func (sim *simulation) run(text *strings.Builder) {
	for step := range simulationSteps {
		now := time.Minute + time.Duration(step)*planInterval
		if step%25 != 24 { // every 25th step has no report, so that the demand decays
			sim.report(now, fmt.Sprintf("proxy-%d", sim.random.IntN(proxyCount)))
		}
		sim.disturbEndpoint()
		sim.demand.Expire(now)
		input := Input{Service: "service", Engine: sim.engine, Endpoints: sim.endpoints, Demand: sim.demand, MaxLoads: sim.random.IntN(5)}
		for _, order := range Plan(now, input) {
			fmt.Fprintf(text, "  %d %s %s %q %q for %q: ", step, order.Endpoint, string(order.Operation),
				order.Model, order.Adapter, order.FreesMemoryFor)
			text.WriteString(sim.apply(order) + "\n")
		}
	}
	for i := range modelCount {
		estimate := sim.demand.Estimate(2*time.Minute, Key{Service: "service", Model: fmt.Sprintf("model-%d", i)})
		fmt.Fprintf(text, "  model-%d: rate %.9g, in flight %d, waiting %d, pressure %.9g, unplaced %t, asked at %v\n",
			i, estimate.Rate, estimate.InFlight, estimate.Waiting, estimate.Pressure, estimate.Unplaced, estimate.LastRequestAt)
	}
}

// Plan gives the recorded orders for the recorded demand and endpoints.
func TestDecisionsUnchangedPlans(t *testing.T) {
	var text strings.Builder
	for _, seed := range seeds {
		fmt.Fprintf(&text, "seed %d\n", seed)
		newSimulation(seed).run(&text)
	}
	fixture.Text(t, "testdata/plans.txt", text.String())
}

// The ledger permits the recorded numbers of loads for the recorded sequences of loads and changes of the lease holder.
func TestDecisionsUnchangedLoadLedger(t *testing.T) {
	var text strings.Builder
	for _, seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 12))
		window := time.Duration(1+random.IntN(8)) * time.Second
		perSecond := 0.2 + 4*random.Float64()
		ledger := NewLoadLedger(window, 1+random.Float64()/4)
		fmt.Fprintf(&text, "seed %d: window %v, %.9g a second, at once %d\n", seed, window, perSecond, ConcurrentLoads(perSecond, 5*random.Float64()))
		now := time.Minute
		for range simulationSteps {
			now += time.Duration(random.IntN(300)) * time.Millisecond
			switch available := ledger.Available(now, perSecond); {
			case random.IntN(60) == 0:
				ledger.AssumeUnreported(now-time.Duration(random.IntN(5000))*time.Millisecond, now, perSecond)
			case random.IntN(90) == 0:
				ledger.AssumeFullWindow(now, perSecond)
			case available > 0:
				ledger.RecordStart(now)
				if random.IntN(5) == 0 {
					ledger.Reschedule(now, now+50*time.Millisecond)
				}
			}
			fmt.Fprintf(&text, " %d/%d", ledger.Available(now, perSecond), len(ledger.Ages(now)))
		}
		fmt.Fprintf(&text, "\n  ages %v\n", ledger.Ages(now))
	}
	fixture.Text(t, "testdata/load-ledger.txt", text.String())
}
