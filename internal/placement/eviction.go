package placement

import "math"

// costOfReplica determines which model an endpoint would have to evict for a replica of another, and what that costs in
// units of urgency. The victim is empty where memory is free; the cost then only orders endpoints by their load. It is not
// ok if no single eviction frees enough memory.
func (p *planner) costOfReplica(e *Endpoint, model string) (victim string, cost float64, ok bool) {
	required := p.models[model].WeightsSizeMB
	free := p.Engine.WeightsSizeMB - p.footprints[e].usedMB
	if free >= required {
		return "", p.loadOf(e) / idleLoadDivisor, true
	}
	cost = math.Inf(1)
	for candidate, adapters := range e.Models {
		if free+p.models.replicaMB(candidate, len(adapters)) < required {
			continue
		}
		if value := p.replicaValue(candidate); value < cost || value == cost && candidate < victim {
			victim, cost, ok = candidate, value, true
		}
	}
	return victim, cost, ok && !math.IsInf(cost, 1)
}

// replicaValue is the value of one replica of a model, in units of urgency: the requests that wait for it, or that would
// wait at the replicas that remain.
//
//	                 other replicas                          only replica
//	idle             lowest, falling with the idle time      low, falling with the idle time
//	asked for        share of the load that would move       highest
func (p *planner) replicaValue(model string) float64 {
	demand := p.modelEstimate(model)
	inFlight, replicas := float64(demand.InFlight), float64(p.replicas[model])
	idle := demand.Rate <= idleRate && demand.InFlight == 0 && !demand.Unplaced
	idleSeconds := (p.now - demand.LastRequestAt).Seconds()
	switch {
	case idle && replicas > 1:
		return spareReplicaValue / (1 + idleSeconds)
	case idle:
		return spareReplicaValue + idleOnlyReplicaValue/(1+idleSeconds)
	case replicas > 1:
		waiting := math.Max(demand.Pressure, inFlight/inFlightPerReplica)
		return spareReplicaValue + (evictionMargin*waiting+replicaValuePerRate*demand.Rate)/(replicas-1)
	}
	return evictionMargin*onlyReplicaValue + demand.Rate
}

// loadOf is an endpoint's share of the requests in flight for its models.
func (p *planner) loadOf(e *Endpoint) float64 {
	var load float64
	for _, model := range p.footprints[e].models {
		load += float64(p.modelEstimate(model).InFlight) / math.Max(float64(p.replicas[model]), 1)
	}
	return load
}
