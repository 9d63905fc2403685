package chain

import (
	"time"
)

// ProposalNumber orders the proposals for one view.
type ProposalNumber struct {
	Counter  uint64
	Proposer MemberID
}

// Less orders proposal numbers.
func (b ProposalNumber) Less(other ProposalNumber) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

func laterNumber(a, b ProposalNumber) ProposalNumber {
	if a.Less(b) {
		return b
	}
	return a
}

// Proposal is what is agreed on: a view and the state that it begins with.
type Proposal struct {
	View View
	Base State
}

// Accepted is a proposal that a voter has accepted.
type Accepted struct {
	Ballot   ProposalNumber
	Proposal Proposal
}

// proposing is a proposal that this member makes.
type proposer struct {
	number     ProposalNumber
	viewNumber uint64
	desired    View
	promises   map[MemberID]Promise
	acceptedBy map[MemberID]bool
	proposal   *Proposal // once it is chosen
	deadline   time.Duration
}

// prepare begins a proposal.
func (n *Node) prepare(now time.Duration, desired View) Output {
	ballot := ProposalNumber{Counter: n.promisedNumber.Counter + 1, Proposer: n.self.ID}
	n.proposer = &proposer{number: ballot, viewNumber: n.view.Number + 1, desired: desired,
		promises: map[MemberID]Promise{}, acceptedBy: map[MemberID]bool{}, deadline: now + n.config.ProposalTimeout}
	return n.sendToVoters(now, Prepare{From: n.self.ID, Number: desired.Number, Ballot: ballot})
}

func (n *Node) handlePrepare(now time.Duration, m Prepare) Output {
	if m.Number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	if !n.promisedNumber.Less(m.Ballot) && n.promisedNumber != m.Ballot {
		return Output{Messages: n.reply(m.From, Reject{From: n.self.ID, Number: m.Number, Promised: n.promisedNumber})}
	}
	if !n.IsSealed() {
		n.sealedAt = now
	}
	n.promisedNumber = m.Ballot
	promise := Promise{From: n.self.ID, Number: m.Number, Ballot: m.Ballot, InChain: n.IsInChain(), Accepted: n.accepted}
	if promise.InChain {
		promise.State = n.state
	}
	return Output{Records: []any{PromiseRecord{m.Ballot}}, Messages: n.reply(m.From, promise)}
}

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

// enough tells whether the chosen chain would hold only members whose promise is in, or that are new.
func (n *Node) hasChainPromises(now time.Duration, p *proposer) bool {
	for _, id := range p.desired.Chain {
		if _, voter := n.view.Voter(id); !voter {
			continue
		}
		if _, promised := p.promises[id]; !promised && now < p.deadline-n.config.ProposalTimeout/2 {
			return false
		}
	}
	return true
}

// choose gives the proposal that must be made: one that may have been accepted already, or the one that is wanted, with
// the longest log of the chain's members.
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

func (n *Node) handleReject(now time.Duration, m Reject) Output {
	p := n.proposer
	if p == nil || p.viewNumber != m.Number || !p.number.Less(m.Promised) {
		return Output{}
	}
	n.proposer = nil
	n.nextProposalAt = now + n.config.ProposalTimeout/2 + n.config.Jitter(n.config.ProposalTimeout)
	n.promisedNumber = laterNumber(n.promisedNumber, m.Promised)
	return Output{Records: []any{PromiseRecord{n.promisedNumber}}}
}

func (n *Node) handleAccept(now time.Duration, m Accept) Output {
	number := m.Proposal.View.Number
	if number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if m.Ballot.Less(n.promisedNumber) {
		return Output{Messages: n.reply(m.From, Reject{From: n.self.ID, Number: number, Promised: n.promisedNumber})}
	}
	if !n.IsSealed() {
		n.sealedAt = now
	}
	n.promisedNumber = m.Ballot
	n.accepted = &Accepted{Ballot: m.Ballot, Proposal: m.Proposal}
	return Output{Records: []any{AcceptRecord{*n.accepted}},
		Messages: n.reply(m.From, AcceptedReply{From: n.self.ID, Number: number, Ballot: m.Ballot})}
}

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
	for _, voter := range append(append([]Member(nil), n.view.Voters...), decided.View.Voters...) {
		addresses[voter.Address] = true
	}
	delete(addresses, n.self.Address)
	out := n.install(now, decided)
	for _, address := range sortedKeys(addresses) {
		out.Messages = append(out.Messages, Envelope{To: address, Message: Install{From: n.self.ID, Proposal: decided}})
	}
	return out
}

// toVoters sends a message to all voters, and has this member take it too.
func (n *Node) sendToVoters(now time.Duration, message any) Output {
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

func (n *Node) reply(to MemberID, message any) []Envelope {
	return []Envelope{{To: n.addressOf(to), Message: message}}
}

func (n *Node) addressOf(id MemberID) string {
	if voter, ok := n.view.Voter(id); ok {
		return voter.Address
	}
	return ""
}
