package protocol

import "dykering/internal/coordination"

// CoordinationWrite asks the head of the chain to execute a command of the coordination service. A control process sends it to
// forward a caller's request; the head answers with a Reply. If either is lost, the outcome of the command is not known.
type CoordinationWrite struct {
	From    string // address to which the reply is sent
	ID      uint64 // number of the call, unique for the sender's incarnation
	Command coordination.Command
}

// CoordinationRead asks the tail of the chain for a cell or for the revision of a group; the other name is empty. If it or its
// Reply is lost, the caller's request fails as unavailable.
type CoordinationRead struct {
	From  string // address to which the reply is sent
	ID    uint64 // number of the call, unique for the sender's incarnation
	Cell  string
	Group string
}
