package protocol

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/sessions"
)

// StatusRequest requests the status of a control process. An operator's command sends it as the only message on a
// connection; the answer is a Status. If either is lost, the command times out.
type StatusRequest struct{}

// Status is the status of the system as one control process knows it.
type Status struct {
	Self    chain.Member
	View    chain.View
	InForce bool // a majority has recently confirmed the view
	Sealed  bool // this process accepts no writes in the view, since it has promised a proposal number for the next view
	// Seq is the sequence number of the last change that this process has stored. Committed is that of the last change that it
	// knows to be committed.
	Seq       uint64
	Committed uint64
	Version   int64 // version of the committed configuration
	// Holds is true if this process is the lease holder of the placement.
	Holds       bool
	Members     []MemberStatus
	Subscribers []SubscriberStatus     // proxies that are subscribed to this process
	Endpoints   map[sessions.State]int // number of endpoints in each state
	// DiskBehind is how long the disk write in progress has taken so far; 0 if there is none.
	DiskBehind time.Duration
	// Tolerance is nil in the answer of an earlier version.
	Tolerance *Tolerance `json:",omitempty"`
	// Coordination is nil in the answer of an earlier version.
	Coordination *CoordinationStatus `json:",omitempty"`
}

// Tolerance describes how many further failures of control processes the system can tolerate.
type Tolerance struct {
	// Losses is the number of further voters that may fail before there is no majority. It is negative if the voters that are
	// neither leaving nor unreachable are no majority.
	Losses int
	// Leaving are the voters that were told to stop. Unreachable are the other voters that do not answer.
	Leaving, Unreachable []chain.MemberID
}

// MemberStatus is the status of a voter as a control process knows it.
type MemberStatus struct {
	ID        chain.MemberID
	Reachable bool // the voter has answered recently
	InChain   bool // the voter is also a replica in the chain of the view
}

// SubscriberStatus is the progress of a proxy on its stream.
type SubscriberStatus struct {
	Name string // node_name of the proxy
	Ack  Ack    // last acknowledgement of the proxy
	// Behind is the number of committed changes of the configuration that the proxy has not acknowledged.
	Behind uint64
}
