package chain

import (
	"slices"
	"time"
)

// proposing is a proposal that this member makes.
type proposing struct {
	ballot   Ballot
	number   uint64
	wanted   View
	promises map[MemberID]Promise
	accepts  map[MemberID]bool
	proposal *Proposal // once it is chosen
	until    time.Duration
}

// consider begins a proposal where the view should be another one, and gives up one that takes too long.
func (n *Node) consider(now time.Duration) Output {
	if n.proposing != nil {
		if now < n.proposing.until {
			return Output{}
		}
		n.proposing = nil
		n.nextProposal = now + n.config.Jitter(n.config.ProposeTimeout)
	}
	if n.view.Number == 0 || !n.isVoter() || !n.healthy || now < n.nextProposal {
		return Output{}
	}
	wanted, ok := n.wanted(now)
	stuck := n.Sealed() && now-n.sealedAt > n.config.ProposeTimeout
	if !ok || sameMembers(wanted, n.view) && !stuck {
		n.wantSince = 0
		return Output{}
	}
	if n.wantSince == 0 {
		n.wantSince = now
	}
	if now-n.wantSince < time.Duration(n.rank(now))*n.config.ProposeTimeout {
		return Output{}
	}
	return n.prepare(now, wanted)
}

// rank is this member's place among those who can propose: the first does so at once.
func (n *Node) rank(now time.Duration) int {
	rank := 0
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			return rank
		}
		if voter, ok := n.view.Voter(id); ok && n.able(now, voter) {
			rank++
		}
	}
	for _, voter := range n.view.Voters {
		if voter.ID == n.self.ID {
			break
		}
		if n.view.Position(voter.ID) < 0 && n.able(now, voter) {
			rank++
		}
	}
	return rank
}

// wanted is the view that this member would have now. It is false where it sees no majority.
func (n *Node) wanted(now time.Duration) (View, bool) {
	live := 0
	for _, voter := range n.view.Voters {
		if n.reachable(now, voter) {
			live++
		}
	}
	if live < n.view.Majority() {
		return View{}, false
	}
	wanted := View{Number: n.view.Number + 1, Voters: n.wantedVoters(now), Token: n.view.Token, Holder: n.view.Holder,
		FormerHolders: n.view.FormerHolders}
	inChain := map[MemberID]bool{}
	add := func(member Member) {
		if !inChain[member.ID] && n.able(now, member) {
			inChain[member.ID] = true
			wanted.Chain = append(wanted.Chain, member.ID)
		}
	}
	for _, id := range n.view.Chain {
		if voter, ok := wanted.Voter(id); ok {
			add(voter)
		}
	}
	for _, voter := range wanted.Voters {
		if n.upToDate(voter) {
			add(voter)
		}
	}
	if len(wanted.Chain) < wanted.Majority() {
		return View{}, false
	}
	if !inChain[wanted.Holder] {
		former, _ := n.view.Voter(wanted.Holder)
		wanted.handOver(wanted.Chain[0], former.Address)
	}
	return wanted, true
}

// upToDate tells whether a member has the view in force, or is to join with the next one.
func (n *Node) upToDate(member Member) bool {
	if _, voter := n.view.Voter(member.ID); !voter || member.ID == n.self.ID {
		return true
	}
	p := n.peers[member.Address]
	return p != nil && p.status.View == n.view.Number
}

// wantedVoters are the voters with joining members added. Those that leave, then those that cannot be reached, are left out
// where others take their place: a voter that has left for good would make a majority of more members than there need be.
// Beside that, one that cannot be reached is left out only after a while: it may come back with its disk, and as many as may
// be lost leave a majority with it too.
func (n *Node) wantedVoters(now time.Duration) []Member {
	target := n.leastVoters()
	voters := append([]Member(nil), n.view.Voters...)
	for _, joiner := range n.joiners(now) {
		voters = without(voters, func(voter Member) bool { return voter.Address == joiner.Address })
		if len(voters) >= target {
			voters = n.dropOne(now, voters, 0)
		}
		voters = append(voters, joiner)
	}
	for len(voters) > target {
		fewer := n.dropOne(now, voters, n.config.SuspectAfter*longAway)
		if len(fewer) == len(voters) {
			break
		}
		voters = fewer
	}
	return voters
}

