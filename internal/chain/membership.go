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
	if holder := n.desiredHolder(&desired); holder != desired.Holder {
		former, _ := n.view.Voter(desired.Holder)
		desired.transferLease(holder, former.Address)
	}
	return desired, true
}

// desiredHolder returns the lease holder of a desired view: the present one, unless it is out of the chain or leaves, as a
// leaving member does not act. If every member of the chain leaves, the present holder or else the head remains.
func (n *Node) desiredHolder(desired *View) MemberID {
	holder := desired.Head()
	if desired.Position(desired.Holder) >= 0 {
		holder = desired.Holder
	}
	for _, id := range slices.Concat([]MemberID{holder}, desired.Chain) {
		if voter, _ := desired.Voter(id); !n.isLeaving(voter) {
			return id
		}
	}
	return holder
}

// desiredChain returns the eligible candidates. Where these are no majority, it retains as few leaving members as are needed
// for one: the core must not lose its chain while a member that is asked to leave still runs.
func (n *Node) desiredChain(now time.Duration, desired View) []MemberID {
	candidates := n.chainCandidates(&desired)
	vacancies := desired.Majority()
	for _, voter := range candidates {
		if n.isEligible(now, voter) {
			vacancies--
		}
	}
	var chain []MemberID
	for _, voter := range candidates {
		switch {
		case n.isEligible(now, voter):
			chain = append(chain, voter.ID)
		case vacancies > 0 && n.canReplicate(now, voter):
			chain = append(chain, voter.ID)
			vacancies--
		}
	}
	return chain
}

// chainCandidates returns the voters of the desired view that may be in its chain: the members of the present chain in their
// order, followed by the others that are up to date.
func (n *Node) chainCandidates(desired *View) []Member {
	var candidates []Member
	for _, id := range n.view.Chain {
		if voter, ok := desired.Voter(id); ok {
			candidates = append(candidates, voter)
		}
	}
	for _, voter := range desired.Voters {
		if n.view.Position(voter.ID) < 0 && n.isUpToDate(voter) {
			candidates = append(candidates, voter)
		}
	}
	return candidates
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
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	n.leavingSince = now
}

// CanStop reports whether a leaving member may stop without reducing the number of failures that the core tolerates. It must
// be out of the chain and no surplus voter, or the next lost disk could leave no majority. At least minReplicas members of
// the chain must have its view on disk: until then this member's disk may be one of too few that have the committed state.
// The voters that it reaches must be a majority without it, or its vote is needed for the next view. If the whole core stops,
// none of this can come, and its disks keep the state.
func (n *Node) CanStop(now time.Duration) bool {
	if n.wholeCoreLeaves() {
		return true
	}
	surplus := n.isVoter() && len(n.view.Voters) > n.minVoters()
	isVoteNeeded := n.isVoter() && n.reachableVoters(now)-1 < n.view.Majority()
	return !n.IsInChain() && !surplus && !isVoteNeeded && n.persistedReplicas() >= n.minReplicas()
}

// wholeCoreLeaves reports whether every voter leaves, by statuses that have arrived since this member leaves itself: an older
// one may be that of a process that has stopped since and is about to start again.
func (n *Node) wholeCoreLeaves() bool {
	for _, voter := range n.view.Voters {
		if !n.isLeaving(voter) {
			return false
		}
		if p := n.knownPeer(voter); p != nil && p.lastStatusAt < n.leavingSince {
			return false
		}
	}
	return len(n.view.Voters) > 0
}

// TolerableLosses returns how many more voters may be lost before no majority of them is left. Voters that cannot be reached
// count as lost, and so do those that leave. It is negative if there is no majority without those.
func (n *Node) TolerableLosses(now time.Duration) int {
	remaining := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) && !n.isLeaving(voter) {
			remaining++
		}
	}
	return remaining - n.view.Majority()
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
