package chain

import (
	"time"
)

// maybePropose begins a proposal if the view should be another one, and gives up one that takes too long.
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
	desired, ok := n.desiredView(now)
	// A voter that is sealed for long without a next view takes no more writes, even if the view should stay as it is: its
	// proposer has failed. Only another proposal ends this.
	stuck := n.IsSealed() && now-n.sealedAt > n.config.ProposalTimeout
	unchanged := ok && sameMembers(desired, n.view) && desired.Holder == n.view.Holder
	if !ok || unchanged && !stuck {
		n.reconfigureSince = 0
		return Output{}
	}
	if n.reconfigureSince == 0 {
		n.reconfigureSince = now
	}
	// The voters propose one after another, so that in the common case there is a single proposer.
	if now-n.reconfigureSince < time.Duration(n.proposerRank(now))*n.config.ProposalTimeout {
		return Output{}
	}
	return n.prepare(now, desired)
}

// proposerRank returns the number of voters that are to propose before this one: the eligible members of the chain before
// it, or, for a follower, those and the eligible followers before it.
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
	// Messages may be reordered: an older view must not replace a later one.
	if m.Proposal.View.Number <= n.view.Number {
		return Output{}
	}
	out := n.install(now, m.Proposal)
	if m.BaseIsLater {
		n.viewBaseSeq = 0
	}
	return out
}

// install puts a decided view into force at this member.
func (n *Node) install(now time.Duration, decided Proposal) Output {
	remainsHolder := n.view.Holder == n.self.ID && n.view.Token == decided.View.Token
	n.adopt(decided)
	n.viewBaseSeq = decided.Base.Seq
	n.proposer = nil
	n.commitKnown = true
	n.reconfigureSince = 0
	n.sealedAt = 0
	if !remainsHolder {
		n.leaseHolderSince = now
	}
	// Delivered once the record is persisted. Before, this member must not report to have the view on disk: a leaving member
	// might stop that has the only other replica (CanStop).
	stored := Envelope{To: n.self.Address, Message: Stored{View: decided.View.Number}}
	return Output{Records: []any{InstallRecord{decided}}, Messages: []Envelope{stored}, ViewInstalled: true}
}

// adopt replaces the view, the state and the acceptor's state by those of a decided proposal. Its state is committed, as a
// majority has accepted and so persisted it.
func (n *Node) adopt(decided Proposal) {
	n.view = decided.View
	n.viewBaseSeq = 0
	n.base = decided.Base
	n.state = decided.Base
	n.log = nil
	n.promisedNumber = ProposalNumber{}
	n.accepted = nil
	n.committed = decided.Base.Seq
}

// viewSendsPerSuspectTimeout is how often an outdated member is sent the view within Config.SuspectTimeout. The view comes
// with the complete state, which takes a while to transfer.
const viewSendsPerSuspectTimeout = 2

// sendViewIfOutdated sends the view to a voter that reports an older one: the Install was lost, or it was not running.
func (n *Node) sendViewIfOutdated(now time.Duration, member Member, status Status) []Envelope {
	_, voter := n.view.Voter(member.ID)
	p := n.peer(member.Address)
	interval := n.config.SuspectTimeout / viewSendsPerSuspectTimeout
	if !voter || status.View >= n.view.Number || now-p.viewSentAt < interval {
		return nil
	}
	p.viewSentAt = now
	install := Install{
		From:        n.self.ID,
		Proposal:    Proposal{View: n.view, Base: n.base},
		BaseIsLater: n.base.Seq != n.viewBaseSeq,
	}
	return []Envelope{{To: member.Address, Message: install}}
}
