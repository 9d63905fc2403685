package orders

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/placement"
	"dykering/internal/sessions"
)

// Lease is what the caller knows of its lease at the time of an input.
type Lease struct {
	Token uint64 // fencing token
	Held  bool   // it may act now
}

// Request is an order to start, as the plan has it.
type Request struct {
	Order   placement.Order
	Address string // of the endpoint
	Engine  *fleetconfig.Engine
	// HadRequests is true if requests for the model or adapter are in flight, which an unload waits for.
	HadRequests bool
}

// InFlight is an order that a lease holder has in flight, as its successor needs to know it.
type InFlight struct {
	Order   placement.Order
	Address string // of the endpoint
}

// Report is what an endpoint says of itself.
type Report struct {
	Models   map[string][]string // loaded models, each with its loaded adapters
	Busy     bool                // an order is in progress
	Sequence uint64              // rises with each accepted order
}

// CallID identifies a call to an endpoint. It is never used twice.
type CallID uint64

// ReportCall asks an endpoint for its report. The answer is given to ReportReceived.
type ReportCall struct {
	ID       CallID
	Endpoint string
	Address  string
}

// OrderCall posts an order to an endpoint. The answer is given to OrderAnswered.
type OrderCall struct {
	ID         CallID
	Address    string
	Order      placement.Order
	IfRevision uint64
	Token      uint64
}

// Outcome is what an endpoint has made of an OrderCall.
type Outcome int

// The outcomes.
const (
	Accepted    Outcome = iota // the order is in progress
	AlreadyDone                // the endpoint has nothing to do for it
	Conflict                   // another order is in progress, or the revision is not the present one
	Refused                    // the endpoint does not execute it
	Unknown                    // no answer: it may have been accepted
)

// Answer is the answer to an OrderCall.
type Answer struct {
	Outcome Outcome
	Status  int // of the HTTP response; 0 if there was none
}

// Publication changes what proxies are told of an endpoint ahead of its heartbeats.
type Publication struct {
	Endpoint string
	Override sessions.ModelOverride
	// Withdraw is true if all overrides of the endpoint are withdrawn; Override is not set then.
	Withdraw bool
}

// Refusal is an order that an endpoint has not accepted, for the log.
type Refusal struct {
	Endpoint string
	Status   int // of the HTTP response
}

// Output is what the caller is to do after an input, in the order of the fields.
type Output struct {
	Publications []Publication
	Reports      []ReportCall
	Orders       []OrderCall
	Refusals     []Refusal
	// Replan is true if an endpoint may get its next order.
	Replan bool
}

func (o *Output) add(other Output) {
	o.Publications = append(o.Publications, other.Publications...)
	o.Reports = append(o.Reports, other.Reports...)
	o.Orders = append(o.Orders, other.Orders...)
	o.Refusals = append(o.Refusals, other.Refusals...)
	o.Replan = o.Replan || other.Replan
}

// LoadsWeights reports whether an order loads a model's weights from the origin. Adapters are small and do not count.
func LoadsWeights(order placement.Order) bool {
	return order.Operation == placement.Load && order.Adapter == ""
}

// ExpectedDuration is how long an order should take at an endpoint.
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

// OverrideOf is what an order changes at its endpoint, as proxies see it.
func OverrideOf(order placement.Order) sessions.ModelOverride {
	return sessions.ModelOverride{Model: order.Model, Adapter: order.Adapter, Present: order.Operation == placement.Load}
}
