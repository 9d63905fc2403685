package chain

import (
	"time"
)

// Node is one member's state machine.
type Node struct {
	config Config
	self   Member

	view           View
	base           State          // with which the view began, or a later committed state of it
	log            []logEntry     // of the view, after base
	state          State          // base with all of the log
	promisedNumber ProposalNumber // for the view after this one; zero for none
	accepted       *Accepted

	committed   uint64
	commitKnown bool             // committed is the tail's word in this life
	peers       map[string]*peer // by address
	proposer    *proposer
	diskHealthy bool
	leaving     bool

	persistedView       uint64        // number of the view that is on disk
	lastWithoutQuorumAt time.Duration // when no majority of the voters answered last
	lastNonce           uint64
	nextPingAt          time.Duration
	sealedAt            time.Duration
	reconfigureSince    time.Duration // since when the view should be another one; 0 for it should not
	leaseHolderSince    time.Duration // when this member became the holder
	leaseToken          uint64        // the token with which it has waited out its pause
	nextProposalAt      time.Duration
	lastResendAt        time.Duration
}

// Output is what follows from an event. Messages are sent once all records given out so far are stored; ImmediateMessages
// at once.
type Output struct {
	Records           []any
	Messages          []Envelope
	ImmediateMessages []Envelope
	// ViewInstalled tells that a new view is in force here.
	ViewInstalled bool
}

// NewGenesis is a member of the first view of a system that starts for the first time.
func NewGenesis(config Config, now time.Duration, view View, value any) (*Node, Output) {
	n := newNode(config, now)
	n.view, n.base = view, State{Value: value}
	n.state, n.commitKnown = n.base, true
	n.leaseHolderSince = now - config.ReturnDelay // nobody has held the role before
	return n, Output{Records: []any{n.snapshot()}}
}

// NewJoiner is a member that is in no view yet.
func NewJoiner(config Config, now time.Duration, value any) (*Node, Output) {
	n := newNode(config, now)
	n.base = State{Value: value}
	n.state = n.base
	return n, Output{Records: []any{n.snapshot()}}
}

// Restore is a member that has its records.
func Restore(config Config, now time.Duration, records []any) *Node {
	n := newNode(config, now)
	for _, record := range records {
		n.replay(record)
	}
	n.committed, n.persistedView = n.base.Seq, n.view.Number
	if n.IsTail() {
		n.committed, n.commitKnown = n.state.Seq, true // what the tail has stored, all others have
	}
	if n.view.Holder == n.self.ID && n.leaseToken == n.view.Token {
		n.leaseHolderSince = now - config.ReturnDelay // nobody else can have held the role since
	}
	return n
}

func newNode(config Config, now time.Duration) *Node {
	return &Node{config: config, self: config.Self, peers: map[string]*peer{}, diskHealthy: true, lastNonce: config.FirstNonce, lastWithoutQuorumAt: now, leaseHolderSince: now,
		nextProposalAt: now + 2*config.SuspectTimeout}
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) Output {
	var out Output
	if !n.HasQuorum(now) {
		n.lastWithoutQuorumAt = now
	}
	if now >= n.nextPingAt {
		n.nextPingAt = now + n.config.PingInterval
		out.ImmediateMessages = n.pingPeers(now)
	}
	out.Messages = append(out.Messages, n.resend(now)...)
	if token, holds := n.HoldsLease(now); holds && n.leaseToken != token {
		n.leaseToken = token
		out.Records = append(out.Records, LeaseRecord{Token: token})
	}
	proposal := n.maybePropose(now)
	out.Records = append(out.Records, proposal.Records...)
	out.Messages = append(out.Messages, proposal.Messages...)
	out.ViewInstalled = proposal.ViewInstalled
	return out
}

// Receive takes a message.
func (n *Node) Receive(now time.Duration, message any) Output {
	switch m := message.(type) {
	case Ping:
		return n.handlePing(now, m)
	case Pong:
		return n.handlePong(now, m)
	case Prepare:
		return n.handlePrepare(now, m)
	case Promise:
		return n.handlePromise(now, m)
	case Reject:
		return n.handleReject(now, m)
	case Accept:
		return n.handleAccept(now, m)
	case AcceptedReply:
		return n.handleAccepted(now, m)
	case Install:
		return n.handleInstall(now, m)
	case Append:
		return n.handleAppend(m)
	case Committed:
		n.handleCommitted(m.From, m.View, m.Seq)
	case Stored:
		n.persistedView = max(n.persistedView, m.View)
	}
	return Output{}
}

// SetDiskHealthy tells whether the disk answers.
func (n *Node) SetDiskHealthy(healthy bool) { n.diskHealthy = healthy }

// SetSeeds names other seeds.
func (n *Node) SetSeeds(seeds []string) { n.config.Seeds = seeds }
