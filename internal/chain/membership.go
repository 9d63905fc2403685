package chain

import (
	"slices"
	"strings"
	"time"
)

// absenceTimeouts is how long a surplus voter must be unreachable before it is removed, in multiples of
// Config.SuspectTimeout. It is much longer than a restart, as keeping a voter that returns with its disk is better than a
// smaller majority.
const absenceTimeouts = 20

// minVoters returns the number of voters with which a majority survives MaxFailures failures.
func (n *Node) minVoters() int { return 2*n.config.MaxFailures + 1 }

// desiredView returns the view that this member would propose now, which may have the same members as the current view. It
// returns false if this member reaches no majority of the voters, or if no chain with a majority of the voters is possible.
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
	// With a shorter chain, a majority of promises could include no member of the chain, and miss committed entries.
	if len(desired.Chain) < desired.Majority() {
		return View{}, false
	}
	if holder := n.desiredHolder(&desired); holder != desired.Holder {
		former, _ := n.view.Voter(desired.Holder)
		desired.transferLease(holder, former.Address)
	}
	return desired, true
}

// desiredHolder returns the lease holder of a desired view. It prefers the current holder, then the members of the chain in
// their order. It skips members that are not in the chain, and leaving members, as a leaving member does not act as the holder.
// If every member of the chain is leaving, the holder is the current one if it is in the chain, and the head otherwise.
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

// desiredChain returns the eligible candidates. If they are not a majority, it also retains as many leaving members as the
// majority needs: the control plane must not lose its chain while a member that was asked to leave still runs.
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

// chainCandidates returns the voters of the desired view that may be in its chain: the members of the current chain in their
// order, followed by the other voters that are up to date.
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

// isUpToDate reports whether a member has the current view, joins with the next view, or is this member. A voter with an older
// view must receive the current view before it enters the chain. Otherwise the chain would wait for the transfer of the
// complete state, which the Install message carries.
func (n *Node) isUpToDate(member Member) bool {
	if _, voter := n.view.Voter(member.ID); !voter || member.ID == n.self.ID {
		return true
	}
	p := n.knownPeer(member)
	return p != nil && p.status.View == n.view.Number
}

// desiredVoters returns the current voters plus the joining members. If there are enough voters, each joining member replaces
// a leaving or unreachable voter. Surplus voters are removed, because a voter that never returns makes the majority larger
// than necessary. A leaving surplus voter is removed at once. An unreachable one is removed only after absenceTimeouts: it may
// return with its disk, and the majority survives MaxFailures failures with the surplus voter as well.
func (n *Node) desiredVoters(now time.Duration) []Member {
	target := n.minVoters()
	voters := slices.Clone(n.view.Voters)
	for _, joiner := range n.joiningMembers(now) {
		// A joining member at the address of a voter replaces that voter: it is the same machine with a new disk.
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

// joiningMembers returns the healthy and reachable members that ask to join, sorted by address.
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

// removeVoter removes one leaving voter or, if there is none, one voter that has been unreachable for longer than the given
// duration. If there is neither, it returns the voters unchanged. A leaving voter is removed first, so that it can stop, and
// so that an unreachable voter that may return keeps its vote.
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

// isLeaving reports whether a voter's last status said that it is leaving, even if the voter has stopped since then.
func (n *Node) isLeaving(voter Member) bool {
	if voter.ID == n.self.ID {
		return n.leaving
	}
	p := n.knownPeer(voter)
	return p != nil && p.status.Leaving
}

// isAbsent reports whether a voter has been unreachable for longer than the given duration and does not ask to join.
func (n *Node) isAbsent(now time.Duration, voter Member, duration time.Duration) bool {
	if p := n.knownPeer(voter); p != nil && p.joining {
		return false
	}
	return !n.isReachable(now, voter) && now-n.lastReachableAt(voter) > duration
}

// lastReachableAt returns when a voter was last known to be reachable. A time at which this member itself reached no majority
// counts as such a time: the failure may have been on this member's side.
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

// Leave marks this member as leaving. The other members remove it from the chain and, if there are enough voters without it,
// from the voters. The caller stops the process once CanStop returns true. Leave cannot be revoked.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	n.leavingSince = now
}

// CanStop reports whether a leaving member may stop without reducing the number of failures that the control plane tolerates.
// The conditions are:
//
//   - The member is not in the chain and is not a surplus voter. Otherwise the next lost disk could leave no majority.
//   - At least minReplicas members of the chain have this member's view on disk. Until then, too few other disks may have the
//     committed state.
//   - The other voters that the member reaches are a majority. Otherwise its vote is needed for the next view.
//
// If all voters are leaving, these conditions can never hold. The member may then stop, as the disks keep the state.
func (n *Node) CanStop(now time.Duration) bool {
	if n.areAllVotersLeaving() {
		return true
	}
	surplus := n.isVoter() && len(n.view.Voters) > n.minVoters()
	isVoteNeeded := n.isVoter() && n.reachableVoters(now)-1 < n.view.Majority()
	return !n.IsInChain() && !surplus && !isVoteNeeded && n.persistedReplicas() >= n.minReplicas()
}

// areAllVotersLeaving reports whether every voter is leaving. It counts only statuses that have arrived since this member
// began to leave: an older status may come from a process that has stopped since then and is about to start again.
func (n *Node) areAllVotersLeaving() bool {
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

// TolerableLosses returns how many more voters may be lost before there is no majority. Unreachable and leaving voters count as
// lost. The result is negative if the other voters are not a majority.
func (n *Node) TolerableLosses(now time.Duration) int {
	remaining := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) && !n.isLeaving(voter) {
			remaining++
		}
	}
	return remaining - n.view.Majority()
}

// persistedReplicas returns the number of other members of the chain that have reported this member's view as persisted.
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
