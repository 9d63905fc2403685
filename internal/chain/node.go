package chain

import (
	"time"
)

// Node is one member's state machine.
type Node struct {
	config Config
	self   Member

	view     View
	base     State    // with which the view began, or a later committed state of it
	log      []logged // of the view, after base
	state    State    // base with all of the log
	promised Ballot   // for the view after this one; zero for none
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

// logged is an entry of the log with the state after it.
type logged struct {
	entry Entry
	after State
}

// peer is what is known of another member.
type peer struct {
	member    Member
	status    Status
	heardAt   time.Duration // when it last answered
	askedAt   time.Duration // when the ping was sent that it answered last
	asked     map[uint64]time.Duration
	installAt time.Duration // when it was last sent the view
	joining   bool          // it has asked and is in no view
	pingedAt  time.Duration // when it last sent a ping
}

const mostAsked = 64

// NewGenesis is a member of the first view of a system that starts for the first time.
func NewGenesis(config Config, now time.Duration, view View, value any) (*Node, Output) {
	n := newNode(config, now)
	n.view, n.base = view, State{Value: value}
	n.state, n.known = n.base, true
	n.holderSince = now - config.ReturnPause // nobody has held the role before
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
		n.holderSince = now - config.ReturnPause // nobody else can have held the role since
	}
	return n
}

func newNode(config Config, now time.Duration) *Node {
	return &Node{config: config, self: config.Self, peers: map[string]*peer{}, healthy: true, nonce: config.FirstNonce, outOfTouchAt: now, holderSince: now,
		nextProposal: now + 2*config.SuspectAfter}
}

func (n *Node) replay(record any) {
	switch r := record.(type) {
	case Snapshot:
		n.self, n.view, n.base = r.Self, r.View, r.Base
		n.promised, n.accepted, n.held = r.Promised, r.Accepted, r.Held
		n.log, n.state = nil, r.Base
		for _, entry := range r.Entries {
			n.add(entry)
		}
	case EntryRecord:
		if r.Entry.Seq > n.state.Seq { // a snapshot that was stored in place of a record has those given out with it too
			n.add(r.Entry)
		}
	case PromiseRecord:
		n.promised = r.Ballot
	case AcceptRecord:
		accepted := r.Accepted
		n.accepted, n.promised = &accepted, accepted.Ballot
	case HeldRecord:
		n.held = r.Token
	case InstallRecord:
		if r.Proposal.View.Number > n.view.Number {
			n.enter(r.Proposal)
		}
	}
}

func (n *Node) add(entry Entry) {
	n.state = State{Seq: entry.Seq, Value: n.config.Apply(n.state.Value, entry.Operation)}
	n.log = append(n.log, logged{entry: entry, after: n.state})
}

func (n *Node) enter(p Proposal) {
	n.view, n.base, n.state = p.View, p.Base, p.Base
	n.log, n.promised, n.accepted = nil, Ballot{}, nil
	n.committed = p.Base.Seq
}

func (n *Node) snapshot() Snapshot {
	return Snapshot{Self: n.self, View: n.view, Base: n.base, Entries: n.after(0), Promised: n.promised, Accepted: n.accepted,
		Held: n.held}
}

// Snapshot is all that must not be forgotten, with what is committed folded into the base.
func (n *Node) Snapshot() Snapshot {
	n.compact()
	return n.snapshot()
}

// compact folds committed entries into the base.
func (n *Node) compact() {
	kept := 0
	for kept < len(n.log) && n.log[kept].entry.Seq <= n.committed {
		n.base = n.log[kept].after
		kept++
	}
	n.log = append([]logged(nil), n.log[kept:]...)
}

// after gives the entries of the log with a higher sequence number.
func (n *Node) after(seq uint64) []Entry {
	var entries []Entry
	for _, l := range n.log {
		if l.entry.Seq > seq {
			entries = append(entries, l.entry)
		}
	}
	return entries
}

// Self is this member.
func (n *Node) Self() Member { return n.self }

// View is the view in force here.
func (n *Node) View() View { return n.view }

// Sealed tells whether this member has promised to take part in a next view.
func (n *Node) Sealed() bool { return n.promised != Ballot{} }

// Latest is the value with all that this member has, committed or not.
func (n *Node) Latest() State { return n.state }

// Newest is the newest state that this member has, in its view or accepted for the next one.
func (n *Node) Newest() State {
	if n.accepted != nil && n.accepted.Proposal.Base.Seq > n.state.Seq {
		return n.accepted.Proposal.Base
	}
	return n.state
}

// CommittedSeq is how far the log is known to be committed.
func (n *Node) CommittedSeq() uint64 { return n.committed }

// InChain tells whether this member is in the chain of its view.
func (n *Node) InChain() bool { return n.view.Position(n.self.ID) >= 0 }

// IsHead and IsTail tell this member's place in the chain.
func (n *Node) IsHead() bool { return n.view.Number > 0 && n.view.Head() == n.self.ID }

// IsTail tells whether this member is the tail.
func (n *Node) IsTail() bool { return n.view.Number > 0 && n.view.Tail() == n.self.ID }

