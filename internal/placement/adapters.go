package placement

import (
	"math"
	"slices"
	"sort"
	"time"
)

// planAdapters orders replicas of the adapters that need one more, on endpoints that have their model.
func (p *planner) planAdapters() {
	for _, key := range p.adaptersToLoad() {
		p.addAdapterReplica(key)
	}
}

// adaptersToLoad returns the adapters that should have one more replica, by model and name.
func (p *planner) adaptersToLoad() []Key {
	var keys []Key
	for _, key := range p.Demand.Keys(p.Service) {
		if _, known := p.models[key.Model]; known && key.Adapter != "" && p.needsAdapterReplica(key) {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Model != keys[j].Model {
			return keys[i].Model < keys[j].Model
		}
		return keys[i].Adapter < keys[j].Adapter
	})
	return keys
}

// needsAdapterReplica reports whether an adapter should have one more replica.
func (p *planner) needsAdapterReplica(key Key) bool {
	demand, replicas := p.estimate(key), p.adapterReplicas[key]
	if replicas == 0 {
		return demand.Unplaced || demand.Rate > idleRate
	}
	return demand.InFlight > inFlightPerAdapterReplica*replicas
}

// addAdapterReplica orders an adapter to be loaded on the endpoint that has its model and the fewest adapters. Where that
// one has no slot or memory left, the order unloads its longest idle adapter instead; the load follows in a later plan.
func (p *planner) addAdapterReplica(key Key) {
	if p.isFull() {
		return
	}
	chosen := p.endpointForAdapter(key)
	if chosen == nil {
		return
	}
	sizeMB := p.models[key.Model].AdapterSizeMB
	if chosen.adapterCount() < int(p.Engine.AdapterSlots) && p.footprints[chosen].usedMB+sizeMB <= p.Engine.WeightsSizeMB {
		p.addOrder(Order{Endpoint: chosen.ID, Operation: Load, Model: key.Model, Adapter: key.Adapter})
		return
	}
	if model, adapter, ok := p.longestIdleAdapter(chosen); ok {
		p.addOrder(Order{Endpoint: chosen.ID, Operation: Unload, Model: model, Adapter: adapter})
	}
}

// endpointForAdapter returns the endpoint with the fewest adapters among those that have the adapter's model, not the
// adapter, and no order; nil if there is none.
func (p *planner) endpointForAdapter(key Key) *Endpoint {
	var chosen *Endpoint
	fewest := math.MaxInt
	for _, e := range p.orderable[key.Model] {
		if p.assigned[e.ID] || slices.Contains(e.Models[key.Model], key.Adapter) {
			continue
		}
		if count := e.adapterCount(); count < fewest {
			chosen, fewest = e, count
		}
	}
	return chosen
}

// longestIdleAdapter returns the adapter of an endpoint whose last request is the longest ago. Ties are broken by the names
// of the adapter and of the model: adapters of different models often have the same name, and without the second the choice
// would depend on the order of a map.
func (p *planner) longestIdleAdapter(e *Endpoint) (model, adapter string, ok bool) {
	oldest := time.Duration(math.MaxInt64)
	for name, adapters := range e.Models {
		for _, a := range adapters {
			at := p.estimate(p.key(name, a)).LastRequestAt
			precedes := a < adapter || a == adapter && name < model
			if at < oldest || at == oldest && precedes {
				model, adapter, oldest, ok = name, a, at, true
			}
		}
	}
	return model, adapter, ok
}
