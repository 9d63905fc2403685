package placement

import (
	"math"
	"sort"
)

// replicaRequest is a model's request for more replicas.
type replicaRequest struct {
	model string
	count int
	// urgency is the number of requests that wait for each replica there is.
	urgency float64
}

// planModels orders more replicas for the models that need them, the most urgent model first.
func (p *planner) planModels() {
	for _, request := range p.replicaRequests() {
		for range request.count {
			p.addReplica(request.model, request.urgency)
		}
	}
}

// replicaRequests returns the requests of all models by falling urgency. Equal ones are in the order of modelsByRate.
func (p *planner) replicaRequests() []replicaRequest {
	var requests []replicaRequest
	for _, model := range p.modelsByRate() {
		if request := p.replicaRequest(model); request.count > 0 {
			requests = append(requests, request)
		}
	}
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].urgency > requests[j].urgency })
	return requests
}

// modelsByRate returns the names of the models that are asked for, by falling rate of requests, then by name.
func (p *planner) modelsByRate() []string {
	var names []string
	for name := range p.models {
		if demand := p.modelEstimate(name); demand.Unplaced || demand.Rate > idleRate {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		x, y := p.modelEstimate(names[i]).Rate, p.modelEstimate(names[j]).Rate
		if x != y {
			return x > y
		}
		return names[i] < names[j]
	})
	return names
}

// replicaRequest determines how many replicas a model should have beyond those that it has. A model without any gets one;
// one that is overloaded as many as its load needs, up to maxNewReplicas; and one with a single replica a second one from
// a moderate rate on, so that a sudden rise does not meet a single endpoint.
func (p *planner) replicaRequest(model string) replicaRequest {
	demand := p.modelEstimate(model)
	replicas := float64(p.replicas[model])
	if replicas == 0 {
		return replicaRequest{model: model, count: 1, urgency: firstReplicaUrgency * math.Max(demand.Pressure, 1)}
	}
	replicasForInFlight := float64(demand.InFlight) / inFlightPerReplica
	desired := math.Max((demand.Pressure-toleratedWaiting)/waitingPerReplica, replicasForInFlight)
	if desired > replicas {
		return replicaRequest{
			model:   model,
			count:   int(math.Min(math.Ceil(desired-replicas), maxNewReplicas)),
			urgency: math.Max(demand.Pressure, replicasForInFlight) / replicas,
		}
	}
	if replicas == 1 && demand.Rate > secondReplicaRate {
		return replicaRequest{model: model, count: 1, urgency: secondReplicaUrgency}
	}
	return replicaRequest{}
}

// addReplica orders one more replica of a model on the endpoint where that costs least, unless it costs more than the
// urgency everywhere. Where memory must be freed first, the order is the unload; the load follows in a later plan, when
// the memory is free.
func (p *planner) addReplica(model string, urgency float64) {
	if p.MaxLoads <= 0 || p.isFull() {
		return
	}
	chosen, evicted := p.cheapestEndpoint(model, urgency)
	if chosen == nil {
		return
	}
	p.MaxLoads--
	p.replicas[model]++
	if evicted != "" {
		p.addOrder(Order{Endpoint: chosen.ID, Operation: Unload, Model: evicted, FreesMemoryFor: model})
		p.replicas[evicted]--
		return
	}
	p.addOrder(Order{Endpoint: chosen.ID, Operation: Load, Model: model})
}

// cheapestEndpoint returns the endpoint where a replica of a model costs least, and the model to evict there, if any. It
// returns nil if a replica costs more than maxCost everywhere.
func (p *planner) cheapestEndpoint(model string, maxCost float64) (cheapest *Endpoint, evicted string) {
	leastCost := math.Inf(1)
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Excluded || p.assigned[e.ID] || e.Models[model] != nil {
			continue
		}
		victim, cost, ok := p.costOfReplica(e, model)
		if ok && cost <= maxCost && cost < leastCost {
			cheapest, evicted, leastCost = e, victim, cost
		}
	}
	return cheapest, evicted
}
