package chain

import (
	"maps"
	"slices"
	"time"
)

// ProposalNumber orders the proposals for one view ("Paxos Made Simple", section 2.2). Numbers of different proposers differ.
// It is part of messages and records, so its field names are fixed.
type ProposalNumber struct {
	Counter  uint64
	Proposer MemberID
}

// Less reports whether p is lower than other.
func (p ProposalNumber) Less(other ProposalNumber) bool {
	if p.Counter != other.Counter {
		return p.Counter < other.Counter
	}
	return p.Proposer < other.Proposer
}

func maxProposalNumber(a, b ProposalNumber) ProposalNumber {
	if a.Less(b) {
		return b
	}
	return a
}

// Proposal is the value that Paxos decides: a view and the state that the view starts from. Its field names are fixed.
type Proposal struct {
	View View
	Base State
}

// Accepted is a proposal that a voter has accepted. Ballot is the number of the proposal. The field names are fixed.
type Accepted struct {
	Ballot   ProposalNumber
	Proposal Proposal
}

// proposer is the state of this member's ongoing proposal.
type proposer struct {
	number     ProposalNumber
	viewNumber uint64
	// desired is the view to propose, unless another proposal may have been chosen already.
	desired    View
	promises   map[MemberID]Promise
	acceptedBy map[MemberID]bool
	// proposal is the proposal of phase 2. It is nil during phase 1.
	proposal *Proposal
	// deadline is when this member abandons the proposal.
	deadline time.Duration
}

// prepare starts a proposal and sends the Prepare messages (phase 1a).
func (n *Node) prepare(now time.Duration, desired View) Output {
	number := ProposalNumber{Counter: n.promisedNumber.Counter + 1, Proposer: n.self.ID}
	n.proposer = &proposer{
		number:     number,
		viewNumber: n.view.Number + 1,
		desired:    desired,
		promises:   map[MemberID]Promise{},
		acceptedBy: map[MemberID]bool{},
		deadline:   now + n.config.ProposalTimeout,
	}
	return n.sendToVoters(now, Prepare{From: n.self.ID, Number: desired.Number, Ballot: number})
}

// handlePrepare promises a proposal number or rejects it (phase 1b).
func (n *Node) handlePrepare(now time.Duration, m Prepare) Output {
	// Only a voter with the current view may answer. A member with an older view does not know the state of the current view
	// or its own promises in it.
	if m.Number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	// The same number may be promised again, as the first answer may have been lost.
	if !n.promisedNumber.Less(m.Ballot) && n.promisedNumber != m.Ballot {
		return Output{Messages: n.reply(m.From, n.reject(m.Number))}
	}
	n.seal(now)
	n.promisedNumber = m.Ballot
	promise := Promise{From: n.self.ID, Number: m.Number, Ballot: m.Ballot, InChain: n.IsInChain(), Accepted: n.accepted}
	if promise.InChain {
		promise.State = n.state
	}
	return Output{Records: []any{PromiseRecord{m.Ballot}}, Messages: n.reply(m.From, promise)}
}

// handlePromise counts a promise. Once enough voters have promised, it sends the Accept messages (phase 2a).
func (n *Node) handlePromise(now time.Duration, m Promise) Output {
	p := n.proposer
	if p == nil || p.viewNumber != m.Number || p.number != m.Ballot || p.proposal != nil {
		return Output{}
	}
	p.promises[m.From] = m
	if len(p.promises) < n.view.Majority() || !n.hasChainPromises(now, p) {
		return Output{}
	}
	p.proposal = n.chooseProposal(p)
	return n.sendToVoters(now, Accept{From: n.self.ID, Ballot: p.number, Proposal: *p.proposal})
}

// hasChainPromises reports whether all current voters in the desired chain have promised, or half of the proposal's time has
// passed. A majority of promises is enough for agreement. But if a member of the desired chain has just failed, the decided
// view would have to be replaced at once, so the proposer waits a while for that member.
func (n *Node) hasChainPromises(now time.Duration, p *proposer) bool {
	if now >= p.deadline-n.config.ProposalTimeout/2 {
		return true
	}
	for _, id := range p.desired.Chain {
		if _, voter := n.view.Voter(id); !voter {
			continue
		}
		if _, promised := p.promises[id]; !promised {
			return false
		}
	}
	return true
}

