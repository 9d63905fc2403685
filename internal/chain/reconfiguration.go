package chain

import (
	"time"
)

// consider begins a proposal where the view should be another one, and gives up one that takes too long.
func (n *Node) maybePropose(now time.Duration) Output {
	if n.proposer != nil {
		if now < n.proposer.deadline {
			return Output{}
		}
		n.proposer = nil
		n.nextProposalAt = now + n.config.Jitter(n.config.ProposalTimeout)
	}
	if n.view.Number == 0 || !n.isVoter() || !n.diskHealthy || now < n.nextProposalAt {
		return Output{}
	}
	desired, ok := n.desired(now)
	stuck := n.IsSealed() && now-n.sealedAt > n.config.ProposalTimeout
	if !ok || sameMembers(desired, n.view) && !stuck {
		n.reconfigureSince = 0
		return Output{}
	}
	if n.reconfigureSince == 0 {
		n.reconfigureSince = now
	}
	if now-n.reconfigureSince < time.Duration(n.proposerRank(now))*n.config.ProposalTimeout {
		return Output{}
	}
	return n.prepare(now, desired)
}

// rank is this member's place among those who can propose: the first does so at once.
func (n *Node) proposerRank(now time.Duration) int {
	rank := 0
	for _, id := range n.view.Chain {
		if id == n.self.ID {
			return rank
		}
		if voter, ok := n.view.Voter(id); ok && n.isEligible(now, voter) {
			rank++
		}
	}
	for _, voter := range n.view.Voters {
		if voter.ID == n.self.ID {
			break
		}
		if n.view.Position(voter.ID) < 0 && n.isEligible(now, voter) {
			rank++
		}
	}
	return rank
}

func (n *Node) handleInstall(now time.Duration, m Install) Output {
	if m.Proposal.View.Number <= n.view.Number {
		return Output{}
	}
	return n.install(now, m.Proposal)
}

func (n *Node) install(now time.Duration, p Proposal) Output {
	wasHolder := n.view.Holder == n.self.ID && n.view.Token == p.View.Token
	n.adopt(p)
	n.proposer, n.commitKnown = nil, true
	n.reconfigureSince, n.sealedAt = 0, 0
	if !wasHolder {
		n.leaseHolderSince = now
	}
	stored := Envelope{To: n.self.Address, Message: Stored{View: p.View.Number}} // is delivered once the record is on disk
	return Output{Records: []any{InstallRecord{p}}, Messages: []Envelope{stored}, ViewInstalled: true}
}

func (n *Node) adopt(p Proposal) {
	n.view, n.base, n.state = p.View, p.Base, p.Base
	n.log, n.promisedNumber, n.accepted = nil, ProposalNumber{}, nil
	n.committed = p.Base.Seq
}

// sendViewIfBehind sends the view to a member that has an older one.
func (n *Node) sendViewIfOutdated(now time.Duration, member Member, status Status) []Envelope {
	_, voter := n.view.Voter(member.ID)
	p := n.peer(member.Address)
	if !voter || status.View >= n.view.Number || now-p.viewSentAt < n.config.SuspectTimeout/2 {
		return nil
	}
	p.viewSentAt = now
	return []Envelope{{To: member.Address, Message: Install{From: n.self.ID, Proposal: Proposal{View: n.view, Base: n.base}}}}
}
