package placement

import "math"

// costOfReplica returns the cost of adding a replica of a model to an endpoint, in units of urgency, and the victim: the model
// that must be evicted for it. If enough memory is free, the victim is empty and the cost only ranks endpoints by their load.
// The result ok is false if no single eviction frees enough memory.
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

// replicaValue returns the value of one replica of a model, in units of urgency: an estimate of the number of requests that
// wait for it, or that would wait at the remaining replicas without it.
//
//	model            with other replicas                     with this replica only
//	idle             lowest, falling with the idle time      low, falling with the idle time
//	in demand        share of the load that would move       highest
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

// loadOf returns an endpoint's share of the requests in flight for its models, assuming that all replicas of a model have
// equal shares.
func (p *planner) loadOf(e *Endpoint) float64 {
	var load float64
	for _, model := range p.footprints[e].models {
		load += float64(p.modelEstimate(model).InFlight) / math.Max(float64(p.replicas[model]), 1)
	}
	return load
}
