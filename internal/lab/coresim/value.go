package coresim

import (
	"encoding/binary"

	"dykering/internal/coordination"
)

// log is the replicated value: the list of the operations of the operators. It is never modified in place.
type log struct {
	operations []operation
	// coordination is the state of the coordination service; nil while nothing was written to it.
	coordination *coordination.State
}

// apply is chain.Config.Apply: it appends an operation.
func apply(value any, encoded []byte) any {
	next := value.(log)
	old := next.operations
	op := operation{number: binary.BigEndian.Uint64(encoded), base: binary.BigEndian.Uint64(encoded[8:])}
	next.operations = append(old[:len(old):len(old)], op)
	return next
}

// encode returns the form of an operation in the chain's log.
func encode(op operation) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, op.number)
	return binary.BigEndian.AppendUint64(encoded, op.base)
}

// has reports whether the list contains an operation. Recent ones are found first.
func (l log) has(number uint64) bool {
	for i := len(l.operations) - 1; i >= 0; i-- {
		if l.operations[i].number == number {
			return true
		}
	}
	return false
}
