package placement

import (
	"math"
	"slices"
	"sort"
	"time"
)

// adapterCrowded is how many requests under way for each copy of an adapter ask for a further one.
const adapterCrowded = 12

// placeAdapters loads adapters that are asked for beside their models.
func (p *planner) placeAdapters() {
	var lacking []Key
	for _, key := range p.Demand.Keys(p.Service) {
		if _, known := p.models[key.Model]; known && key.Adapter != "" && p.lacks(key) {
			lacking = append(lacking, key)
		}
	}
	sort.Slice(lacking, func(i, j int) bool {
		if lacking[i].Model != lacking[j].Model {
			return lacking[i].Model < lacking[j].Model
		}
		return lacking[i].Adapter < lacking[j].Adapter
	})
	for _, key := range lacking {
		p.placeAdapter(key)
	}
}

// lacks tells whether an adapter should have one more copy.
func (p *planner) lacks(key Key) bool {
	need, copies := p.need(key), p.adapters[key]
	if copies == 0 {
		return need.Unplaced || need.Rate > idleRate
	}
	return need.InFlight > adapterCrowded*copies
}

// placeAdapter loads an adapter on the endpoint with its model that has the most places for adapters left.
func (p *planner) placeAdapter(key Key) {
	var best *Endpoint
	bestCount := math.MaxInt
	if len(p.orders) >= mostOrders {
		return
	}
	for _, e := range p.byModel[key.Model] {
		if p.taken[e.ID] || slices.Contains(e.Models[key.Model], key.Adapter) {
			continue
		}
		if count := adapterCount(e); count < bestCount {
			best, bestCount = e, count
		}
	}
	if best == nil {
		return
	}
	size := p.models[key.Model].AdapterSizeMB
	if bestCount < int(p.Engine.AdapterSlots) && p.used(best)+size <= p.Engine.WeightsSizeMB {
		p.order(best, Order{Endpoint: best.ID, Operation: Load, Model: key.Model, Adapter: key.Adapter})
		return
	}
	if model, adapter, ok := p.idleAdapter(best); ok {
		p.order(best, Order{Endpoint: best.ID, Operation: Unload, Model: model, Adapter: adapter})
	}
}

func adapterCount(e *Endpoint) int {
	count := 0
	for _, adapters := range e.Models {
		count += len(adapters)
	}
	return count
}

// idleAdapter is the adapter of an endpoint that was not asked for for the longest time.
func (p *planner) idleAdapter(e *Endpoint) (model, adapter string, ok bool) {
	oldest := time.Duration(math.MaxInt64)
	for name, adapters := range e.Models {
		for _, a := range adapters {
			if at := p.need(p.key(name, a)).LastRequestAt; at < oldest || at == oldest && a < adapter {
				model, adapter, oldest, ok = name, a, at, true
			}
		}
	}
	return model, adapter, ok
}
