package protocol

import (
	"encoding/gob"

	"dykering/internal/chain"
	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/fleetconfig"
)

// registeredType is a type that gob encodes as an interface value, with its name in the encoded form.
type registeredType struct {
	name  string
	value any
}

// registeredTypes are the types that processes send to one another or store as interface values.
//
// The names are part of the wire format and of the disk format. gob writes the name with each interface value and looks up
// the type by it when decoding. Each name is the one under which gob.Register first registered the type: its import path and
// type name at that time or, for a pointer, the package name and the type name. This package was then named feed. A name must
// not change when a type or a package is renamed or moved. The names of the exported fields of these types, and of the types
// that they contain, must not change either, since gob matches fields by name.
var registeredTypes = []registeredType{
	// Messages of chain replication between control processes.
	{"dykering/internal/chain.Ping", chain.Ping{}},
	{"dykering/internal/chain.Pong", chain.Pong{}},
	{"dykering/internal/chain.Prepare", chain.Prepare{}},
	{"dykering/internal/chain.Promise", chain.Promise{}},
	{"dykering/internal/chain.Reject", chain.Reject{}},
	{"dykering/internal/chain.Accept", chain.Accept{}},
	{"dykering/internal/chain.AcceptedReply", chain.AcceptedReply{}},
	{"dykering/internal/chain.Install", chain.Install{}},
	{"dykering/internal/chain.Append", chain.Append{}},
	{"dykering/internal/chain.Committed", chain.Committed{}},

	// Messages between control processes, proxies and the operator's commands.
	{"dykering/internal/feed.Subscribe", Subscribe{}},
	{"dykering/internal/feed.Update", Update{}},
	{"dykering/internal/feed.Ack", Ack{}},
	{"dykering/internal/feed.DemandReport", DemandReport{}},
	{"dykering/internal/feed.SessionUpdate", SessionUpdate{}},
	{"dykering/internal/feed.SessionAck", SessionAck{}},
	{"dykering/internal/feed.SessionPull", SessionSnapshotRequest{}},
	{"dykering/internal/feed.SessionWhole", SessionSnapshot{}},
	{"dykering/internal/feed.LoadShare", EndpointLoadSync{}},
	{"dykering/internal/feed.LedgerShare", LoadLedgerSync{}},
	{"dykering/internal/feed.SessionDigest", SessionDigest{}},
	{"dykering/internal/feed.SessionRange", SessionRange{}},
	{"dykering/internal/feed.StatusAsk", StatusRequest{}},
	{"dykering/internal/feed.Status", Status{}},
	{"dykering/internal/feed.ExplainAsk", ExplainRequest{}},
	{"dykering/internal/feed.Explanation", Explanation{}},
	{"dykering/internal/feed.Subscribers", SubscriberCount{}},
	{"dykering/internal/feed.Write", Write{}},
	{"dykering/internal/feed.Read", Read{}},
	{"dykering/internal/feed.Reply", Reply{}},

	// Messages of the coordination service. LockExplainRequest and LockExplanation are those of an operator's command; the
	// others are sent between control processes.
	{"dykering/internal/protocol.CoordinationWrite", CoordinationWrite{}},
	{"dykering/internal/protocol.CoordinationRead", CoordinationRead{}},
	{"dykering/internal/protocol.LockExplainRequest", LockExplainRequest{}},
	{"dykering/internal/protocol.LockExplanation", LockExplanation{}},

	// The replicated value and the changes to it. Until the first write to the coordination service, the value is the
	// configuration alone, as in builds without that service.
	{"dykering/internal/corestate.State", &corestate.State{}},
	{"dykering/internal/coordination.Command", coordination.Command{}},
	{"*fleetconfig.State", &fleetconfig.State{}},
	{"dykering/internal/fleetconfig.Change", fleetconfig.Change{}},

	// Records on the disk of a control process.
	{"dykering/internal/chain.Snapshot", chain.Snapshot{}},
	{"dykering/internal/chain.EntryRecord", chain.EntryRecord{}},
	{"dykering/internal/chain.PromiseRecord", chain.PromiseRecord{}},
	{"dykering/internal/chain.AcceptRecord", chain.AcceptRecord{}},
	{"dykering/internal/chain.HeldRecord", chain.LeaseRecord{}},
	{"dykering/internal/chain.InstallRecord", chain.InstallRecord{}},
}

// Register registers all types with gob that are sent or stored as interface values.
func Register() {
	for _, registered := range registeredTypes {
		gob.RegisterName(registered.name, registered.value)
	}
}
