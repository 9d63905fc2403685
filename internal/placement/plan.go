package placement

import (
	"time"

	"dykering/internal/fleetconfig"
)

// Input holds the data that a plan is derived from. Plan does not modify the data that Input refers to, except that reading
// Demand updates its averages.
type Input struct {
	// Service is the name of the service. Demand for other services is ignored.
	Service string
	// Engine is the service's configured engine: its models, and the memory of its endpoints.
	Engine *fleetconfig.Engine
	// Endpoints are the endpoints of the service. Their order must be the same for each plan, since the first one wins a tie.
	Endpoints []Endpoint
	// Demand is the demand for all services.
	Demand *Demand
	// MaxLoads is the number of loads of weights that may start now.
	MaxLoads int
}

// planner derives one plan. It indexes the endpoints, and counts the replicas as if its orders had been executed.
type planner struct {
	Input
	now             time.Duration
	models          modelCatalog
	estimates       map[Key]Estimate
	replicas        map[string]int         // replicas of each model, including those that memory is being freed for
	adapterReplicas map[Key]int            // replicas of each adapter
	orderable       map[string][]*Endpoint // by model: endpoints that have loaded it and have no order in flight
	assigned        map[string]bool        // by endpoint ID: true if the endpoint has an order, in flight or in this plan
	footprints      map[*Endpoint]footprint
	orders          []Order
}

// footprint caches the loaded models of an endpoint and their memory for the time of one plan.
type footprint struct {
	models []string // sorted names
	usedMB float64
}

// Plan returns the orders to start now. The orders are in no particular order. Adapters are planned first, since they are
// cheap to load and the store's rate limit does not apply to them.
func Plan(now time.Duration, in Input) []Order {
	p := newPlanner(now, in)
	p.planAdapters()
	p.planModels()
	return p.orders
}

// newPlanner returns a planner that has indexed all endpoints of the input.
func newPlanner(now time.Duration, in Input) *planner {
	p := &planner{
		Input:           in,
		now:             now,
		models:          newModelCatalog(in.Engine),
		estimates:       map[Key]Estimate{},
		replicas:        map[string]int{},
		adapterReplicas: map[Key]int{},
		orderable:       map[string][]*Endpoint{},
		assigned:        map[string]bool{},
		footprints:      make(map[*Endpoint]footprint, len(in.Endpoints)),
	}
	for i := range p.Endpoints {
		p.index(&p.Endpoints[i])
	}
	return p
}

// index adds an endpoint's models and adapters to the counts of replicas. An excluded endpoint is skipped.
func (p *planner) index(e *Endpoint) {
	if e.Excluded {
		return
	}
	p.assigned[e.ID] = e.OrderInFlight
	p.footprints[e] = footprint{models: e.modelNames(), usedMB: p.models.usedMB(e)}
	for model, adapters := range e.Models {
		p.replicas[model]++
		if !e.OrderInFlight {
			p.orderable[model] = append(p.orderable[model], e)
		}
		for _, adapter := range adapters {
			p.adapterReplicas[p.key(model, adapter)]++
		}
	}
	if e.ReservedFor != "" {
		p.replicas[e.ReservedFor]++
		p.MaxLoads-- // reserved for the load that follows the unload in flight
	}
}

// estimate returns the demand for a key. It is computed once for each plan.
func (p *planner) estimate(key Key) Estimate {
	estimate, ok := p.estimates[key]
	if !ok {
		estimate = p.Demand.Estimate(p.now, key)
		p.estimates[key] = estimate
	}
	return estimate
}

// modelEstimate returns the demand for a model, including its adapters.
func (p *planner) modelEstimate(model string) Estimate { return p.estimate(p.key(model, "")) }

// key returns the key of a model or adapter of the planned service.
func (p *planner) key(model, adapter string) Key {
	return Key{Service: p.Service, Model: model, Adapter: adapter}
}

// isFull reports whether the plan has maxOrders orders.
func (p *planner) isFull() bool { return len(p.orders) >= maxOrders }

// addOrder adds an order to the plan. Its endpoint gets no other order in this plan.
func (p *planner) addOrder(order Order) {
	p.assigned[order.Endpoint] = true
	p.orders = append(p.orders, order)
}
