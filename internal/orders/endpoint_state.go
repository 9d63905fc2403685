package orders

import (
	"slices"
	"time"

	"dykering/internal/placement"
)

// endpointState is what the lease holder knows of the models of an endpoint: its last report, plus the orders that it has
// executed since. If hasReport is false, the next order starts by fetching a report.
type endpointState struct {
	hasReport       bool
	sequence        uint64 // sequence number of the endpoint's last accepted order; the next order is conditional on it
	models          map[string][]string
	reportNotBefore time.Duration // earliest time at which a report can be fetched that is recent enough
}

// apply updates the models by an order that the endpoint has executed.
func (state *endpointState) apply(order placement.Order) {
	endpoint := placement.Endpoint{Models: state.models}
	endpoint.Apply(order)
	state.models = endpoint.Models
}

// invalidate discards the state. The next order starts by fetching a report, and does so MaxReportAge after now at the
// earliest, so that the report cannot describe a time before now.
func (state *endpointState) invalidate(now time.Duration) {
	*state = endpointState{reportNotBefore: now + MaxReportAge}
}

// applyReport replaces the state by the report of an idle endpoint.
func (state *endpointState) applyReport(report Report) {
	*state = endpointState{hasReport: true, sequence: report.Sequence, models: report.Models}
}

// isExecuted reports whether the models match the state after the execution of an order.
func isExecuted(order placement.Order, models map[string][]string) bool {
	adapters, loaded := models[order.Model]
	present := loaded
	if order.Adapter != "" {
		present = slices.Contains(adapters, order.Adapter)
	}
	return present == (order.Operation == placement.Load)
}
