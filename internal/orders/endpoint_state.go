package orders

import (
	"slices"
	"time"

	"dykering/internal/placement"
)

// endpointState is what the lease holder knows that an endpoint has loaded: its report, and the orders that it has executed
// since. Without a report (known is false) the next order starts by fetching one.
type endpointState struct {
	hasReport       bool
	sequence        uint64 // of the endpoint's orders: the next order is accepted only at this one
	models          map[string][]string
	reportNotBefore time.Duration // a report of before is too old to count
}

// apply changes the state as an order does once it has been executed.
func (state *endpointState) apply(order placement.Order) {
	endpoint := placement.Endpoint{Models: state.models}
	endpoint.Apply(order)
	state.models = endpoint.Models
}

// invalidate has the next order start by fetching a report, once it can no longer be older than now.
func (state *endpointState) invalidate(now time.Duration) {
	*state = endpointState{reportNotBefore: now + MaxReportAge}
}

// applyReport takes the report of an idle endpoint.
func (state *endpointState) applyReport(report Report) {
	*state = endpointState{hasReport: true, sequence: report.Sequence, models: report.Models}
}

// isExecuted reports whether models are as they are after an order.
func isExecuted(order placement.Order, models map[string][]string) bool {
	adapters, loaded := models[order.Model]
	present := loaded
	if order.Adapter != "" {
		present = slices.Contains(adapters, order.Adapter)
	}
	return present == (order.Operation == placement.Load)
}