func (n *Node) joiners(now time.Duration) []Member {
	addresses := map[string]bool{}
	for address, p := range n.peers {
		if p.joining && p.status.Healthy && now-p.askedAt < n.config.SuspectAfter {
			addresses[address] = true
		}
	}
	var joiners []Member
	for _, address := range sorted(addresses) {
		joiners = append(joiners, n.peers[address].member)
	}
	return joiners
}

// leastVoters is how many voters there must be for as many to be lost as may be.
func (n *Node) leastVoters() int { return 2*n.config.MostFailures + 1 }

// longAway is for how many times the time of suspicion a voter too many must be away to be left out.
const longAway = 20

// dropOne leaves out one voter that leaves, or else one that cannot be reached and has been away for a time, if there is any.
func (n *Node) dropOne(now time.Duration, voters []Member, away time.Duration) []Member {
	gone := func(voter Member) bool { return !n.reachable(now, voter) && !n.joins(voter) }
	for _, dispensable := range []func(Member) bool{
		n.leaves,
		func(voter Member) bool { return gone(voter) && now-n.lastSeen(voter) > away },
	} {
		if i := slices.IndexFunc(voters, dispensable); i >= 0 {
			return without(voters, func(other Member) bool { return other.ID == voters[i].ID })
		}
	}
	return voters
}

// leaves tells whether a voter has said that it leaves when it was last heard of.
func (n *Node) leaves(voter Member) bool {
	if voter.ID == n.self.ID {
		return n.leaving
	}
	p := n.peers[voter.Address]
	return p != nil && p.member.ID == voter.ID && p.status.Leaving
}

// lastSeen is when a voter last answered, or when this member was last out of touch, as it can tell nothing of that time.
func (n *Node) lastSeen(voter Member) time.Duration {
	seen := n.outOfTouchAt
	if p := n.peers[voter.Address]; p != nil && p.member.ID == voter.ID {
		seen = max(seen, p.askedAt)
	}
	return seen
}

// joins tells whether a member asks to be taken in.
func (n *Node) joins(member Member) bool {
	p := n.peers[member.Address]
	return p != nil && p.member.ID == member.ID && p.joining
}

func without(members []Member, drop func(Member) bool) []Member {
	var kept []Member
	for _, member := range members {
		if !drop(member) {
			kept = append(kept, member)
		}
	}
	return kept
}

// sameMembers tells whether two views have the same voters and the same members in the chain.
func sameMembers(a, b View) bool {
	if len(a.Voters) != len(b.Voters) || len(a.Chain) != len(b.Chain) {
		return false
	}
	for _, voter := range a.Voters {
		if _, ok := b.Voter(voter.ID); !ok {
			return false
		}
	}
	for _, id := range a.Chain {
		if b.Position(id) < 0 {
			return false
		}
	}
	return true
}

// prepare begins a proposal.
func (n *Node) prepare(now time.Duration, wanted View) Output {
	ballot := Ballot{Counter: n.promised.Counter + 1, Proposer: n.self.ID}
	n.proposing = &proposing{ballot: ballot, number: n.view.Number + 1, wanted: wanted,
		promises: map[MemberID]Promise{}, accepts: map[MemberID]bool{}, until: now + n.config.ProposeTimeout}
	return n.toVoters(now, Prepare{From: n.self.ID, Number: wanted.Number, Ballot: ballot})
}

// toVoters sends a message to all voters, and has this member take it too.
func (n *Node) toVoters(now time.Duration, message any) Output {
	var messages []Envelope
	for _, voter := range n.view.Voters {
		if voter.ID != n.self.ID {
			messages = append(messages, Envelope{To: voter.Address, Message: message})
		}
	}
	out := n.Receive(now, message)
	// What this member answers itself goes its way through its disk, as all answers do.
	out.Messages = append(messages, out.Messages...)
	return out
}

func (n *Node) addressOf(id MemberID) string {
	if voter, ok := n.view.Voter(id); ok {
		return voter.Address
	}
	return ""
}

func (n *Node) reply(to MemberID, message any) []Envelope {
	return []Envelope{{To: n.addressOf(to), Message: message}}
}

