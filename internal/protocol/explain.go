package protocol

import (
	"time"

	"dykering/internal/sessions"
)

// ExplainRequest asks a control process why a model has its current replicas. An operator's command sends it as the only
// message on a connection; the answer is an Explanation. If either is lost, the command times out.
type ExplainRequest struct {
	Model string
}

// Explanation answers an ExplainRequest.
type Explanation struct {
	Model string
	Now   time.Duration // current time on the clock of the answering process, which the times of the decisions refer to
	// Holds is true if the answering process is the lease holder of the placement. Demand and Decisions are set only in that
	// case.
	Holds bool
	// Copies are the replicas of the model.
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

// ModelDemand is the estimated demand for a model. Package placement describes the estimate.
type ModelDemand struct {
	Rate     float64 // requests a second
	InFlight int     // requests in flight
	Waiting  int     // requests in flight whose response has not begun
	Pressure float64 // moving average of Waiting, extrapolated if the rate grows
	Unplaced bool    // a recent request found no endpoint
}

// ServiceDemand is the demand for a model at one service.
type ServiceDemand struct {
	Service string
	ModelDemand
}

// Decision is an order of the placement with the demand that led to it.
type Decision struct {
	At        time.Duration // on the clock of the lease holder's process
	Service   string
	Endpoint  string
	Operation string // "loading" or "unloading"
	Model     string
	Adapter   string // empty for the model itself
	// For is the model that an unload frees memory for; empty for a load.
	For string
	// Copies is the number of replicas of the model before the order.
	Copies int
	Demand ModelDemand
}
