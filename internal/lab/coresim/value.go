package coresim

import "encoding/binary"

// log is the replicated value: the operations, in order. It is never changed in place.
type log struct{ operations []operation }

func apply(value any, encoded []byte) any {
	old := value.(log).operations
	op := operation{number: binary.BigEndian.Uint64(encoded), base: binary.BigEndian.Uint64(encoded[8:])}
	return log{operations: append(old[:len(old):len(old)], op)}
}

func encode(op operation) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, op.number)
	return binary.BigEndian.AppendUint64(encoded, op.base)
}

func (l log) has(number uint64) bool {
	for i := len(l.operations) - 1; i >= 0; i-- {
		if l.operations[i].number == number {
			return true
		}
	}
	return false
}
