package placement_test

import (
	"fmt"
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
)

// A model without replicas is requested. Both endpoints are full, so the first plan evicts the model without demand to free
// memory. After the endpoint has executed that order, the next plan loads the missing model.
func ExamplePlan() {
	engine := &fleetconfig.Engine{
		WeightsSizeMB: 160,
		LoadsPerS:     2,
		Models: []fleetconfig.Model{
			{Name: "chat", WeightsSizeMB: 80, LoadTimeS: 2},
			{Name: "code", WeightsSizeMB: 80, LoadTimeS: 2},
			{Name: "translate", WeightsSizeMB: 80, LoadTimeS: 2},
		},
	}
	endpoints := []placement.Endpoint{
		{ID: "endpoint-1", Models: map[string][]string{"chat": {}, "code": {}}},
		{ID: "endpoint-2", Models: map[string][]string{"chat": {}, "code": {}}},
	}
	ledger := placement.NewLoadLedger(5*time.Second, 1.1)
	demand := placement.NewDemand()

	now := time.Minute
	demand.Report(now, "proxy-1", []placement.Sample{
		{Key: placement.Key{Service: "llm", Model: "chat"}, Requests: 20, InFlight: 12, Waiting: 1},
		{Key: placement.Key{Service: "llm", Model: "translate"}, Requests: 1, Unplaced: 1},
	})

	for range 2 {
		orders := placement.Plan(now, placement.Input{
			Service:   "llm",
			Engine:    engine,
			Endpoints: endpoints,
			Demand:    demand,
			MaxLoads:  min(ledger.Available(now, engine.LoadsPerS), placement.ConcurrentLoads(engine.LoadsPerS, 2)),
		})
		for _, order := range orders {
			fmt.Println(order.Endpoint, order.Operation, order.Model)
			if order.Operation == placement.Load {
				ledger.RecordStart(now)
			}
			for i := range endpoints {
				if endpoints[i].ID == order.Endpoint {
					endpoints[i].Apply(order) // simulates the immediate execution of the order
				}
			}
		}
		now += 250 * time.Millisecond
	}
	fmt.Println("loads in the window:", len(ledger.Ages(now)))

	// Output:
	// endpoint-1 unloading code
	// endpoint-1 loading translate
	// loads in the window: 1
}
