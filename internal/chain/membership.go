package chain

import (
	"slices"
	"time"
)

// wanted is the view that this member would have now. It is false where it sees no majority.
func (n *Node) desired(now time.Duration) (View, bool) {
	live := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) {
			live++
		}
	}
	if live < n.view.Majority() {
		return View{}, false
	}
	desired := View{Number: n.view.Number + 1, Voters: n.desiredVoters(now), Token: n.view.Token, Holder: n.view.Holder,
		FormerHolders: n.view.FormerHolders}
	inChain := map[MemberID]bool{}
	add := func(member Member) {
		if !inChain[member.ID] && n.isEligible(now, member) {
			inChain[member.ID] = true
			desired.Chain = append(desired.Chain, member.ID)
		}
	}
	for _, id := range n.view.Chain {
		if voter, ok := desired.Voter(id); ok {
			add(voter)
		}
	}
	for _, voter := range desired.Voters {
		if n.upToDate(voter) {
			add(voter)
		}
	}
	if len(desired.Chain) < desired.Majority() {
		return View{}, false
	}
	if !inChain[desired.Holder] {
		former, _ := n.view.Voter(desired.Holder)
		desired.transferLease(desired.Chain[0], former.Address)
	}
	return desired, true
}

// upToDate tells whether a member has the view in force, or is to join with the next one.
func (n *Node) upToDate(member Member) bool {
	if _, voter := n.view.Voter(member.ID); !voter || member.ID == n.self.ID {
		return true
	}
	p := n.peers[member.Address]
	return p != nil && p.status.View == n.view.Number
}

// wantedVoters are the voters with joining members added. Those that leave, then those that cannot be reached, are left out
// where others take their place: a voter that has left for good would make a majority of more members than there need be.
// Beside that, one that cannot be reached is left out only after a while: it may come back with its disk, and as many as may
// be lost leave a majority with it too.
func (n *Node) desiredVoters(now time.Duration) []Member {
	target := n.minVoters()
	voters := append([]Member(nil), n.view.Voters...)
	for _, joiner := range n.joiningMembers(now) {
		voters = filterMembers(voters, func(voter Member) bool { return voter.Address == joiner.Address })
		if len(voters) >= target {
			voters = n.withoutOneVoter(now, voters, 0)
		}
		voters = append(voters, joiner)
	}
	for len(voters) > target {
		fewer := n.withoutOneVoter(now, voters, n.config.SuspectTimeout*absenceTimeouts)
		if len(fewer) == len(voters) {
			break
		}
		voters = fewer
	}
	return voters
}

func (n *Node) joiningMembers(now time.Duration) []Member {
	addresses := map[string]bool{}
	for address, p := range n.peers {
		if p.joining && p.status.Healthy && now-p.lastAnsweredPingAt < n.config.SuspectTimeout {
			addresses[address] = true
		}
	}
	var joiners []Member
	for _, address := range sortedKeys(addresses) {
		joiners = append(joiners, n.peers[address].member)
	}
	return joiners
}

// leastVoters is how many voters there must be for as many to be lost as may be.
func (n *Node) minVoters() int { return 2*n.config.MaxFailures + 1 }

// longAway is for how many times the time of suspicion a voter too many must be away to be left out.
const absenceTimeouts = 20

// dropOne leaves out one voter that leaves, or else one that cannot be reached and has been away for a time, if there is any.
func (n *Node) withoutOneVoter(now time.Duration, voters []Member, away time.Duration) []Member {
	gone := func(voter Member) bool { return !n.isReachable(now, voter) && !n.isJoining(voter) }
	for _, dispensable := range []func(Member) bool{
		n.isLeaving,
		func(voter Member) bool { return gone(voter) && now-n.lastSeenAt(voter) > away },
	} {
		if i := slices.IndexFunc(voters, dispensable); i >= 0 {
			return filterMembers(voters, func(other Member) bool { return other.ID == voters[i].ID })
		}
	}
	return voters
}

// leaves tells whether a voter has said that it leaves when it was last heard of.
func (n *Node) isLeaving(voter Member) bool {
	if voter.ID == n.self.ID {
		return n.leaving
	}
	p := n.peers[voter.Address]
	return p != nil && p.member.ID == voter.ID && p.status.Leaving
}

// lastSeen is when a voter last answered, or when this member was last out of touch, as it can tell nothing of that time.
func (n *Node) lastSeenAt(voter Member) time.Duration {
	seen := n.lastWithoutQuorumAt
	if p := n.peers[voter.Address]; p != nil && p.member.ID == voter.ID {
		seen = max(seen, p.lastAnsweredPingAt)
	}
	return seen
}

// joins tells whether a member asks to be taken in.
func (n *Node) isJoining(member Member) bool {
	p := n.peers[member.Address]
	return p != nil && p.member.ID == member.ID && p.joining
}

func filterMembers(members []Member, drop func(Member) bool) []Member {
	var kept []Member
	for _, member := range members {
		if !drop(member) {
			kept = append(kept, member)
		}
	}
	return kept
}

// sameMembers tells whether two views have the same voters and the same members in the chain.
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

// Leave has the others take this member out of the chain.
func (n *Node) Leave() { n.leaving = true }

// CanStop tells whether a leaving member may end: it is out of the chain and, where there are voters enough without
// it, no voter any more, and as many of the chain have the view with its state on disk as must store what is committed.
// Else it stays a voter, as one that starts again is.
func (n *Node) CanStop() bool {
	tooMany := n.isVoter() && len(n.view.Voters) > n.minVoters()
	return !n.IsInChain() && !tooMany && n.persistedReplicas() >= n.minReplicas()
}

// copiesInChain is how many members of the chain are known to have the view on disk.
func (n *Node) persistedReplicas() int {
	copies := 0
	for _, id := range n.view.Chain {
		voter, _ := n.view.Voter(id)
		p := n.peers[voter.Address]
		if p != nil && p.member.ID == id && p.status.Stored >= n.view.Number {
			copies++
		}
	}
	return copies
}
