package protocol

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/sessions"
)

// Keepalive is the longest time between two messages of a stream of updates. A proxy closes a stream on which it receives no
// message for considerably longer.
const Keepalive = 400 * time.Millisecond

// Subscribe opens a stream of updates. It is the first message of a proxy on a connection to a control process, which
// answers with Update messages. If it is lost, the proxy times out and subscribes to another control process.
type Subscribe struct {
	Name      string // node_name of the proxy
	Zone      string // zone of the proxy
	ConfigSeq uint64 // sequence number of the proxy's active configuration; 0 if it has none
	// SentAt is when the message was sent, on the clock of the proxy. Builds before it leave it 0.
	SentAt time.Duration
}

// Update is a message of a stream from a control process to a proxy. It is sent after each change, and otherwise at the
// interval Keepalive. It omits the parts that have not changed since the last message of the stream. A stream cannot continue
// after a lost message: if the queue to a proxy is full, its stream is closed, and the next stream begins with a full sync.
type Update struct {
	// Revision is the modify index of the receiver's session table after this update.
	Revision uint64
	// Whole is true for a full sync: Endpoints has all endpoints and replaces the proxy's table.
	Whole         bool
	Endpoints     []sessions.Endpoint // endpoints that were modified since the last update, including departed ones
	Configuration *Configuration      // nil if the configuration has not changed
	Members       []ControlProcess    // sent with the first update and with each keepalive
	Subscribers   int                 // proxies of all control processes, for the shared retry budget; 0 if unknown
	HasLoads      bool                // true if Loads is present
	Loads         []EndpointLoad      // loads of all proxies together; an endpoint that is not listed has no load
	// EchoedAt is SentAt of the latest message of the proxy that the control process had received before it made this update. The
	// update has all that was committed by then: its own time of arrival would not prove that, as it may have been delayed. It is
	// 0 in builds before it.
	EchoedAt time.Duration
	// Leaving is true in the last message of a stream that the control process can no longer serve. The proxy then subscribes
	// to another one of Members.
	Leaving bool
}

// Configuration is a committed configuration, as part of an Update.
type Configuration struct {
	Seq      uint64 // position in the replicated log; rises with every committed change
	Document fleetconfig.Document
}

// ControlProcess is a control process that a proxy may subscribe to, as part of an Update.
type ControlProcess struct {
	Address string // host:port for internal messages
	Zone    string // empty if the zone is unknown or the process is unreachable
}

// Ack acknowledges an Update. A proxy sends it on its stream, with the revisions that it has after the update. Acks are used
// for the operator's status and for Update.EchoedAt. If one is lost, the next one supersedes it.
type Ack struct {
	Revision  uint64 // modify index of the session table
	ConfigSeq uint64 // sequence number of the active configuration
	// SentAt is when the acknowledgement was made, on the clock of the proxy. Builds before it leave it 0. It is no part of the
	// operator's status, which is printed as JSON.
	SentAt time.Duration `json:"-"`
}

// SubscriberCount informs the other control processes how many proxies are subscribed to the sender. It is sent with each
// round of anti-entropy. If it is lost, the last count remains valid for some rounds; after that, the receiver assumes that
// the sender has as many subscribers as the receiver itself.
type SubscriberCount struct {
	From  string // address of the sender
	Count int
}
