package protocol

import (
	"dykering/internal/coordination"
	"dykering/internal/fleetconfig"
)

// Write asks the head of the chain to commit a change of the configuration. A control process sends it to forward an
// operator's request; the head answers with a Reply once the change is committed or rejected. If either is lost, the
// operator's request fails as unavailable, and the change may have been committed.
type Write struct {
	From   string // address to which the reply is sent
	ID     uint64 // number of the call, unique for the sender's incarnation
	Change fleetconfig.Change
}

// Read requests the committed configuration from the tail of the chain. A control process sends it to forward an operator's
// request; the tail answers with a Reply. If either is lost, the operator's request fails as unavailable.
type Read struct {
	From string // address to which the reply is sent
	ID   uint64 // number of the call, unique for the sender's incarnation
}

// Reply answers a Write, a Read, a CoordinationWrite or a CoordinationRead.
type Reply struct {
	ID       uint64 // number of the call that is answered
	Failed   bool
	Kind     int                  // errkind.Kind of the failure, if Failed
	Detail   string               // text of the failure, if Failed
	Document fleetconfig.Document // committed configuration, for a successful Read
	// Coordination is the result of a CoordinationWrite or CoordinationRead. It is also set for a put that failed because its
	// condition on the revision did not hold.
	Coordination coordination.Result
}
