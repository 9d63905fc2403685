package protocol

import (
	"time"

	"dykering/internal/sessions"
)

// ExplainRequest asks a control sidecar why a model stands where it does.
type ExplainRequest struct{ Model string }

// ModelDemand is what is asked of a model at a moment.
type ModelDemand struct {
	Rate     float64 // requests a second
	InFlight int
	Waiting  int     // of those in flight, those whose answer has not begun
	Pressure float64 // averaged waiting requests, ahead of a rate that grows
	Unplaced bool    // a request has lately found no endpoint
}

// ServiceDemand is the demand for a model at one service.
type ServiceDemand struct {
	Service string
	ModelDemand
}

// ModelReplica is an endpoint that holds a model.
type ModelReplica struct {
	Endpoint string
	Zone     string
	State    sessions.State
}

// Decision is an order of the placement with the figures it was given by.
type Decision struct {
	At        time.Duration // on the clock of the holder's process
	Service   string
	Endpoint  string
	Operation string
	Model     string
	Adapter   string
	For       string // the model that an unloading makes room for
	Copies    int    // of the model, when the order was given
	Demand    ModelDemand
}

// Explanation answers an ExplainRequest.
type Explanation struct {
	Model     string
	Now       time.Duration // on the clock of the process that answers
	Holds     bool          // it holds the placement: only then demand and decisions are known
	Copies    []ModelReplica
	Demand    []ServiceDemand
	Decisions []Decision // the oldest first
}
