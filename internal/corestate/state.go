package corestate

import (
	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/fleetconfig"
)

// State is the replicated value once the coordination service has been used. The names of its fields must not change, since it
// is encoded with encoding/gob.
type State struct {
	Configuration *fleetconfig.State
	Coordination  *coordination.State
	// CoordinationOperations counts the operations on the coordination service that led to this state.
	CoordinationOperations uint64
}

// Initial returns the value of a new system.
func Initial() any { return &fleetconfig.State{} }

// Configuration returns the configuration in a value, or an empty one if the value has an unknown type.
func Configuration(value any) *fleetconfig.State {
	switch v := value.(type) {
	case *fleetconfig.State:
		return v
	case *State:
		return v.Configuration
	}
	return &fleetconfig.State{}
}

// Coordination returns the state of the coordination service in a value, or an empty one if the value has none.
func Coordination(value any) *coordination.State {
	if state, ok := value.(*State); ok && state.Coordination != nil {
		return state.Coordination
	}
	return coordination.Empty()
}

// WithConfiguration returns a copy of a value with another configuration.
func WithConfiguration(value any, configuration *fleetconfig.State) any {
	state, ok := value.(*State)
	if !ok {
		return configuration
	}
	next := *state
	next.Configuration = configuration
	return &next
}

// WithCoordination returns the value after an operation on the coordination service that led to the given state of the service.
// It counts the operation.
func WithCoordination(value any, state *coordination.State) any {
	next := State{Configuration: Configuration(value), Coordination: state, CoordinationOperations: 1}
	if previous, ok := value.(*State); ok {
		next.CoordinationOperations += previous.CoordinationOperations
	}
	return &next
}

// ConfigurationSeq returns the number of operations on the configuration that led to a state of the chain. Operations on the
// coordination service do not change it, so it identifies a version of the configuration.
func ConfigurationSeq(state chain.State) uint64 {
	if value, ok := state.Value.(*State); ok {
		return state.Seq - value.CoordinationOperations
	}
	return state.Seq
}
