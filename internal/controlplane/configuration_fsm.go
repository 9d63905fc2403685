package controlplane

import (
	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/fleetconfig"
)

// The functions of this file are the state machine that the chain replicates. Its value is defined by package corestate.
// Its operations are encoded fleetconfig.Change and coordination.Command values. The functions depend only on their
// arguments, so that all replicas reach the same state.

// coordinationOperationVersion is the operation version that introduced the commands of the coordination service.
// Configuration changes have version 0.
const coordinationOperationVersion = 1

// decide returns the head's decision on a change, given the head's latest state.
func decide(latest *fleetconfig.State, digests [2]fleetconfig.Digest, change fleetconfig.Change) chain.Decision {
	if latest.HasAppliedAny(digests) {
		return chain.Decision{AlreadyApplied: true} // a retry after a lost response
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

// encodeOperation encodes a change or a command in the format of the records on disk.
func encodeOperation(operation any) ([]byte, error) {
	return newRecordEncoder().encode(operation)
}

// applyOperation returns the state after an operation. An operation that cannot be decoded leaves the state unchanged,
// on every replica alike.
func applyOperation(value any, operation []byte) any {
	records, err := decodeRecords([][]byte{operation})
	if err != nil {
		return value
	}
	switch decoded := records[0].(type) {
	case fleetconfig.Change:
		return corestate.WithConfiguration(value, corestate.Configuration(value).Apply(&decoded))
	case coordination.Command:
		next, _, _ := corestate.Coordination(value).Execute(decoded) // every replica rejects the same commands
		return corestate.WithCoordination(value, next)
	}
	return value
}
