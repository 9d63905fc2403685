package protocol

import (
	"time"

	"dykering/internal/fleetconfig"
	"dykering/internal/sessions"
)

// Keepalive is the longest time between two messages of a stream of updates. A proxy that receives nothing for
// well over this time considers the stream broken.
const Keepalive = 400 * time.Millisecond

// Subscribe opens a stream of updates. It is the first message of a proxy on a connection to a control process, which
// answers with Update messages. If it is lost, the proxy times out and subscribes to another control process.
type Subscribe struct {
	Name      string // node_name of the proxy
	Zone      string
	ConfigSeq uint64 // sequence number of the configuration that the proxy has in force; 0 for none
}

// Update is one message of a stream, from a control process to a proxy. It is sent as soon as something has changed, and
// otherwise every Keepalive. Parts that have not changed since the last message of the stream are left out. A stream is
// never resumed after a lost message: a proxy whose queue is full has its stream ended, and the next stream begins with
// a full sync.
type Update struct {
	// Revision is the modify index of the session table that the receiver has after this update.
	Revision uint64
	// Whole is true for a full sync: Endpoints are then all that there are, and replace what the proxy has.
	// (gob field name, fixed.)
	Whole         bool
	Endpoints     []sessions.Endpoint // those that were modified since the last update, including departed ones
	Configuration *Configuration      // nil if it has not changed
	Members       []ControlProcess    // with the first update and each keepalive
	Subscribers   int                 // proxies, over all control processes, for the fleet's retry budget; 0 for unknown
	HasLoads      bool                // Loads is present
	Loads         []EndpointLoad      // of all proxies together; an endpoint that is not listed has none
	// Leaving is true in the last message of a stream that the control process can no longer serve: the proxy subscribes
	// to another of Members. (gob field name, fixed.)
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
	Zone    string // empty if it is not known, or if the process cannot be reached now
}

// Ack acknowledges an Update, from a proxy on its stream. It holds what the proxy has in force after it. Acks are for
// the operator's status only; a lost one is superseded by the next.
type Ack struct {
	Revision  uint64 // modify index of the session table
	ConfigSeq uint64
}

// SubscriberCount informs the other control processes how many proxies follow a stream of the sender. It is sent with
// each round of anti-entropy. If it is lost, the last count remains valid for some rounds; after that the receiver
// assumes that each peer has as many subscribers as itself.
type SubscriberCount struct {
	From  string // address of the sender
	Count int
}
