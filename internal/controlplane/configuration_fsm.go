package controlplane

import "dykering/internal/fleetconfig"

// encodeOperation renders a change as an operation of the chain: gob, as records on disk are.
func encodeOperation(change fleetconfig.Change) ([]byte, error) {
	return newRecordEncoder().encode(change)
}

// applyOperation is the state after an operation; one that cannot be decoded changes nothing, at no replica.
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
