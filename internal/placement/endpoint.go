package placement

import (
	"slices"

	"dykering/internal/fleetconfig"
)

// Operation of an order.
type Operation string

// The operations.
const (
	Load   Operation = "loading"
	Unload Operation = "unloading"
)

// Order has an endpoint load or unload a model, or an adapter of a model that it holds.
type Order struct {
	Endpoint  string
	Operation Operation
	Model     string
	Adapter   string
	// FreesMemoryFor is the model that an unload frees memory for; empty for a load.
	FreesMemoryFor string
}

// Endpoint is an endpoint as the planner sees it, with the order that is under way counted as done.
type Endpoint struct {
	ID            string
	Models        map[string][]string // adapters by model
	Excluded      bool                // it gets no orders, and what it holds does not count
	OrderInFlight bool                // an order is under way
	ReservedFor   string              // the model that memory is being freed for
}

// Apply counts an order as done.
func (e *Endpoint) Apply(order Order) {
	models := map[string][]string{}
	for name, adapters := range e.Models {
		models[name] = adapters
	}
	switch {
	case order.Operation == Load && order.Adapter == "":
		if models[order.Model] == nil {
			models[order.Model] = []string{}
		}
	case order.Operation == Load:
		if !slices.Contains(models[order.Model], order.Adapter) {
			models[order.Model] = append(append([]string{}, models[order.Model]...), order.Adapter)
		}
	case order.Adapter == "":
		delete(models, order.Model)
	default:
		kept := []string{}
		for _, adapter := range models[order.Model] {
			if adapter != order.Adapter {
				kept = append(kept, adapter)
			}
		}
		models[order.Model] = kept
	}
	e.Models = models
}

// Fits tells whether an endpoint has room for what an order loads.
func (e *Endpoint) Fits(order Order, engine *fleetconfig.Engine) bool {
	if order.Operation != Load {
		return true
	}
	after := Endpoint{Models: e.Models}
	after.Apply(order)
	p := &planner{Input: Input{Engine: engine}, models: modelsByName(engine)}
	for name := range after.Models {
		if _, known := p.models[name]; !known {
			return false // what it takes is not known
		}
	}
	return p.used(&after) <= engine.WeightsSizeMB && adapterCount(&after) <= int(engine.AdapterSlots)
}
