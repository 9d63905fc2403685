package protocol

import (
	"dykering/internal/coordination"
	"dykering/internal/fleetconfig"
)

// Write asks the head of the chain to commit a change of the configuration. A control process sends it to forward an
// operator's request; the head answers with a Reply once the change is committed or rejected. If either is lost, the
// caller's request fails as unavailable, and the change may have been committed.
type Write struct {
	From   string // address to which the reply is sent
	ID     uint64 // number of the call, unique for the sender's incarnation
	Change fleetconfig.Change
}

// Read asks the tail of the chain for the committed configuration. A control process sends it to forward an operator's
// request. If it or its Reply is lost, the caller's request fails as unavailable.
type Read struct {
	From string // address to which the reply is sent
	ID   uint64 // number of the call, unique for the sender's incarnation
}

// Reply answers a Write, a Read, a CoordinationWrite or a CoordinationRead.
type Reply struct {
	ID       uint64 // of the call
	Failed   bool
	Kind     int                  // errkind.Kind of the failure, if Failed
	Detail   string               // text of the failure, if Failed
	Document fleetconfig.Document // of a Read that succeeded
	// Coordination is the result of a CoordinationWrite or CoordinationRead, also of a put that failed for its condition.
	Coordination coordination.Result
}
