// Package protocol has the messages between processes of the system beside those of the chain: what control sidecars tell
// the sidecars that carry traffic and one another, and what those report.
package protocol

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/fleetconfig"
	"dykering/internal/sessions"
)

// Subscribe opens a stream of updates.
type Subscribe struct {
	Name      string
	Zone      string
	ConfigSeq uint64 // what the subscriber has
}

// ControlProcess is a control sidecar that streams may be had from.
type ControlProcess struct {
	Address string
	Zone    string // empty where it is not known, or the control sidecar cannot be reached now
}

// Configuration is a committed configuration.
type Configuration struct {
	Seq      uint64 // rises with every committed change
	Document fleetconfig.Document
}

// Update is one message of the stream. What has not changed is left out.
type Update struct {
	Revision      uint64 // of the endpoints
	Whole         bool   // the endpoints are all there are
	Endpoints     []sessions.Endpoint
	Configuration *Configuration
	Members       []ControlProcess // now and then
	Subscribers   int              // sidecars that carry traffic, over all control sidecars
	HasLoads      bool
	Loads         []EndpointLoad // of all sidecars; an endpoint that is not named has none
	Leaving       bool           // this control sidecar cannot serve the stream: go to another
}

// Ack tells what of the stream is in force at the subscriber.
type Ack struct {
	Revision  uint64
	ConfigSeq uint64
}

// Demand is what was asked for since the last report.
type Demand struct {
	Service  string
	Model    string
	Adapter  string
	Requests int
	Tokens   float64 // work, in tokens
	Unplaced int     // requests that found no endpoint with the model or adapter
	InFlight int     // requests under way now
	Waiting  int     // of them, those whose answer has not begun
}

// EndpointLoad is the calls to an endpoint.
type EndpointLoad struct {
	ID       string
	InFlight int
	Waiting  int // of them, those whose answer has not begun
	// Good and Failed count the calls that have ended: in a sidecar's report those since the last one, elsewhere those of
	// all sidecars, the older the less.
	Good   float64
	Failed float64
}

// DemandReport is a sidecar's demand, and its calls to endpoints.
type DemandReport struct {
	From    string
	Demands []Demand
	Loads   []EndpointLoad
}

// EndpointLoadSync tells another control sidecar of the calls of all sidecars that follow a stream here.
type EndpointLoadSync struct {
	From  string
	Loads []EndpointLoad
}

// LoadLedgerSync tells another control sidecar of the loads of weights that the holder of the placement has begun.
type LoadLedgerSync struct {
	Token uint64
	Ages  []uint16 // of the loads, in hundredths of a second
}

// SessionUpdate tells another control sidecar of sessions. Ask is answered by a SessionAck where it is not 0.
type SessionUpdate struct {
	From    string // address
	Ask     uint64
	Records []sessions.Record
	Signs   []sessions.Renewal
}

// SessionAck tells that a SessionUpdate is in the table.
type SessionAck struct {
	From string
	Ask  uint64
}

// SessionSnapshotRequest asks for all sessions.
type SessionSnapshotRequest struct{ From string }

// SessionSnapshot answers a SessionSnapshotRequest.
type SessionSnapshot struct {
	From    string
	Records []sessions.Record
}

// SessionDigest tells the digests of the parts of a range of the sessions.
type SessionDigest struct {
	From    string
	Range   sessions.Range
	Digests [sessions.Fanout]uint64
}

// SessionRange gives the sessions of a range; an answer in kind is asked for where Ask is set.
type SessionRange struct {
	From    string
	Range   sessions.Range
	Records []sessions.Record
	Ask     bool
}

// StatusRequest asks a control sidecar for its status.
type StatusRequest struct{}

// Status is how a control sidecar sees the system.
type Status struct {
	Self        chain.Member
	View        chain.View
	InForce     bool // a majority has lately confirmed the view
	Sealed      bool
	Seq         uint64
	Committed   uint64
	Version     int64 // of the configuration that is committed
	Holds       bool  // the placement's role
	Members     []MemberStatus
	Subscribers []SubscriberStatus
	Endpoints   map[sessions.State]int
	DiskBehind  time.Duration
}

// MemberStatus is what a control sidecar knows of a voter.
type MemberStatus struct {
	ID        chain.MemberID
	Reachable bool
	InChain   bool
}

// SubscriberStatus is how far a sidecar is that follows a stream.
type SubscriberStatus struct {
	Name string
	Ack  Ack
	// Behind is how many of the committed changes it has not acknowledged.
	Behind uint64
}

// SubscriberCount tells how many sidecars a control sidecar streams to.
type SubscriberCount struct {
	From  string
	Count int
}

// Write asks the head for a change of the configuration.
type Write struct {
	From   string
	ID     uint64
	Change fleetconfig.Change
}

// Read asks the tail for the configuration.
type Read struct {
	From string
	ID   uint64
}

// Reply answers a Write or a Read.
type Reply struct {
	ID       uint64
	Failed   bool
	Kind     int // of error
	Detail   string
	Document fleetconfig.Document
}

// Keepalive is the least time between two messages of a stream.
const Keepalive = 400 * time.Millisecond
