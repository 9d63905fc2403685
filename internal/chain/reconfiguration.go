package chain

import (
	"time"
)

// maybePropose starts a proposal if the view should change, and abandons an ongoing proposal that takes too long.
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
	// If a voter stays sealed for a long time without a next view, its proposer has failed. A sealed voter accepts no writes,
	// and only another proposal ends that, even if the members of the view should not change.
	stuck := n.IsSealed() && now-n.sealedAt > n.config.ProposalTimeout
	unchanged := ok && sameMembers(desired, n.view) && desired.Holder == n.view.Holder
	if !ok || unchanged && !stuck {
		n.reconfigureSince = 0
		return Output{}
	}
	if n.reconfigureSince == 0 {
		n.reconfigureSince = now
	}
	// The voters wait in the order of their rank before they propose, so that there is usually a single proposer.
	if now-n.reconfigureSince < time.Duration(n.proposerRank(now))*n.config.ProposalTimeout {
		return Output{}
	}
	return n.prepare(now, desired)
}

// proposerRank returns the number of voters that propose before this one. The eligible members of the chain rank in the order
// of the chain. The eligible voters outside the chain follow in the order of the voters.
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
	// Messages may be reordered, and an older view must not replace a later one.
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
	// The message is delivered once the record is persisted. This member must not report the view as persisted earlier:
	// a leaving member that has the only other replica could stop (see CanStop).
	stored := Envelope{To: n.self.Address, Message: Stored{View: decided.View.Number}}
	return Output{Records: []any{InstallRecord{decided}}, Messages: []Envelope{stored}, ViewInstalled: true}
}

// adopt replaces the view and the state with those of a decided proposal, and clears the state of the acceptor. The state of
// the proposal is committed, as a majority has accepted and persisted it.
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

// viewSendsPerSuspectTimeout is how often this member sends the view to an outdated member within Config.SuspectTimeout. The
// rate is limited because the view comes with the complete state, which takes some time to transfer.
const viewSendsPerSuspectTimeout = 2

// sendViewIfOutdated sends the view to a voter that reports an older view. The Install was lost, or the voter was not running
// when the view was decided.
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
