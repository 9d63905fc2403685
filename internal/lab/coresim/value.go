package coresim

import (
	"encoding/binary"

	"dykering/internal/coordination"
)

// log is the replicated value: the list of the operators' operations. It is immutable; apply returns a new one.
type log struct {
	operations []operation
	// coordination is the state of the coordination service. It is nil until the first command is applied.
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

// encode returns the encoding of an operation as an entry of the chain.
func encode(op operation) []byte {
	encoded := binary.BigEndian.AppendUint64(nil, op.number)
	return binary.BigEndian.AppendUint64(encoded, op.base)
}

// has reports whether the list contains an operation. It searches from the latest one, as most calls ask for a recent one.
func (l log) has(number uint64) bool {
	for i := len(l.operations) - 1; i >= 0; i-- {
		if l.operations[i].number == number {
			return true
		}
	}
	return false
}