func (n *Node) onPrepare(now time.Duration, m Prepare) Output {
	if m.Number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	if !n.promised.Less(m.Ballot) && n.promised != m.Ballot {
		return Output{Messages: n.reply(m.From, Reject{From: n.self.ID, Number: m.Number, Promised: n.promised})}
	}
	if !n.Sealed() {
		n.sealedAt = now
	}
	n.promised = m.Ballot
	promise := Promise{From: n.self.ID, Number: m.Number, Ballot: m.Ballot, InChain: n.InChain(), Accepted: n.accepted}
	if promise.InChain {
		promise.State = n.state
	}
	return Output{Records: []any{PromiseRecord{m.Ballot}}, Messages: n.reply(m.From, promise)}
}

func (n *Node) onReject(now time.Duration, m Reject) Output {
	p := n.proposing
	if p == nil || p.number != m.Number || !p.ballot.Less(m.Promised) {
		return Output{}
	}
	n.proposing = nil
	n.nextProposal = now + n.config.ProposeTimeout/2 + n.config.Jitter(n.config.ProposeTimeout)
	n.promised = later(n.promised, m.Promised)
	return Output{Records: []any{PromiseRecord{n.promised}}}
}

func later(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

func (n *Node) onPromise(now time.Duration, m Promise) Output {
	p := n.proposing
	if p == nil || p.number != m.Number || p.ballot != m.Ballot || p.proposal != nil {
		return Output{}
	}
	p.promises[m.From] = m
	if len(p.promises) < n.view.Majority() || !n.enough(now, p) {
		return Output{}
	}
	p.proposal = n.choose(p)
	return n.toVoters(now, Accept{From: n.self.ID, Ballot: p.ballot, Proposal: *p.proposal})
}

// enough tells whether the chosen chain would hold only members whose promise is in, or that are new.
func (n *Node) enough(now time.Duration, p *proposing) bool {
	for _, id := range p.wanted.Chain {
		if _, voter := n.view.Voter(id); !voter {
			continue
		}
		if _, promised := p.promises[id]; !promised && now < p.until-n.config.ProposeTimeout/2 {
			return false
		}
	}
	return true
}

// choose gives the proposal that must be made: one that may have been accepted already, or the one that is wanted, with
// the longest log of the chain's members.
func (n *Node) choose(p *proposing) *Proposal {
	var accepted *Accepted
	var state State
	found := false
	for _, promise := range p.promises {
		if promise.Accepted != nil && (accepted == nil || accepted.Ballot.Less(promise.Accepted.Ballot)) {
			accepted = promise.Accepted
		}
		if promise.InChain && (!found || promise.State.Seq > state.Seq) {
			state, found = promise.State, true
		}
	}
	if accepted != nil {
		return &accepted.Proposal
	}
	return &Proposal{View: p.wanted, Base: state}
}

func (n *Node) onAccept(now time.Duration, m Accept) Output {
	number := m.Proposal.View.Number
	if number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if m.Ballot.Less(n.promised) {
		return Output{Messages: n.reply(m.From, Reject{From: n.self.ID, Number: number, Promised: n.promised})}
	}
	if !n.Sealed() {
		n.sealedAt = now
	}
	n.promised = m.Ballot
	n.accepted = &Accepted{Ballot: m.Ballot, Proposal: m.Proposal}
	return Output{Records: []any{AcceptRecord{*n.accepted}},
		Messages: n.reply(m.From, AcceptedReply{From: n.self.ID, Number: number, Ballot: m.Ballot})}
}

func (n *Node) onAccepted(now time.Duration, m AcceptedReply) Output {
	p := n.proposing
	if p == nil || p.proposal == nil || p.number != m.Number || p.ballot != m.Ballot {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	p.accepts[m.From] = true
	if len(p.accepts) < n.view.Majority() {
		return Output{}
	}
	decided := *p.proposal
	addresses := map[string]bool{}
	for _, voter := range append(append([]Member(nil), n.view.Voters...), decided.View.Voters...) {
		addresses[voter.Address] = true
	}
	delete(addresses, n.self.Address)
	out := n.install(now, decided)
	for _, address := range sorted(addresses) {
		out.Messages = append(out.Messages, Envelope{To: address, Message: Install{From: n.self.ID, Proposal: decided}})
	}
	return out
}
