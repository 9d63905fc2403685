package protocol

import "dykering/internal/sessions"

// SessionUpdate informs another control process of the sessions of endpoints: the modified sessions, and renewals of the
// others. It is broadcast after a modification, and at the interval of renewals. If it is lost, anti-entropy repairs the
// modifications and the next update repeats the renewals.
type SessionUpdate struct {
	From string // address of the sender
	// Ask is the number of a request for a SessionAck; 0 if none is requested. It is set for the departure of an endpoint, which
	// is acknowledged to the endpoint only once the voters have stored it.
	Ask     uint64
	Records []sessions.Record // modified sessions
	// Signs are renewals of sessions that have not been modified otherwise.
	Signs []sessions.Renewal
}

// SessionAck answers a SessionUpdate with a number in Ask, once the update's records are in the table and on the disk of the
// answering process. If it is lost, the departure is delayed until its deadline, when the acknowledgements of a majority are
// sufficient.
type SessionAck struct {
	From string // address of the sender
	Ask  uint64 // number of the request that is answered
}

// SessionSnapshotRequest requests all sessions from another control process. It is sent after a start, after a partition, and
// after a renewal of an unknown session. If it or its answer is lost, the sender serves no streams until its timeout for a
// full sync, and anti-entropy repairs the missing sessions.
type SessionSnapshotRequest struct {
	From string // address of the sender
}

// SessionSnapshot answers a SessionSnapshotRequest.
type SessionSnapshot struct {
	From    string // address of the sender
	Records []sessions.Record
}

// SessionDigest starts or continues a comparison of the session tables of two control processes (anti-entropy with a hash
// tree). The receiver answers each child range whose digest differs with a SessionDigest of that range or, for a leaf, with a
// SessionRange. If it is lost, the comparison ends, and the next round of anti-entropy starts another.
type SessionDigest struct {
	From    string // address of the sender
	Range   sessions.Range
	Digests [sessions.Fanout]uint64 // digests of the children of Range
}

// SessionRange has the sessions of a leaf range whose digests differ. The receiver merges them into its table. If it is lost,
// the next round of anti-entropy repairs the difference.
type SessionRange struct {
	From    string // address of the sender
	Range   sessions.Range
	Records []sessions.Record
	Ask     bool // requests the receiver's sessions of the range in answer
}
