package placement

import (
	"math"
	"sort"
	"time"

	"dykering/internal/fleetconfig"
)

// Input is what a plan is made of.
type Input struct {
	Service   string
	Engine    *fleetconfig.Engine
	Endpoints []Endpoint
	Demand    *Demand
	MaxLoads  int // of weights, that may begin now
}

const (
	// crowded is how many requests that wait for their answer to begin, for each copy of a model, ask for a further one.
	crowded = 1.2
	// crowdedAbove is how many waiting requests ask for nothing.
	crowdedAbove = 1.2
	// mostNewCopies bounds the copies that one plan adds to a model.
	mostNewCopies = 3
	// full is how many requests under way for each copy do.
	full = 24
	// idleRate is the rate below which a model counts as not asked for.
	idleRate = 0.05
	// secondCopyRate is the rate from which a model deserves a second copy on room that is free.
	secondCopyRate = 0.5
	// secondCopyUrgency is that of a second copy which nobody waits for yet.
	secondCopyUrgency = 0.6
	// spareWorth is what a copy is worth that is not asked for, lastWorth what the last copy is worth beside it, and
	// missingWorth what the last copy of a model that is asked for is.
	spareWorth   = 0.3
	lastWorth    = 1
	missingWorth = 2
	// rateWorth is what each request a second for a copy adds to its worth.
	rateWorth = 0.1
	// keepFactor is how much more urgent a copy must be than what stands in its place.
	keepFactor = 2
	// mostOrders bounds the orders of one plan.
	mostOrders = 64
)

// planner makes one plan.
type planner struct {
	Input
	now      time.Duration
	models   map[string]fleetconfig.Model
	needs    map[Key]Estimate
	holders  map[string]int
	byModel  map[string][]*Endpoint // that hold it and may get orders
	adapters map[Key]int            // copies
	taken    map[string]bool        // endpoints that have an order already
	orders   []Order
}

// Plan gives the orders that should be given now.
func Plan(now time.Duration, in Input) []Order {
	p := &planner{Input: in, now: now, models: modelsByName(in.Engine), needs: map[Key]Estimate{}, holders: map[string]int{},
		byModel: map[string][]*Endpoint{}, adapters: map[Key]int{}, taken: map[string]bool{}}
	for i := range p.Endpoints {
		p.count(&p.Endpoints[i])
	}
	p.placeAdapters()
	p.placeModels()
	return p.orders
}

func modelsByName(engine *fleetconfig.Engine) map[string]fleetconfig.Model {
	models := make(map[string]fleetconfig.Model, len(engine.Models))
	for _, model := range engine.Models {
		models[model.Name] = model
	}
	return models
}

// count counts what an endpoint holds.
func (p *planner) count(e *Endpoint) {
	if e.Excluded {
		return
	}
	p.taken[e.ID] = e.OrderInFlight
	for name, adapters := range e.Models {
		p.holders[name]++
		if !e.OrderInFlight {
			p.byModel[name] = append(p.byModel[name], e)
		}
		for _, adapter := range adapters {
			p.adapters[p.key(name, adapter)]++
		}
	}
	if e.ReservedFor != "" {
		p.holders[e.ReservedFor]++
		p.MaxLoads--
	}
}

// need is the demand for a key, looked up once.
func (p *planner) need(key Key) Estimate {
	need, ok := p.needs[key]
	if !ok {
		need = p.Demand.Estimate(p.now, key)
		p.needs[key] = need
	}
	return need
}

func (p *planner) key(model, adapter string) Key {
	return Key{Service: p.Service, Model: model, Adapter: adapter}
}

// demanded lists the models that are asked for, the most wanted first.
func (p *planner) demanded() []string {
	var names []string
	for name := range p.models {
		if need := p.need(p.key(name, "")); need.Unplaced || need.Rate > idleRate {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		x, y := p.need(p.key(names[i], "")).Rate, p.need(p.key(names[j], "")).Rate
		if x != y {
			return x > y
		}
		return names[i] < names[j]
	})
	return names
}

// wish is for further copies of a model.
type wish struct {
	model  string
	copies int
	// urgency is how many requests wait for each copy there is.
	urgency float64
}

// placeModels gives models further copies, the most urgent first.
func (p *planner) placeModels() {
	var wishes []wish
	for _, name := range p.demanded() {
		if w := p.wishFor(name); w.copies > 0 {
			wishes = append(wishes, w)
		}
	}
	sort.SliceStable(wishes, func(i, j int) bool { return wishes[i].urgency > wishes[j].urgency })
	for _, w := range wishes {
		for range w.copies {
			p.place(w.model, w.urgency)
		}
	}
}

