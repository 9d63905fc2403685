package protocol

import "dykering/internal/sessions"

// SessionUpdate informs another control process of endpoints' sessions: those that have been modified, and renewals of
// the others. It is broadcast when something has changed, and at the interval of renewals. If it is lost, anti-entropy
// repairs the modifications and the next update the renewals.
type SessionUpdate struct {
	From string // address of the sender
	// Ask is the number of a request for a SessionAck; 0 if none is wanted. It is set for an endpoint that leaves, whose
	// departure is acknowledged to it only when the voters have stored it. (gob field name, fixed.)
	Ask     uint64
	Records []sessions.Record // modified sessions
	// Signs are renewals of sessions that have not been modified otherwise. (gob field name, fixed.)
	Signs []sessions.Renewal
}

// SessionAck answers a SessionUpdate with a number in Ask: its records are in the sender's table and on its disk. If it
// is lost, the departure waits until its deadline, when the acknowledgements of a majority are sufficient.
type SessionAck struct {
	From string // address of the sender
	Ask  uint64 // number of the request
}

// SessionSnapshotRequest asks another control process for all sessions. It is sent after a start, after a partition, and
// when a renewal is for an unknown session. If it or its answer is lost, the sender serves no streams until its
// time-out for a full sync, and anti-entropy supplies what is missing.
type SessionSnapshotRequest struct {
	From string // address of the sender
}

// SessionSnapshot answers a SessionSnapshotRequest.
type SessionSnapshot struct {
	From    string // address of the sender
	Records []sessions.Record
}

// SessionDigest starts or continues a comparison of the session tables of two control processes (anti-entropy over a
// tree of digests). The receiver answers each child range whose digest differs with a SessionDigest of that range or,
// for a leaf, with a SessionRange. A lost one ends the comparison; the next round starts another.
type SessionDigest struct {
	From    string // address of the sender
	Range   sessions.Range
	Digests [sessions.Fanout]uint64 // of the children of Range
}

// SessionRange has the sessions of a leaf range that differs. The receiver merges them. A lost one is repaired by the
// next round of anti-entropy.
type SessionRange struct {
	From    string // address of the sender
	Range   sessions.Range
	Records []sessions.Record
	Ask     bool // the receiver answers with its own sessions of the range
}
