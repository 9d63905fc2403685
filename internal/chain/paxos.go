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

func later(a, b ProposalNumber) ProposalNumber {
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
type proposing struct {
	ballot   ProposalNumber
	number   uint64
	wanted   View
	promises map[MemberID]Promise
	accepts  map[MemberID]bool
	proposal *Proposal // once it is chosen
	until    time.Duration
}

// prepare begins a proposal.
func (n *Node) prepare(now time.Duration, wanted View) Output {
	ballot := ProposalNumber{Counter: n.promised.Counter + 1, Proposer: n.self.ID}
	n.proposing = &proposing{ballot: ballot, number: n.view.Number + 1, wanted: wanted,
		promises: map[MemberID]Promise{}, accepts: map[MemberID]bool{}, until: now + n.config.ProposalTimeout}
	return n.toVoters(now, Prepare{From: n.self.ID, Number: wanted.Number, Ballot: ballot})
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
	if !n.IsSealed() {
		n.sealedAt = now
	}
	n.promised = m.Ballot
	promise := Promise{From: n.self.ID, Number: m.Number, Ballot: m.Ballot, InChain: n.IsInChain(), Accepted: n.accepted}
	if promise.InChain {
		promise.State = n.state
	}
	return Output{Records: []any{PromiseRecord{m.Ballot}}, Messages: n.reply(m.From, promise)}
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
		if _, promised := p.promises[id]; !promised && now < p.until-n.config.ProposalTimeout/2 {
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

func (n *Node) onReject(now time.Duration, m Reject) Output {
	p := n.proposing
	if p == nil || p.number != m.Number || !p.ballot.Less(m.Promised) {
		return Output{}
	}
	n.proposing = nil
	n.nextProposal = now + n.config.ProposalTimeout/2 + n.config.Jitter(n.config.ProposalTimeout)
	n.promised = later(n.promised, m.Promised)
	return Output{Records: []any{PromiseRecord{n.promised}}}
}

func (n *Node) onAccept(now time.Duration, m Accept) Output {
	number := m.Proposal.View.Number
	if number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if m.Ballot.Less(n.promised) {
		return Output{Messages: n.reply(m.From, Reject{From: n.self.ID, Number: number, Promised: n.promised})}
	}
	if !n.IsSealed() {
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

func (n *Node) reply(to MemberID, message any) []Envelope {
	return []Envelope{{To: n.addressOf(to), Message: message}}
}

func (n *Node) addressOf(id MemberID) string {
	if voter, ok := n.view.Voter(id); ok {
		return voter.Address
	}
	return ""
}
