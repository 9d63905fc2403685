package orders

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

// Lease is the state of the caller's lease at the time of an input.
type Lease struct {
	Token uint64 // fencing token
	Held  bool   // true if the lease permits the caller to act now
}

// Request describes an order to start.
type Request struct {
	Order   placement.Order
	Address string              // address of the endpoint
	Engine  *fleetconfig.Engine // engine of the endpoint's service
	// HadRequests is true if requests for the model or adapter are in flight. An unload takes longer then, since the endpoint
	// finishes them first.
	HadRequests bool
}

// InFlight is an order in flight, as a lease holder passes it to its successor.
type InFlight struct {
	Order   placement.Order
	Address string // address of the endpoint
}

// Report is the state that an endpoint reports.
type Report struct {
	Models   map[string][]string // loaded models, each with its loaded adapters
	Busy     bool                // true if the endpoint is executing an order
	Sequence uint64              // number that rises with each accepted order
}

// CallID identifies a call to an endpoint. IDs are not reused.
type CallID uint64

// ReportCall asks an endpoint for its report. The caller passes the answer to ReportReceived.
type ReportCall struct {
	ID       CallID
	Endpoint string
	Address  string
}

// OrderCall posts an order to an endpoint. The caller passes the answer to OrderAnswered.
type OrderCall struct {
	ID         CallID
	Address    string
	Order      placement.Order
	IfRevision uint64 // the endpoint accepts the order only if its sequence number is this one
	Token      uint64 // fencing token
}

// Outcome is the result of an OrderCall.
type Outcome int

// The outcomes of an OrderCall.
const (
	Accepted    Outcome = iota // the endpoint executes the order
	AlreadyDone                // the endpoint is already in the state after the order
	Conflict                   // another order is in progress, or the sequence number is not IfRevision
	Refused                    // the endpoint does not execute the order
	Unknown                    // the call was not answered; the endpoint may have accepted the order
)

// Answer is the answer to an OrderCall.
type Answer struct {
	Outcome Outcome
	Status  int // status of the HTTP response; 0 if there was none
}

// Publication changes the models of an endpoint as proxies see them, ahead of the endpoint's heartbeats.
type Publication struct {
	Endpoint string
	Override sessions.ModelOverride
	// Withdraw is true if all overrides of the endpoint are withdrawn. Override is not set then.
	Withdraw bool
}

// Refusal is a refused order, to be logged.
type Refusal struct {
	Endpoint string
	Status   int // status of the HTTP response
}

// Output contains the actions that the caller must take after an input, in the order of the fields.
type Output struct {
	Publications []Publication
	Reports      []ReportCall
	Orders       []OrderCall
	Refusals     []Refusal
	// Replan is true if a new plan is useful, since an order has ended or has been dropped.
	Replan bool
}

// add appends the actions of another output.
func (o *Output) add(other Output) {
	o.Publications = append(o.Publications, other.Publications...)
	o.Reports = append(o.Reports, other.Reports...)
	o.Orders = append(o.Orders, other.Orders...)
	o.Refusals = append(o.Refusals, other.Refusals...)
	o.Replan = o.Replan || other.Replan
}

// LoadsWeights reports whether an order loads a model's weights from the store. The load of an adapter does not count, since
// adapters are small.
func LoadsWeights(order placement.Order) bool {
	return order.Operation == placement.Load && order.Adapter == ""
}

// ExpectedDuration returns the expected time from the acceptance of an order to the end of its execution. It returns
// adapterLoadTime for every order that does not load weights.
func ExpectedDuration(engine *fleetconfig.Engine, order placement.Order) time.Duration {
	if engine == nil || !LoadsWeights(order) {
		return adapterLoadTime
	}
	for _, model := range engine.Models {
		if model.Name == order.Model {
			return time.Duration(model.LoadTimeS * float64(time.Second))
		}
	}
	return adapterLoadTime
}

// OverrideOf returns the override that describes the effect of an order to the proxies.
func OverrideOf(order placement.Order) sessions.ModelOverride {
	return sessions.ModelOverride{Model: order.Model, Adapter: order.Adapter, Present: order.Operation == placement.Load}
}
