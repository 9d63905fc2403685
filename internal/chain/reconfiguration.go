package chain

import (
	"time"
)

// consider begins a proposal where the view should be another one, and gives up one that takes too long.
func (n *Node) consider(now time.Duration) Output {
	if n.proposing != nil {
		if now < n.proposing.until {
			return Output{}
		}
		n.proposing = nil
		n.nextProposal = now + n.config.Jitter(n.config.ProposalTimeout)
	}
	if n.view.Number == 0 || !n.isVoter() || !n.healthy || now < n.nextProposal {
		return Output{}
	}
	wanted, ok := n.wanted(now)
	stuck := n.IsSealed() && now-n.sealedAt > n.config.ProposalTimeout
	if !ok || sameMembers(wanted, n.view) && !stuck {
		n.wantSince = 0
		return Output{}
	}
	if n.wantSince == 0 {
		n.wantSince = now
	}
	if now-n.wantSince < time.Duration(n.rank(now))*n.config.ProposalTimeout {
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
	return Output{Records: []any{InstallRecord{p}}, Messages: []Envelope{stored}, ViewInstalled: true}
}

func (n *Node) enter(p Proposal) {
	n.view, n.base, n.state = p.View, p.Base, p.Base
	n.log, n.promised, n.accepted = nil, ProposalNumber{}, nil
	n.committed = p.Base.Seq
}

// sendViewIfBehind sends the view to a member that has an older one.
func (n *Node) sendViewIfBehind(now time.Duration, member Member, status Status) []Envelope {
	_, voter := n.view.Voter(member.ID)
	p := n.peer(member.Address)
	if !voter || status.View >= n.view.Number || now-p.installAt < n.config.SuspectTimeout/2 {
		return nil
	}
	p.installAt = now
	return []Envelope{{To: member.Address, Message: Install{From: n.self.ID, Proposal: Proposal{View: n.view, Base: n.base}}}}
}
