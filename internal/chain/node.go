package chain

import (
	"time"
)

// Node is one member's state machine.
type Node struct {
	config Config
	self   Member

	view     View
	base     State          // with which the view began, or a later committed state of it
	log      []logged       // of the view, after base
	state    State          // base with all of the log
	promised ProposalNumber // for the view after this one; zero for none
	accepted *Accepted

	committed uint64
	known     bool             // committed is the tail's word in this life
	peers     map[string]*peer // by address
	proposing *proposing
	healthy   bool
	leaving   bool

	stored       uint64        // number of the view that is on disk
	outOfTouchAt time.Duration // when no majority of the voters answered last
	nonce        uint64
	nextPing     time.Duration
	sealedAt     time.Duration
	wantSince    time.Duration // since when the view should be another one; 0 for it should not
	holderSince  time.Duration // when this member became the holder
	held         uint64        // the token with which it has waited out its pause
	nextProposal time.Duration
	resentAt     time.Duration
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
	n.state, n.known = n.base, true
	n.holderSince = now - config.ReturnDelay // nobody has held the role before
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
	n.committed, n.stored = n.base.Seq, n.view.Number
	if n.IsTail() {
		n.committed, n.known = n.state.Seq, true // what the tail has stored, all others have
	}
	if n.view.Holder == n.self.ID && n.held == n.view.Token {
		n.holderSince = now - config.ReturnDelay // nobody else can have held the role since
	}
	return n
}

func newNode(config Config, now time.Duration) *Node {
	return &Node{config: config, self: config.Self, peers: map[string]*peer{}, healthy: true, nonce: config.FirstNonce, outOfTouchAt: now, holderSince: now,
		nextProposal: now + 2*config.SuspectTimeout}
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) Output {
	var out Output
	if !n.HasQuorum(now) {
		n.outOfTouchAt = now
	}
	if now >= n.nextPing {
		n.nextPing = now + n.config.PingInterval
		out.ImmediateMessages = n.pings(now)
	}
	out.Messages = append(out.Messages, n.resend(now)...)
	if token, holds := n.HoldsLease(now); holds && n.held != token {
		n.held = token
		out.Records = append(out.Records, HeldRecord{Token: token})
	}
	proposal := n.consider(now)
	out.Records = append(out.Records, proposal.Records...)
	out.Messages = append(out.Messages, proposal.Messages...)
	out.ViewInstalled = proposal.ViewInstalled
	return out
}

// Receive takes a message.
func (n *Node) Receive(now time.Duration, message any) Output {
	switch m := message.(type) {
	case Ping:
		return n.onPing(now, m)
	case Pong:
		return n.onPong(now, m)
	case Prepare:
		return n.onPrepare(now, m)
	case Promise:
		return n.onPromise(now, m)
	case Reject:
		return n.onReject(now, m)
	case Accept:
		return n.onAccept(now, m)
	case AcceptedReply:
		return n.onAccepted(now, m)
	case Install:
		return n.onInstall(now, m)
	case Append:
		return n.onAppend(m)
	case Committed:
		n.onCommitted(m.From, m.View, m.Seq)
	case Stored:
		n.stored = max(n.stored, m.View)
	}
	return Output{}
}

// SetDiskHealthy tells whether the disk answers.
func (n *Node) SetDiskHealthy(healthy bool) { n.healthy = healthy }

// SetSeeds names other seeds.
func (n *Node) SetSeeds(seeds []string) { n.config.Seeds = seeds }
