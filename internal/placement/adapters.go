package placement

import (
	"math"
	"slices"
	"sort"
	"time"
)

// planAdapters orders one more replica of each adapter that needs one, on endpoints that have loaded the adapter's model.
func (p *planner) planAdapters() {
	for _, key := range p.adaptersToLoad() {
		p.addAdapterReplica(key)
	}
}

// adaptersToLoad returns the adapters that need one more replica, sorted by model and name.
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

// needsAdapterReplica reports whether an adapter needs one more replica: an adapter in demand needs a first one, an adapter
// with too many requests in flight for its replicas another one.
func (p *planner) needsAdapterReplica(key Key) bool {
	demand, replicas := p.estimate(key), p.adapterReplicas[key]
	if replicas == 0 {
		return demand.Unplaced || demand.Rate > idleRate
	}
	return demand.InFlight > inFlightPerAdapterReplica*replicas
}

// addAdapterReplica orders the endpoint with the adapter's model and the fewest adapters to load the adapter. If that
// endpoint has no slot or memory left, it is ordered to unload its longest idle adapter instead, and a later plan orders
// the load.
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

// endpointForAdapter returns the endpoint with the fewest adapters among those that have loaded the adapter's model but not
// the adapter, and that have no order. It returns nil if no endpoint qualifies.
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

// longestIdleAdapter returns the adapter of an endpoint with the oldest last request, and its model. It returns false if the
// endpoint has no adapters. Ties are broken by the name of the adapter, then by the name of the model: adapters of different
// models often have the same name, and the result must not depend on the iteration order of a map.
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
