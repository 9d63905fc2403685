package controlplane

import (
	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/fleetconfig"
)

// The value that the chain replicates is that of package corestate; its operations are encoded fleetconfig.Change and
// coordination.Command values. The functions here are the state machine: they depend on their arguments alone, so all
// replicas come to the same state.

// coordinationOperationVersion is the version of the operations that the coordination service brought. Those of the
// configuration have version 0.
const coordinationOperationVersion = 1

// decide returns what the head does with a change in its newest state.
func decide(latest *fleetconfig.State, digests [2]fleetconfig.Digest, change fleetconfig.Change) chain.Decision {
	if latest.HasAppliedAny(digests) {
		return chain.Decision{AlreadyApplied: true} // it was sent again after an answer that got lost
	}
	if _, rejection := latest.Next(&change); rejection != nil {
		return chain.Decision{Rejection: rejection}
	}
	operation, err := encodeOperation(change)
	if err != nil {
		return chain.Decision{Rejection: err}
	}
	return chain.Decision{Operation: operation}
}

// encodeOperation encodes a change or a command as the records on disk are encoded.
func encodeOperation(operation any) ([]byte, error) {
	return newRecordEncoder().encode(operation)
}

// applyOperation returns the state after an operation. One that cannot be decoded changes nothing, at any replica.
func applyOperation(value any, operation []byte) any {
	records, err := decodeRecords([][]byte{operation})
	if err != nil {
		return value
	}
	switch decoded := records[0].(type) {
	case fleetconfig.Change:
		return corestate.WithConfiguration(value, corestate.Configuration(value).Apply(&decoded))
	case coordination.Command:
		next, _, _ := corestate.Coordination(value).Execute(decoded) // a command that is rejected here changes nothing, at any replica
		return corestate.WithCoordination(value, next)
	}
	return value
}
