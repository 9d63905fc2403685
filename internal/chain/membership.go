package chain

import (
	"slices"
	"strings"
	"time"
)

// absenceTimeouts times Config.SuspectTimeout is how long a surplus voter must be unreachable before it is removed. It is
// much longer than a restart: a voter that returns with its disk is worth more than a smaller majority.
const absenceTimeouts = 20

// minVoters returns the number of voters with which a majority survives MaxFailures failures.
func (n *Node) minVoters() int { return 2*n.config.MaxFailures + 1 }

// desiredView returns the view that this member would propose at present, which may have the members of the present one. It
// is false if this member reaches no majority of the voters, or if no chain with a majority of them is possible.
func (n *Node) desiredView(now time.Duration) (desired View, ok bool) {
	if n.reachableVoters(now) < n.view.Majority() {
		return View{}, false
	}
	desired = View{
		Number:        n.view.Number + 1,
		Voters:        n.desiredVoters(now),
		Holder:        n.view.Holder,
		Token:         n.view.Token,
		FormerHolders: n.view.FormerHolders,
	}
	desired.Chain = n.desiredChain(now, desired)
	// A shorter chain could be missed by a majority of promises, and so could what it commits.
	if len(desired.Chain) < desired.Majority() {
		return View{}, false
	}
	if !slices.Contains(desired.Chain, desired.Holder) {
		former, _ := n.view.Voter(desired.Holder)
		desired.transferLease(desired.Chain[0], former.Address)
	}
	return desired, true
}

// desiredChain returns the eligible members of the present chain in their order, followed by the other eligible voters of
// the desired view that are up to date.
func (n *Node) desiredChain(now time.Duration, desired View) []MemberID {
	var chain []MemberID
	for _, id := range n.view.Chain {
		if voter, ok := desired.Voter(id); ok && n.isEligible(now, voter) {
			chain = append(chain, id)
		}
	}
	for _, voter := range desired.Voters {
		if !slices.Contains(chain, voter.ID) && n.isUpToDate(voter) && n.isEligible(now, voter) {
			chain = append(chain, voter.ID)
		}
	}
	return chain
}

// isUpToDate reports whether a member has the view in force, or joins with the next one. A voter with an older view is first
// sent the present one: as the Install has the complete state, the chain would wait for its transfer.
func (n *Node) isUpToDate(member Member) bool {
	if _, voter := n.view.Voter(member.ID); !voter || member.ID == n.self.ID {
		return true
	}
	p := n.knownPeer(member)
	return p != nil && p.status.View == n.view.Number
}

// desiredVoters returns the present voters with joining members added, each in place of one that leaves or cannot be reached.
// Surplus voters are removed, since a voter that has left for good makes the majority larger than it need be: those that
// leave at once, those that cannot be reached only after absenceTimeouts, as they may return with their disk and the
// majority bears MaxFailures failures with them too.
func (n *Node) desiredVoters(now time.Duration) []Member {
	target := n.minVoters()
	voters := slices.Clone(n.view.Voters)
	for _, joiner := range n.joiningMembers(now) {
		// A member at the address of a voter replaces it: it is the same machine with a new disk.
		voters = slices.DeleteFunc(voters, func(voter Member) bool { return voter.Address == joiner.Address })
		if len(voters) >= target {
			voters = n.removeVoter(now, voters, 0)
		}
		voters = append(voters, joiner)
	}
	for len(voters) > target {
		remaining := n.removeVoter(now, voters, n.config.SuspectTimeout*absenceTimeouts)
		if len(remaining) == len(voters) {
			break
		}
		voters = remaining
	}
	return voters
}

// joiningMembers returns the members that ask to join, are healthy and answer, by address.
func (n *Node) joiningMembers(now time.Duration) []Member {
	var joining []Member
	for _, p := range n.peers {
		if p.joining && p.status.Healthy && now-p.lastAnsweredPingAt < n.config.SuspectTimeout {
			joining = append(joining, p.member)
		}
	}
	slices.SortFunc(joining, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return joining
}

// removeVoter removes one voter that leaves or, if there is none, one that has been unreachable for longer than a duration.
// It returns the voters unchanged if there is neither. A leaving member goes first, so that it can stop without remaining a
// voter, and an unreachable one that may return keeps its vote.
func (n *Node) removeVoter(now time.Duration, voters []Member, absence time.Duration) []Member {
	i := slices.IndexFunc(voters, n.isLeaving)
	if i < 0 {
		i = slices.IndexFunc(voters, func(voter Member) bool { return n.isAbsent(now, voter, absence) })
	}
	if i < 0 {
		return voters
	}
	return slices.Delete(voters, i, i+1)
}

// isLeaving reports whether a voter's last status was that it leaves, even if it has stopped since.
func (n *Node) isLeaving(voter Member) bool {
	if voter.ID == n.self.ID {
		return n.leaving
	}
	p := n.knownPeer(voter)
	return p != nil && p.status.Leaving
}

// isAbsent reports whether a voter has been unreachable for longer than a duration and does not ask to join.
func (n *Node) isAbsent(now time.Duration, voter Member, duration time.Duration) bool {
	if p := n.knownPeer(voter); p != nil && p.joining {
		return false
	}
	return !n.isReachable(now, voter) && now-n.lastReachableAt(voter) > duration
}

// lastReachableAt returns when a voter was last known to be reachable. The time at which this member itself reached no
// majority counts too: it says nothing about the voter.
func (n *Node) lastReachableAt(voter Member) time.Duration {
	reachableAt := n.lastWithoutQuorumAt
	if p := n.knownPeer(voter); p != nil {
		reachableAt = max(reachableAt, p.lastAnsweredPingAt)
	}
	return reachableAt
}

// sameMembers reports whether two views have the same voters and the same members of the chain, in any order.
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

// Leave marks this member as leaving: the others remove it from the chain and, if there are enough voters without it, from
// the voters. The caller stops the process once CanStop is true. It cannot be revoked.
func (n *Node) Leave() { n.leaving = true }

// CanStop reports whether a leaving member may stop without reducing the number of failures that the core tolerates. It must
// be out of the chain and no surplus voter, or the next lost disk could leave no majority. At least minReplicas members of
// the chain must have its view on disk: until then this member's disk may be one of too few that have the committed state.
func (n *Node) CanStop() bool {
	surplus := n.isVoter() && len(n.view.Voters) > n.minVoters()
	return !n.IsInChain() && !surplus && n.persistedReplicas() >= n.minReplicas()
}

// persistedReplicas returns the number of other members of the chain that report to have this member's view on disk.
func (n *Node) persistedReplicas() int {
	count := 0
	for _, id := range n.view.Chain {
		voter, _ := n.view.Voter(id)
		if p := n.knownPeer(voter); p != nil && p.status.Stored >= n.view.Number {
			count++
		}
	}
	return count
}
