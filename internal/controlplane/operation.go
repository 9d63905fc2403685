package controlplane

import "dykering/internal/fleetconfig"

// operations are stored and sent as gob.
func encodeOperation(change fleetconfig.Change) ([]byte, error) {
	return newRecordEncoder().encode(change)
}

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
