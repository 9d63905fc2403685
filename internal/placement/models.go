package placement

import (
	"math"
	"sort"
)

// replicaRequest is the need of a model for more replicas.
type replicaRequest struct {
	model string
	count int // additional replicas
	// urgency is the number of waiting requests for each existing replica. It is compared with the cost of evictions.
	urgency float64
}

// planModels orders more replicas of the models that need them, in descending order of urgency.
func (p *planner) planModels() {
	for _, request := range p.replicaRequests() {
		for range request.count {
			p.addReplica(request.model, request.urgency)
		}
	}
}

// replicaRequests returns the needs of all models in descending order of urgency. Models of equal urgency are in the order of
// modelsByRate.
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

// modelsByRate returns the names of the models in demand, by descending rate of requests, then by name.
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

// replicaRequest returns how many additional replicas a model needs. A model without replicas needs one. An overloaded model
// needs as many as its load requires, at most maxNewReplicas in one plan. A model with a single replica needs a second one
// above secondReplicaRate, so that a sudden rise of its demand does not hit a single endpoint.
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

// addReplica orders one more replica of a model on the endpoint with the lowest cost, unless the cost exceeds the urgency at
// every endpoint. If memory must be freed first, it orders the unload of another model; a later plan orders the load when
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

// cheapestEndpoint returns the endpoint with the lowest cost of a replica of a model, and the model to evict there, which is
// empty if enough memory is free. It returns nil if no endpoint can take the replica for at most maxCost.
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
