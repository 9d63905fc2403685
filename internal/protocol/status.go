package protocol

import (
	"time"

	"dykering/internal/chain"
	"dykering/internal/sessions"
)

// StatusRequest asks a control process for its status. An operator's command sends it as the only message on a
// connection; the answer is a Status. If either is lost, the command times out.
type StatusRequest struct{}

// Status is the system as one control process sees it.
type Status struct {
	Self    chain.Member
	View    chain.View
	InForce bool // a majority has recently confirmed the view
	Sealed  bool // this process accepts no writes in the view, as it has promised to support another
	// Seq and Committed are the sequence numbers of the last change that this process has stored, and of the last that it
	// knows to be committed.
	Seq       uint64
	Committed uint64
	Version   int64 // of the committed configuration
	// Holds is true if this process is the lease holder of the placement. (gob field name, fixed.)
	Holds       bool
	Members     []MemberStatus
	Subscribers []SubscriberStatus // of this process alone
	Endpoints   map[sessions.State]int
	// DiskBehind is how long the write that is now in progress has taken; 0 if there is none.
	DiskBehind time.Duration
	// Tolerance is nil in the answer of an earlier version.
	Tolerance *Tolerance `json:",omitempty"`
	// Coordination is nil in the answer of an earlier version.
	Coordination *CoordinationStatus `json:",omitempty"`
}

// Tolerance is which further losses the core can bear.
type Tolerance struct {
	// Losses is how many more voters may be lost before no majority is left; negative if there is none without those that
	// leave or cannot be reached.
	Losses int
	// Leaving are the voters that have been asked to stop, Unreachable the others that do not answer.
	Leaving, Unreachable []chain.MemberID
}

// MemberStatus is what a control process knows of a voter.
type MemberStatus struct {
	ID        chain.MemberID
	Reachable bool // it has recently answered
	InChain   bool // it is a replica of the view's chain, not only a voter
}

// SubscriberStatus is how far a proxy has followed its stream.
type SubscriberStatus struct {
	Name string // node_name of the proxy
	Ack  Ack    // its last acknowledgement
	// Behind is how many committed changes of the configuration it has not acknowledged.
	Behind uint64
}
