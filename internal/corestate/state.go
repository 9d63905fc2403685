package corestate

import (
	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/fleetconfig"
)

// State is the replicated value once the coordination service is in use. Its field names are fixed.
type State struct {
	Configuration *fleetconfig.State
	Coordination  *coordination.State
	// CoordinationOperations is how many of the operations that led to this state were on Coordination.
	CoordinationOperations uint64
}

// Initial returns the value in which a system starts.
func Initial() any { return &fleetconfig.State{} }

// Configuration returns the configuration in a value.
func Configuration(value any) *fleetconfig.State {
	switch v := value.(type) {
	case *fleetconfig.State:
		return v
	case *State:
		return v.Configuration
	}
	return &fleetconfig.State{}
}

// Coordination returns the state of the coordination service in a value.
func Coordination(value any) *coordination.State {
	if state, ok := value.(*State); ok && state.Coordination != nil {
		return state.Coordination
	}
	return coordination.Empty()
}

// WithConfiguration returns a value with another configuration.
func WithConfiguration(value any, configuration *fleetconfig.State) any {
	state, ok := value.(*State)
	if !ok {
		return configuration
	}
	next := *state
	next.Configuration = configuration
	return &next
}

// WithCoordination returns a value after an operation on the coordination service.
func WithCoordination(value any, state *coordination.State) any {
	next := State{Configuration: Configuration(value), Coordination: state, CoordinationOperations: 1}
	if previous, ok := value.(*State); ok {
		next.CoordinationOperations += previous.CoordinationOperations
	}
	return &next
}

// ConfigurationSeq returns the number of operations on the configuration that led to a state of the chain. It rises with each
// change of the configuration, and with nothing else.
func ConfigurationSeq(state chain.State) uint64 {
	if value, ok := state.Value.(*State); ok {
		return state.Seq - value.CoordinationOperations
	}
	return state.Seq
}
