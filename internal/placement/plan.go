package placement

import (
	"time"

	"dykering/internal/fleetconfig"
)

// Input is what a plan is derived from. Plan does not modify what it refers to, except that reading the demand brings its
// averages up to date.
type Input struct {
	// Service is the name of the service. Keys of other services are ignored.
	Service string
	// Engine is the service's configured engine: its models, and the memory of its endpoints.
	Engine *fleetconfig.Engine
	// Endpoints are those of the service, in an order that is the same for each plan: ties go to the first.
	Endpoints []Endpoint
	// Demand is the demand for all services.
	Demand *Demand
	// MaxLoads is how many loads of weights may start now.
	MaxLoads int
}

// planner derives one plan. It indexes the endpoints, and counts the orders that it adds as executed.
type planner struct {
	Input
	now             time.Duration
	models          modelCatalog
	estimates       map[Key]Estimate
	replicas        map[string]int         // of each model, with those that memory is being freed for
	adapterReplicas map[Key]int            // of each adapter
	orderable       map[string][]*Endpoint // by model: endpoints that have it loaded and may get an order
	assigned        map[string]bool        // IDs of endpoints that have an order, in flight or in this plan
	footprints      map[*Endpoint]footprint
	orders          []Order
}

// footprint is what an endpoint's models take, computed once for each plan.
type footprint struct {
	models []string // names, in order
	usedMB float64
}

// Plan returns the orders that should be given at a time, in no order of execution. Adapters come first: they are cheap to
// load, and do not compete for the store's rate limit.
func Plan(now time.Duration, in Input) []Order {
	p := newPlanner(now, in)
	p.planAdapters()
	p.planModels()
	return p.orders
}

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

// index counts what an endpoint has loaded.
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
		p.MaxLoads-- // the load that follows the unload in flight
	}
}

// estimate returns the demand for a key. It is looked up once for each plan.
func (p *planner) estimate(key Key) Estimate {
	estimate, ok := p.estimates[key]
	if !ok {
		estimate = p.Demand.Estimate(p.now, key)
		p.estimates[key] = estimate
	}
	return estimate
}

func (p *planner) modelEstimate(model string) Estimate { return p.estimate(p.key(model, "")) }

func (p *planner) key(model, adapter string) Key {
	return Key{Service: p.Service, Model: model, Adapter: adapter}
}

// isFull reports whether the plan has as many orders as it may have.
func (p *planner) isFull() bool { return len(p.orders) >= maxOrders }

// addOrder adds an order to the plan. Its endpoint gets no other one.
func (p *planner) addOrder(order Order) {
	p.assigned[order.Endpoint] = true
	p.orders = append(p.orders, order)
}
