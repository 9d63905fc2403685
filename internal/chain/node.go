package chain

import (
	"time"
)

// Node is the state machine of one member. See the package comment for its contract.
//
// The state of a member follows from its fields:
//
//	state      condition                       writes    next states
//	joining    view number 0                   rejected  follower or in chain, by Install
//	follower   voter outside of the chain      rejected  in chain, sealed, removed
//	in chain   voter in the chain              accepted  follower, sealed, removed
//	sealed     voter, promisedNumber not zero  rejected  follower, in chain, removed; by Install only
//	removed    not a voter of its view         rejected  follower or in chain, if it is healthy and asks to join
//
// A sealed member stays sealed until it installs a later view, even across restarts, because a promise is never revoked. The
// proposer sends the view to the members that the view removes. A removed member stops if it is leaving (see CanStop).
type Node struct {
	config Config
	self   Member

	// Replication.

	view View
	// viewBaseSeq is the sequence number of the state that the view started from. It is 0 if this incarnation does not know
	// it: the member was restored from disk, or it received the view with a later state.
	viewBaseSeq uint64
	// base is the state before the first entry of log: the state that the view started from, or a later committed state.
	base State
	log  []logEntry
	// state is base with all entries of log applied.
	state State
	// committed is the highest sequence number known to be committed.
	committed uint64
	// commitKnown is true once this incarnation has learned the commit position (see IsCommitKnown).
	commitKnown  bool
	lastResendAt time.Duration

	// Agreement on the next view. promisedNumber and accepted are the persistent state of the Paxos acceptor.

	// promisedNumber is the highest proposal number promised for the next view, or zero if there is none.
	promisedNumber ProposalNumber
	// accepted is the accepted proposal for the next view, or nil if there is none.
	accepted *Accepted
	// proposer is the state of this member's ongoing proposal, or nil if there is none.
	proposer *proposer
	// sealedAt is when this member made its first promise in the current view.
	sealedAt time.Duration
	// reconfigureSince is when this member first wanted to replace the current view. It is 0 if the view should stay.
	reconfigureSince time.Duration
	// nextProposalAt is the earliest time of this member's next proposal.
	nextProposalAt time.Duration
	// persistedView is the number of the latest view known to be on this member's disk.
	persistedView uint64

	// Failure detection.

	// peers are the other known processes by address, including those that are in no view.
	peers      map[string]*peer
	lastNonce  uint64
	nextPingAt time.Duration
	// lastWithoutQuorumAt is the last time at which this member did not reach a majority of the voters.
	lastWithoutQuorumAt time.Duration
	// diskHealthy is false while this member's own disk does not respond.
	diskHealthy bool
	// leaving is true once Leave was called.
	leaving bool
	// leavingSince is when Leave was called.
	leavingSince time.Duration

	// Lease of the singleton role.

	// leaseHolderSince is when this member learned that it is the lease holder.
	leaseHolderSince time.Duration
	// leaseToken is the latest fencing token whose takeover delay this member has waited out. It is persistent.
	leaseToken uint64
}

// Output is the result of an input to a Node. The caller processes outputs in the order in which they are returned.
type Output struct {
	// Records must be persisted in this order, after the records of earlier outputs. Each has one of the types in
	// storage.go. If the caller cannot persist a record, it also drops the messages of this output, and persists nothing
	// more until it has persisted a Snapshot. It may then continue.
	Records []any

	// Messages must be sent only after all records of this output and of earlier outputs are on stable storage. If they
	// were sent earlier, a crash could revoke what they state: an Append or Committed would acknowledge an entry that is not
	// on enough disks, and a forgotten Promise or AcceptedReply would allow two decided views with the same number. The
	// caller passes an envelope to the member's own address to Receive under the same condition. The network may lose
	// messages: all of them are repeated.
	Messages []Envelope

	// ImmediateMessages must be sent at once. They are pings and pongs, which promise nothing about stored records. If they
	// waited for the disk, a slow disk would look like a failed member.
	ImmediateMessages []Envelope

	// ViewInstalled reports whether a new view is in force at this member. View returns it.
	ViewInstalled bool
}

// NewGenesis returns a member of the first view, for a system that starts for the first time. All members of the view must
// start with the same view and value.
func NewGenesis(config Config, now time.Duration, view View, value any) (*Node, Output) {
	n := newNode(config, now)
	n.view = view
	n.base = State{Value: value}
	n.state = n.base
	n.commitKnown = true
	// No member has held the lease before, so the holder need not wait for a takeover delay.
	n.leaseHolderSince = now - config.ReturnDelay
	return n, Output{Records: []any{n.snapshot()}}
}

// NewJoiner returns a member that is in no view yet. It pings the seeds until a view includes it.
func NewJoiner(config Config, now time.Duration, value any) (*Node, Output) {
	n := newNode(config, now)
	n.base = State{Value: value}
	n.state = n.base
	return n, Output{Records: []any{n.snapshot()}}
}

// Restore returns a member from its persisted records. The first record is a Snapshot.
func Restore(config Config, now time.Duration, records []any) *Node {
	n := newNode(config, now)
	for _, record := range records {
		n.replay(record)
	}
	n.committed = n.base.Seq
	n.persistedView = n.view.Number
	if n.IsTail() {
		// Each entry that the tail has persisted is committed, as all members before the tail persisted it earlier.
		n.committed = n.state.Seq
		n.commitKnown = true
	}
	if n.view.Holder == n.self.ID && n.leaseToken == n.view.Token {
		// The token has not changed since this member waited out its takeover delay, so no other member has held the lease
		// since then. Any other holder waits for the full delay again, as its predecessor may still be acting.
		n.leaseHolderSince = now - config.ReturnDelay
	}
	return n
}

func newNode(config Config, now time.Duration) *Node {
	return &Node{
		config:              config,
		self:                config.Self,
		peers:               map[string]*peer{},
		diskHealthy:         true,
		lastNonce:           config.FirstNonce,
		lastWithoutQuorumAt: now,
		leaseHolderSince:    now,
		// At the start all other members look unreachable, so the first proposal waits for the answers to pings.
		nextProposalAt: now + 2*config.SuspectTimeout,
	}
}

// Tick advances the time. It sends pings, resends uncommitted entries and proposes the next view when these are due. The
// caller must call it at least once in each Config.PingInterval.
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

// Receive handles a message from another member or from this member to itself. It ignores messages of unknown types.
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

// SetDiskHealthy sets whether this member's disk responds. While the disk does not respond, the member is removed from the
// chain and proposes nothing, but it remains a voter.
func (n *Node) SetDiskHealthy(healthy bool) { n.diskHealthy = healthy }

// SetSeeds replaces Config.Seeds.
func (n *Node) SetSeeds(seeds []string) { n.config.Seeds = seeds }
