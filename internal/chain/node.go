package chain

import (
	"time"
)

// Node is the state machine of one member. See the package comment for its contract.
//
// The states of a member follow from its fields:
//
//	state      condition                       writes  next states
//	joining    view number 0                   none    follower or in chain, by Install
//	follower   voter outside of the chain      none    in chain, sealed, removed
//	in chain   voter in the chain              taken   follower, sealed, removed
//	sealed     voter, promisedNumber not zero  none    follower, in chain, removed; by Install only
//	removed    not a voter of its view         none    follower or in chain, if it is healthy and asks to join
//
// A sealed member stays sealed until a next view is installed, also across restarts: nothing revokes a promise. A removed
// member receives the view that leaves it out from the proposer, and stops if it is leaving (CanStop).
type Node struct {
	config Config
	self   Member

	// Replication.

	view View
	// viewBaseSeq is the sequence number of the state that the view started from; 0 if this incarnation does not know it, as
	// it has not installed the view or was sent it with a later state.
	viewBaseSeq uint64
	// base is the state before log: the one that the view started from, or a later committed one.
	base State
	log  []logEntry
	// state is base with all entries of log applied.
	state State
	// committed is the highest sequence number known to be committed.
	committed uint64
	// commitKnown is true once this incarnation has learnt the commit position (see IsCommitKnown).
	commitKnown  bool
	lastResendAt time.Duration

	// Agreement on the next view. The first two are the acceptor's persistent state.

	// promisedNumber is the highest proposal number promised for the next view; zero for none.
	promisedNumber ProposalNumber
	// accepted is the accepted proposal for the next view; nil for none.
	accepted *Accepted
	// proposer is the proposal that this member makes at present; nil for none.
	proposer *proposer
	// sealedAt is when this member made its first promise in this view.
	sealedAt time.Duration
	// reconfigureSince is since when this member wants another view than the present one; 0 if it does not.
	reconfigureSince time.Duration
	// nextProposalAt is the earliest time of this member's next proposal.
	nextProposalAt time.Duration
	// persistedView is the number of the latest view known to be on this member's disk.
	persistedView uint64

	// Failure detection.

	// peers are the other members by address, also those that are in no view.
	peers      map[string]*peer
	lastNonce  uint64
	nextPingAt time.Duration
	// lastWithoutQuorumAt is when this member last reached no majority of the voters.
	lastWithoutQuorumAt time.Duration
	// diskHealthy is false while this member's own disk does not answer.
	diskHealthy bool
	// leaving is true once this member was asked to leave the core.
	leaving bool
	// leavingSince is when that was.
	leavingSince time.Duration

	// Lease of the singleton role.

	// leaseHolderSince is when this member learnt that it is the holder.
	leaseHolderSince time.Duration
	// leaseToken is the latest token whose takeover delay this member has waited out. It is persistent.
	leaseToken uint64
}

// Output is the result of an input to a Node. The caller processes outputs in the order in which they are returned.
type Output struct {
	// Records are to be persisted in this order, after those of earlier outputs. The type of each is one of those in
	// storage.go. If a record cannot be persisted, the caller drops the messages of its output too, persists nothing more
	// before a Snapshot, and may then go on.
	Records []any

	// Messages are to be sent only after all records of this and of earlier outputs are on stable storage. Sent earlier, they
	// state what a crash may revoke: an Append or Committed would acknowledge an entry that is not on enough disks, and a
	// forgotten Promise or AcceptedReply would let two views with the same number be decided. An envelope to the member's
	// own address is passed back to Receive under the same condition. They may be lost: all are repeated.
	Messages []Envelope

	// ImmediateMessages are to be sent at once. They are pings and pongs, which promise nothing about stored records; if
	// they waited for the disk, a slow disk would look like a failed member.
	ImmediateMessages []Envelope

	// ViewInstalled reports that a new view is in force at this member. The caller reads it with View.
	ViewInstalled bool
}

// NewGenesis returns a member of the first view of a system that starts for the first time. All members of the view must be
// started with the same view and value.
func NewGenesis(config Config, now time.Duration, view View, value any) (*Node, Output) {
	n := newNode(config, now)
	n.view = view
	n.base = State{Value: value}
	n.state = n.base
	n.commitKnown = true
	// Nobody has held the lease before, so that there is no takeover to wait for.
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

// Restore returns a member from its persisted records. The first of them is a Snapshot.
func Restore(config Config, now time.Duration, records []any) *Node {
	n := newNode(config, now)
	for _, record := range records {
		n.replay(record)
	}
	n.committed = n.base.Seq
	n.persistedView = n.view.Number
	if n.IsTail() {
		// What the tail has persisted is committed, as all of its predecessors have persisted it before.
		n.committed = n.state.Seq
		n.commitKnown = true
	}
	if n.view.Holder == n.self.ID && n.leaseToken == n.view.Token {
		// The token is unchanged since this member waited its takeover delay out: nobody else has held the lease since.
		// For any other holder the delay begins anew, as its predecessor may still be acting.
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
		// At the start all other members look unreachable: the first proposal waits until the answers to pings are in.
		nextProposalAt: now + 2*config.SuspectTimeout,
	}
}

// Tick advances the time. It sends pings, resends uncommitted entries and proposes a next view when these are due. The
// caller ticks at least once in each Config.PingInterval.
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

// Receive handles a message of another member, or one of this member to itself. Messages of unknown types are ignored.
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

// SetDiskHealthy sets whether this member's disk answers. While it does not, the member leaves the chain and proposes
// nothing, but remains a voter.
func (n *Node) SetDiskHealthy(healthy bool) { n.diskHealthy = healthy }

// SetSeeds replaces Config.Seeds.
func (n *Node) SetSeeds(seeds []string) { n.config.Seeds = seeds }