// chooseProposal returns the proposal for phase 2. It is the highest-numbered proposal that a voter has reported as accepted,
// as that proposal may have been chosen already ("Paxos Made Simple", section 2.2). If no voter has accepted a proposal, it is
// the desired view with the latest state that a member of the current chain has reported: a majority of promises includes at
// least one member of the chain, and each member of the chain has every committed entry.
func (n *Node) chooseProposal(p *proposer) *Proposal {
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
	return &Proposal{View: p.desired, Base: state}
}

// handleReject abandons the ongoing proposal, as a voter has promised a higher number.
func (n *Node) handleReject(now time.Duration, m Reject) Output {
	p := n.proposer
	if p == nil || p.viewNumber != m.Number || !p.number.Less(m.Promised) {
		return Output{}
	}
	n.proposer = nil
	// The random pause keeps two proposers from preempting each other repeatedly.
	n.nextProposalAt = now + n.config.ProposalTimeout/2 + n.config.Jitter(n.config.ProposalTimeout)
	// This member's next proposal must have a higher number than the promised one.
	n.promisedNumber = maxProposalNumber(n.promisedNumber, m.Promised)
	return Output{Records: []any{PromiseRecord{n.promisedNumber}}}
}

// handleAccept accepts a proposal or rejects it (phase 2b).
func (n *Node) handleAccept(now time.Duration, m Accept) Output {
	number := m.Proposal.View.Number
	if number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if m.Ballot.Less(n.promisedNumber) {
		return Output{Messages: n.reply(m.From, n.reject(number))}
	}
	n.seal(now)
	n.promisedNumber = m.Ballot
	n.accepted = &Accepted{Ballot: m.Ballot, Proposal: m.Proposal}
	accepted := AcceptedReply{From: n.self.ID, Number: number, Ballot: m.Ballot}
	return Output{Records: []any{AcceptRecord{*n.accepted}}, Messages: n.reply(m.From, accepted)}
}

// handleAccepted counts an acceptance. Once a majority has accepted the proposal, the proposal is chosen. This member then
// installs the view and announces it to the voters of both views, so that removed voters learn of it too.
func (n *Node) handleAccepted(now time.Duration, m AcceptedReply) Output {
	p := n.proposer
	if p == nil || p.proposal == nil || p.viewNumber != m.Number || p.number != m.Ballot {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	p.acceptedBy[m.From] = true
	if len(p.acceptedBy) < n.view.Majority() {
		return Output{}
	}
	decided := *p.proposal
	addresses := map[string]bool{}
	for _, voter := range slices.Concat(n.view.Voters, decided.View.Voters) {
		addresses[voter.Address] = true
	}
	delete(addresses, n.self.Address)
	out := n.install(now, decided)
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		out.Messages = append(out.Messages, Envelope{To: address, Message: Install{From: n.self.ID, Proposal: decided}})
	}
	return out
}

// seal records the time of the first promise in this view. The caller sets promisedNumber.
func (n *Node) seal(now time.Duration) {
	if !n.IsSealed() {
		n.sealedAt = now
	}
}

// reject returns the answer to a Prepare or Accept for a view whose proposal number is too low.
func (n *Node) reject(viewNumber uint64) Reject {
	return Reject{From: n.self.ID, Number: viewNumber, Promised: n.promisedNumber}
}

// sendToVoters sends a message to all other voters and handles it at this member, which is a voter too. This member's answer
// is one of the returned messages, because it counts only after its record is persisted, like the answers of other voters.
func (n *Node) sendToVoters(now time.Duration, message any) Output {
	var messages []Envelope
	for _, voter := range n.view.Voters {
		if voter.ID != n.self.ID {
			messages = append(messages, Envelope{To: voter.Address, Message: message})
		}
	}
	out := n.Receive(now, message)
	out.Messages = append(messages, out.Messages...)
	return out
}

// reply addresses a message to a voter.
func (n *Node) reply(to MemberID, message any) []Envelope {
	voter, _ := n.view.Voter(to)
	return []Envelope{{To: voter.Address, Message: message}}
}
