package placement

import (
	"maps"
	"slices"

	"dykering/internal/fleetconfig"
)

// Operation is the kind of an order. Its values are defined by the API of the endpoints.
type Operation string

// The operations that an endpoint can be ordered to execute.
const (
	Load   Operation = "loading"
	Unload Operation = "unloading"
)

// Order tells an endpoint to load or unload a model, or an adapter of a model that it has loaded.
type Order struct {
	Endpoint  string // ID
	Operation Operation
	Model     string
	Adapter   string // empty for the model itself
	// FreesMemoryFor is the model that is to be loaded in the memory that an unload frees. It is empty for other orders.
	FreesMemoryFor string
}

// Endpoint describes an endpoint to the planner. If the endpoint has an order in flight, Models describes the state after
// its execution.
type Endpoint struct {
	ID     string
	Models map[string][]string // loaded models, each with its loaded adapters
	// Excluded is true for an endpoint that is not ready, for example because it is draining. It gets no orders, and its
	// models do not count as replicas.
	Excluded bool
	// OrderInFlight is true from the start of an order until it has ended, or until the endpoint reports to be idle after the
	// order was dropped. The endpoint gets no other order in that time.
	OrderInFlight bool
	// ReservedFor is the model that the order in flight frees memory for. It is empty if the order frees none, or if no order
	// is in flight.
	ReservedFor string
}

// Apply replaces Models by the state after the execution of an order. The previous map and its lists are not modified.
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

// withoutAdapter returns a copy of a list of adapters without one of them. The copy is never nil, since a nil list means that
// the model is not loaded.
func withoutAdapter(adapters []string, removed string) []string {
	kept := []string{}
	for _, adapter := range adapters {
		if adapter != removed {
			kept = append(kept, adapter)
		}
	}
	return kept
}

// modelNames returns the sorted names of the loaded models. Sums over the models must use this order: the rounding of a
// floating-point sum depends on its order, and with the random order of the map the plan would, too.
func (e *Endpoint) modelNames() []string { return slices.Sorted(maps.Keys(e.Models)) }

// Fits reports whether an endpoint has enough memory and adapter slots for the order. An unload always fits. A load does not
// fit an endpoint with a model that the engine does not list, since the size of that model is unknown.
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

// adapterCount returns the number of loaded adapters of all models.
func (e *Endpoint) adapterCount() int {
	count := 0
	for _, adapters := range e.Models {
		count += len(adapters)
	}
	return count
}

// modelCatalog maps the names of the models that an engine lists to their configuration.
type modelCatalog map[string]fleetconfig.Model

// newModelCatalog returns the catalog of an engine's models.
func newModelCatalog(engine *fleetconfig.Engine) modelCatalog {
	models := make(modelCatalog, len(engine.Models))
	for _, model := range engine.Models {
		models[model.Name] = model
	}
	return models
}

// replicaMB returns the memory that a model with the given number of adapters takes, in MB. It returns 0 for a model that the
// engine does not list.
func (c modelCatalog) replicaMB(model string, adapters int) float64 {
	listed := c[model]
	return listed.WeightsSizeMB + float64(adapters)*listed.AdapterSizeMB
}

// usedMB returns the memory that an endpoint's models and adapters take, in MB.
func (c modelCatalog) usedMB(e *Endpoint) float64 {
	var used float64
	for _, model := range e.modelNames() {
		used += c.replicaMB(model, len(e.Models[model]))
	}
	return used
}
