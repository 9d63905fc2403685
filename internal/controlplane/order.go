package controlplane

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

// The life of an order: the controller starts it (placementController.startOrder), its executor issues it and waits for
// its end (orderExecutor), and the controller applies the result (onOrderFinished). The functions here are the decisions
// on that way; they depend on their arguments alone.

// orderResult is how an order ended.
type orderResult int

const (
	orderDone    orderResult = iota
	orderRefused             // the endpoint did not accept it
	orderNotSent             // its state did not fit, or the lease was lost
	orderUnknown             // it may have been accepted
)

// inFlightOrder is an order that was started and has not ended.
type inFlightOrder struct {
	order       placement.Order
	expectedEnd time.Duration
	deadline    time.Duration // the order counts as ended then, whatever is known of it
}

// endpointState is what the lease holder knows that an endpoint has loaded: its report, and the orders that it has
// accepted since. Without a report (known is false) the next order starts by fetching one.
type endpointState struct {
	known     bool
	sequence  uint64 // of the endpoint's orders: the next order is accepted only at this one
	models    map[string][]string
	notBefore time.Duration // a report of before is too old to count
}

// after returns the state after an order has ended. An order that did not end well leaves the state unknown: the endpoint
// has to be asked, once a report can no longer be older than the order.
func (state endpointState) after(now time.Duration, order placement.Order, result orderResult) endpointState {
	if result != orderDone {
		return endpointState{notBefore: now + maxReportAge}
	}
	endpoint := placement.Endpoint{Models: state.models}
	endpoint.Apply(order)
	state.models = endpoint.Models
	return state
}

// usesOrigin reports whether an order to load still takes part of what the origin of the weights can carry: until its
// expected end, and again from when its end should have been noticed, as it is late then.
func (o *inFlightOrder) usesOrigin(now time.Duration) bool {
	return now < o.expectedEnd || now > o.expectedEnd+maxReportAge+completionPollInterval
}

// loadsWeights reports whether an order loads a model's weights from the origin. Adapters are small and do not count.
func loadsWeights(order placement.Order) bool {
	return order.Operation == placement.Load && order.Adapter == ""
}

// expectedDuration is how long an order should take at an endpoint.
func expectedDuration(engine *fleetconfig.Engine, order placement.Order) time.Duration {
	if !loadsWeights(order) {
		return adapterLoadTime
	}
	for _, model := range engine.Models {
		if model.Name == order.Model {
			return time.Duration(model.LoadTimeS * float64(time.Second))
		}
	}
	return adapterLoadTime
}

// override is what an order changes at its endpoint, as proxies see it.
func override(order placement.Order) sessions.ModelOverride {
	return sessions.ModelOverride{Model: order.Model, Adapter: order.Adapter, Present: order.Operation == placement.Load}
}

// plannerEndpoint is an endpoint as the planner sees it: with what its holder knows of it rather than its heartbeat, and
// with an order in flight counted as done. The state and the order may be nil.
func plannerEndpoint(session *sessions.Endpoint, state *endpointState, inFlight *inFlightOrder) placement.Endpoint {
	endpoint := placement.Endpoint{
		ID: session.ID, Models: adaptersByModel(session.Heartbeat.Models), Excluded: session.State != sessions.Ready,
	}
	if state != nil && state.known {
		endpoint.Models = state.models
	}
	if inFlight != nil {
		endpoint.OrderInFlight = true
		endpoint.Apply(inFlight.order)
		endpoint.ReservedFor = inFlight.order.FreesMemoryFor
	}
	return endpoint
}

// adaptersByModel is what an endpoint reports to have loaded, in the planner's form.
func adaptersByModel(loaded []sessions.LoadedModel) map[string][]string {
	models := map[string][]string{}
	for _, model := range loaded {
		models[model.Name] = append([]string{}, model.Adapters...)
	}
	return models
}