// CommittedState is the newest state that is committed, as far as this member has it.
func (n *Node) CommittedState() State {
	for i := len(n.log) - 1; i >= 0; i-- {
		if n.log[i].entry.Seq <= n.committed {
			return n.log[i].after
		}
	}
	return n.base
}

// SetHealthy tells whether the disk answers.
func (n *Node) SetHealthy(healthy bool) { n.healthy = healthy }

// SetSeeds names other seeds.
func (n *Node) SetSeeds(seeds []string) { n.config.Seeds = seeds }

// Leave has the others take this member out of the chain.
func (n *Node) Leave() { n.leaving = true }

// Dispensable tells whether a leaving member may end: it is out of the chain and, where there are voters enough without
// it, no voter any more, and as many of the chain have the view with its state on disk as must store what is committed.
// Else it stays a voter, as one that starts again is.
func (n *Node) Dispensable() bool {
	tooMany := n.isVoter() && len(n.view.Voters) > n.leastVoters()
	return !n.InChain() && !tooMany && n.copiesInChain() >= n.leastCopies()
}

// copiesInChain is how many members of the chain are known to have the view on disk.
func (n *Node) copiesInChain() int {
	copies := 0
	for _, id := range n.view.Chain {
		voter, _ := n.view.Voter(id)
		p := n.peers[voter.Address]
		if p != nil && p.member.ID == id && p.status.Stored >= n.view.Number {
			copies++
		}
	}
	return copies
}

// Propose appends an operation at the head. It is false where this member cannot take it.
func (n *Node) Propose(operation []byte) (seq uint64, out Output, ok bool) {
	if !n.IsHead() || n.Sealed() || len(n.view.Chain) < n.leastCopies() {
		return 0, Output{}, false
	}
	entry := Entry{Seq: n.state.Seq + 1, Operation: operation}
	out = n.take([]Entry{entry})
	return entry.Seq, out, true
}

// leastCopies is how many members must store what is committed.
func (n *Node) leastCopies() int { return min(n.config.MostFailures+1, len(n.view.Voters)) }

// take stores entries and passes them on.
func (n *Node) take(entries []Entry) Output {
	var out Output
	for _, entry := range entries {
		n.add(entry)
		out.Records = append(out.Records, EntryRecord{entry})
	}
	out.Messages = n.passOn(entries)
	return out
}

// passOn sends entries to the successor, or, at the tail, tells all that they are committed.
func (n *Node) passOn(entries []Entry) []Envelope {
	position := n.view.Position(n.self.ID)
	if position < 0 || len(entries) == 0 {
		return nil
	}
	if position+1 < len(n.view.Chain) {
		next, _ := n.view.Voter(n.view.Chain[position+1])
		return []Envelope{{To: next.Address, Message: Append{From: n.self.ID, View: n.view.Number, Entries: entries}}}
	}
	last := entries[len(entries)-1].Seq
	var out []Envelope
	for _, voter := range n.view.Voters {
		out = append(out, Envelope{To: voter.Address, Message: Committed{From: n.self.ID, View: n.view.Number, Seq: last}})
	}
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

func (n *Node) onAppend(m Append) Output {
	if m.View != n.view.Number || n.Sealed() {
		return Output{}
	}
	position := n.view.Position(n.self.ID)
	if position < 1 || n.view.Chain[position-1] != m.From {
		return Output{}
	}
	var fresh []Entry
	next := n.state.Seq + 1
	for _, entry := range m.Entries {
		if entry.Seq == next {
			fresh = append(fresh, entry)
			next++
		}
	}
	if len(fresh) == 0 {
		return n.passOnAgain(m.Entries)
	}
	return n.take(fresh)
}

// passOnAgain passes on what was passed on before: the predecessor has sent it again because the end was not heard of.
func (n *Node) passOnAgain(entries []Entry) Output {
	var had []Entry
	for _, entry := range entries {
		if entry.Seq <= n.state.Seq {
			had = append(had, entry)
		}
	}
	return Output{Messages: n.passOn(had)}
}

func (n *Node) onCommitted(from MemberID, view, seq uint64) {
	if view != n.view.Number || !n.InChain() {
		return
	}
	n.committed = max(n.committed, min(seq, n.state.Seq))
	n.known = n.known || from == n.view.Tail()
}

// CommittedKnown tells whether this member has heard, since it started, how far the log is committed.
func (n *Node) CommittedKnown() bool { return n.known }

func (n *Node) onInstall(now time.Duration, m Install) Output {
	if m.Proposal.View.Number <= n.view.Number {
		return Output{}
	}
	return n.install(now, m.Proposal)
}

func (n *Node) install(now time.Duration, p Proposal) Output {
	wasHolder := n.view.Holder == n.self.ID && n.view.Token == p.View.Token
	n.enter(p)
	n.proposing, n.known = nil, true
	n.wantSince, n.sealedAt = 0, 0
	if !wasHolder {
		n.holderSince = now
	}
	stored := Envelope{To: n.self.Address, Message: Stored{View: p.View.Number}} // is delivered once the record is on disk
	return Output{Records: []any{InstallRecord{p}}, Messages: []Envelope{stored}, Installed: true}
}
