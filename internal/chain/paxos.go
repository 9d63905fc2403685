package chain

import (
	"maps"
	"slices"
	"time"
)

// ProposalNumber orders the proposals for one view ("Paxos Made Simple", section 2.2). Numbers of different proposers differ.
// It is part of messages and records: its field names are fixed.
type ProposalNumber struct {
	Counter  uint64
	Proposer MemberID
}

// Less reports whether a number is lower than another one.
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

// Proposal is the value that Paxos decides: a view and the state that it starts from. Its field names are fixed.
type Proposal struct {
	View View
	Base State
}

// Accepted is a proposal that a voter has accepted, with its number (Ballot). Its field names are fixed.
type Accepted struct {
	Ballot   ProposalNumber
	Proposal Proposal
}

// proposer is the state of a proposal that this member makes.
type proposer struct {
	number     ProposalNumber
	viewNumber uint64
	// desired is the view that is proposed unless another proposal may have been chosen already.
	desired    View
	promises   map[MemberID]Promise
	acceptedBy map[MemberID]bool
	// proposal is what phase 2 proposes; nil during phase 1.
	proposal *Proposal
	// deadline is when the proposal is given up.
	deadline time.Duration
}

// prepare begins a proposal: phase 1a.
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

// handlePrepare is phase 1b at a voter.
func (n *Node) handlePrepare(now time.Duration, m Prepare) Output {
	// Only a voter whose disk has the present view may answer: a member with an older view knows neither its state nor what
	// it has promised for this one.
	if m.Number != n.view.Number+1 || !n.isVoter() {
		return Output{}
	}
	if _, ok := n.view.Voter(m.From); !ok {
		return Output{}
	}
	// The same number is promised again, as the answer may have been lost.
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

// handlePromise counts a promise and, with a majority of them, begins phase 2.
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

// hasChainPromises reports whether all present voters that the desired chain includes have promised, or have been given
// half of the proposal's time for it. A majority alone is enough for agreement, but a chain with a member that has just
// failed would need yet another view.
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

// chooseProposal returns what phase 2 must propose. It is the proposal with the highest number that a voter has reported as
// accepted, since that one may have been chosen already ("Paxos Made Simple", section 2.2). If there is none, it is the
// desired view with the latest state of the members of the present chain: a majority of promises includes at least one of
// them, and each has all that was committed.
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

// handleReject gives a proposal up that a higher number has overtaken.
func (n *Node) handleReject(now time.Duration, m Reject) Output {
	p := n.proposer
	if p == nil || p.viewNumber != m.Number || !p.number.Less(m.Promised) {
		return Output{}
	}
	n.proposer = nil
	// The random pause keeps two proposers from overtaking each other again and again.
	n.nextProposalAt = now + n.config.ProposalTimeout/2 + n.config.Jitter(n.config.ProposalTimeout)
	// This member's next proposal must have a higher number than the one that it lost to.
	n.promisedNumber = maxProposalNumber(n.promisedNumber, m.Promised)
	return Output{Records: []any{PromiseRecord{n.promisedNumber}}}
}

// handleAccept is phase 2b at a voter.
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

// handleAccepted counts an acceptance. With a majority of them the proposal is chosen: it is installed here and announced to
// the voters of both views, so that those that it leaves out learn of it too.
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

// seal notes the time of the first promise in this view. The caller sets promisedNumber.
func (n *Node) seal(now time.Duration) {
	if !n.IsSealed() {
		n.sealedAt = now
	}
}

// reject returns the answer to a proposal for a view whose number is too low.
func (n *Node) reject(viewNumber uint64) Reject {
	return Reject{From: n.self.ID, Number: viewNumber, Promised: n.promisedNumber}
}

// sendToVoters sends a message to all other voters and handles it at this member, which is a voter too. This member's own
// answer is among the messages: like those of others it counts only after it was persisted.
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
