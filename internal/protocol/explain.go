package protocol

import (
	"time"

	"dykering/internal/sessions"
)

// ExplainRequest asks a control process why a model has the replicas that it has. An operator's command sends it as the
// only message on a connection; the answer is an Explanation. If either is lost, the command times out.
type ExplainRequest struct {
	Model string
}

// Explanation answers an ExplainRequest.
type Explanation struct {
	Model string
	Now   time.Duration // on the clock of the process that answers, as is the time of each decision
	// Holds is true if the process is the lease holder of the placement: only then are demand and decisions known.
	// (gob field name, fixed.)
	Holds bool
	// Copies are the replicas of the model. (gob field name, fixed.)
	Copies    []ModelReplica
	Demand    []ServiceDemand
	Decisions []Decision // oldest first; bounded
}

// ModelReplica is an endpoint that has a model loaded.
type ModelReplica struct {
	Endpoint string
	Zone     string
	State    sessions.State
}

// ModelDemand is the demand for a model at a moment. Package placement describes how it is estimated.
type ModelDemand struct {
	Rate     float64 // requests a second
	InFlight int     // requests in flight
	Waiting  int     // of those in flight, the ones whose response has not begun
	Pressure float64 // Waiting, averaged and extrapolated if the rate grows
	Unplaced bool    // a request has recently found no endpoint
}

// ServiceDemand is the demand for a model at one service.
type ServiceDemand struct {
	Service string
	ModelDemand
}

// Decision is an order of the placement, with the figures that led to it.
type Decision struct {
	At        time.Duration // on the clock of the lease holder's process
	Service   string
	Endpoint  string
	Operation string // "loading" or "unloading"
	Model     string
	Adapter   string // empty for the model itself
	// For is the model that an unload frees memory for; empty for a load. (gob field name, fixed.)
	For string
	// Copies is the number of the model's replicas before the order. (gob field name, fixed.)
	Copies int
	Demand ModelDemand
}
