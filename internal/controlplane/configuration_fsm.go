package controlplane

import (
	"dykering/internal/chain"
	"dykering/internal/fleetconfig"
)

// The value that the chain replicates is a *fleetconfig.State; its operations are encoded fleetconfig.Change values. The
// functions here are the state machine: they depend on their arguments alone, so all replicas come to the same state.

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

// encodeOperation encodes a change as the records on disk are encoded.
func encodeOperation(change fleetconfig.Change) ([]byte, error) {
	return newRecordEncoder().encode(change)
}

// applyOperation returns the state after an operation. One that cannot be decoded changes nothing, at any replica.
func applyOperation(value any, operation []byte) any {
	state, ok := value.(*fleetconfig.State)
	if !ok {
		return value
	}
	records, err := decodeRecords([][]byte{operation})
	if err != nil {
		return value
	}
	change, ok := records[0].(fleetconfig.Change)
	if !ok {
		return value
	}
	return state.Apply(&change)
}
