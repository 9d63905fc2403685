package placement

import (
	"maps"
	"slices"

	"dykering/internal/fleetconfig"
)

// Operation is what an order has an endpoint do. Its values are those of the endpoints' API.
type Operation string

// The operations of the endpoints' API.
const (
	Load   Operation = "loading"
	Unload Operation = "unloading"
)

// Order has an endpoint load or unload a model, or an adapter of a model that it has loaded.
type Order struct {
	Endpoint  string // ID
	Operation Operation
	Model     string
	Adapter   string // empty for the model itself
	// FreesMemoryFor is the model that an unload of a model frees memory for; empty otherwise.
	FreesMemoryFor string
}

// Endpoint is an endpoint as the planner sees it: as it will be when the order in flight, if any, has been executed.
type Endpoint struct {
	ID     string
	Models map[string][]string // loaded models, each with its loaded adapters
	// Excluded is true for an endpoint that is not ready, for example since it is draining: it gets no orders, and its
	// models do not count as replicas.
	Excluded bool
	// OrderInFlight is true until the last order has ended: the endpoint gets no other one.
	OrderInFlight bool
	// ReservedFor is the model that the order in flight frees memory for; empty if there is none.
	ReservedFor string
}

// Apply changes Models as an order does once it has been executed. The former map and its lists are not modified.
func (e *Endpoint) Apply(order Order) {
	models := make(map[string][]string, len(e.Models)+1)
	maps.Copy(models, e.Models)
	adapters := models[order.Model]
	switch {
	case order.Operation == Load && order.Adapter == "":
		if adapters == nil {
			models[order.Model] = []string{}
		}
	case order.Operation == Load:
		if !slices.Contains(adapters, order.Adapter) {
			models[order.Model] = append(append([]string{}, adapters...), order.Adapter)
		}
	case order.Adapter == "":
		delete(models, order.Model)
	default:
		models[order.Model] = withoutAdapter(adapters, order.Adapter)
	}
	e.Models = models
}

// withoutAdapter returns a copy of a list withoutAdapter one of its items. It is not nil: a model with a nil list counts as one that is
// not loaded.
func withoutAdapter(adapters []string, removed string) []string {
	kept := []string{}
	for _, adapter := range adapters {
		if adapter != removed {
			kept = append(kept, adapter)
		}
	}
	return kept
}

// modelNames returns the names of the loaded models in order. Sums over the models are taken in this order: the rounding of a
// sum depends on it, and so would the choice between endpoints that are equal but for the rounding.
func (e *Endpoint) modelNames() []string { return slices.Sorted(maps.Keys(e.Models)) }

// Fits reports whether an endpoint has the memory and the adapter slots for what an order loads. It is false for an
// endpoint with a model that the engine does not list, since that one's size is unknown.
func (e *Endpoint) Fits(order Order, engine *fleetconfig.Engine) bool {
	if order.Operation != Load {
		return true
	}
	after := Endpoint{Models: e.Models}
	after.Apply(order)
	models := newModelCatalog(engine)
	for name := range after.Models {
		if _, known := models[name]; !known {
			return false
		}
	}
	return models.usedMB(&after) <= engine.WeightsSizeMB && after.adapterCount() <= int(engine.AdapterSlots)
}

// adapterCount is the number of adapters that an endpoint has loaded, over all models.
func (e *Endpoint) adapterCount() int {
	count := 0
	for _, adapters := range e.Models {
		count += len(adapters)
	}
	return count
}

// modelCatalog is the models that an engine lists, by name.
type modelCatalog map[string]fleetconfig.Model

func newModelCatalog(engine *fleetconfig.Engine) modelCatalog {
	models := make(modelCatalog, len(engine.Models))
	for _, model := range engine.Models {
		models[model.Name] = model
	}
	return models
}

// replicaMB is the memory that a model with a number of adapters takes. A model that is not listed counts as 0.
func (c modelCatalog) replicaMB(model string, adapters int) float64 {
	listed := c[model]
	return listed.WeightsSizeMB + float64(adapters)*listed.AdapterSizeMB
}

// usedMB is the memory that an endpoint's models and adapters take.
func (c modelCatalog) usedMB(e *Endpoint) float64 {
	var used float64
	for _, model := range e.modelNames() {
		used += c.replicaMB(model, len(e.Models[model]))
	}
	return used
}