// wishFor tells how many copies a model should have beyond those that it has.
func (p *planner) wishFor(name string) wish {
	const missingUrgency = 2 // a request for a model that is nowhere, against those that wait at a copy
	need := p.need(p.key(name, ""))
	copies := float64(p.holders[name])
	pressure := need.Pressure
	if copies == 0 {
		return wish{model: name, copies: 1, urgency: missingUrgency * math.Max(pressure, 1)}
	}
	underWay := float64(need.InFlight)
	needed := math.Max((pressure-crowdedAbove)/crowded, underWay/full)
	if needed > copies {
		return wish{model: name, copies: int(math.Min(math.Ceil(needed-copies), mostNewCopies)),
			urgency: math.Max(pressure, underWay/full) / copies}
	}
	if copies == 1 && need.Rate > secondCopyRate {
		return wish{model: name, copies: 1, urgency: secondCopyUrgency}
	}
	return wish{}
}

// place has one more endpoint hold a model, where the room is worth less than the copy.
func (p *planner) place(name string, urgency float64) {
	if p.MaxLoads <= 0 || len(p.orders) >= mostOrders {
		return
	}
	model := p.models[name]
	var best *Endpoint
	victim, bestCost := "", math.Inf(1)
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Excluded || p.taken[e.ID] || e.Models[name] != nil {
			continue
		}
		candidate, cost, ok := p.roomFor(e, model)
		if ok && cost <= urgency && cost < bestCost {
			best, victim, bestCost = e, candidate, cost
		}
	}
	if best == nil {
		return
	}
	p.MaxLoads--
	p.holders[name]++
	if victim != "" {
		p.order(best, Order{Endpoint: best.ID, Operation: Unload, Model: victim, FreesMemoryFor: name})
		p.holders[victim]--
		return
	}
	p.order(best, Order{Endpoint: best.ID, Operation: Load, Model: name})
}

func (p *planner) order(e *Endpoint, order Order) {
	p.taken[e.ID] = true
	p.orders = append(p.orders, order)
}

// roomFor tells what an endpoint would have to give up for a model, and what that costs.
func (p *planner) roomFor(e *Endpoint, model fleetconfig.Model) (victim string, cost float64, ok bool) {
	free := p.Engine.WeightsSizeMB - p.used(e)
	if free >= model.WeightsSizeMB {
		return "", p.load(e) / 1000, true
	}
	cost = math.Inf(1)
	for name, adapters := range e.Models {
		if free+p.size(name, len(adapters)) < model.WeightsSizeMB {
			continue
		}
		if c := p.worth(name); c < cost || c == cost && name < victim {
			victim, cost, ok = name, c, true
		}
	}
	return victim, cost, ok && !math.IsInf(cost, 1)
}

// worth is what a copy of a model is worth where it stands, in the terms of urgency: what waits for it, or would wait at
// the copies that are left.
func (p *planner) worth(name string) float64 {
	need := p.need(p.key(name, ""))
	inFlight, copies := float64(need.InFlight), float64(p.holders[name])
	idle := need.Rate <= idleRate && need.InFlight == 0 && !need.Unplaced
	idleFor := (p.now - need.LastRequestAt).Seconds()
	switch {
	case idle && copies > 1:
		return spareWorth / (1 + idleFor)
	case idle:
		return spareWorth + lastWorth/(1+idleFor)
	case copies > 1:
		waiting := math.Max(need.Pressure, inFlight/full)
		return spareWorth + (keepFactor*waiting+rateWorth*need.Rate)/(copies-1)
	}
	return keepFactor*missingWorth + need.Rate
}

// load is how much of the requests under way an endpoint's models have.
func (p *planner) load(e *Endpoint) float64 {
	var load float64
	for name := range e.Models {
		load += float64(p.need(p.key(name, "")).InFlight) / math.Max(float64(p.holders[name]), 1)
	}
	return load
}

func (p *planner) size(model string, adapters int) float64 {
	m := p.models[model]
	return m.WeightsSizeMB + float64(adapters)*m.AdapterSizeMB
}

func (p *planner) used(e *Endpoint) float64 {
	var used float64
	for name, adapters := range e.Models {
		used += p.size(name, len(adapters))
	}
	return used
}
