package chain

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxUnansweredPings bounds the pings to one member whose answers are awaited.
	maxUnansweredPings = 64
	// maxPeers bounds the members that are known, as anybody may send a ping.
	maxPeers = 256
	// never is a time before all others, for what has not happened in this incarnation.
	never = -time.Hour
)

// peer is what this member knows of the process at another address.
type peer struct {
	// member is who has last reported a status from the address: a replaced disk changes it.
	member Member
	status Status
	// lastStatusAt is when the status was received.
	lastStatusAt time.Duration
	// lastAnsweredPingAt is when the latest ping that was answered was sent. Unlike the time of the answer, which may have
	// been delayed, it proves that the peer was alive, and in the reported view, at that time or later.
	lastAnsweredPingAt time.Duration
	// lastAnsweredNonce is the nonce of that ping.
	lastAnsweredNonce uint64
	// unansweredPings are the times at which pings were sent, by nonce.
	unansweredPings map[uint64]time.Duration
	// lastPingReceivedAt is when the peer last sent a ping.
	lastPingReceivedAt time.Duration
	// joining is true while the peer pings without being a voter: it asks to join.
	joining bool
	// viewSentAt is when the view was last sent to the peer.
	viewSentAt time.Duration
}

// peer returns the peer at an address, which it adds if it is not known.
func (n *Node) peer(address string) *peer {
	p := n.peers[address]
	if p != nil {
		return p
	}
	if len(n.peers) >= maxPeers {
		// Most of them are not members. Those of the view are known again after the next ping.
		n.peers = map[string]*peer{}
	}
	p = &peer{
		lastStatusAt:       never,
		lastAnsweredPingAt: never,
		lastPingReceivedAt: never,
		unansweredPings:    map[uint64]time.Duration{},
	}
	n.peers[address] = p
	return p
}

// knownPeer returns the peer of a member. It is nil if the member has not been heard from in this incarnation, or if a
// member with another disk has replaced it at its address.
func (n *Node) knownPeer(member Member) *peer {
	p := n.peers[member.Address]
	if p == nil || p.member.ID != member.ID {
		return nil
	}
	return p
}

// PingVoters pings all voters at once. A caller that needs a new confirmation by a majority uses it in place of waiting for
// the next periodic ping.
func (n *Node) PingVoters(now time.Duration) Output {
	return Output{ImmediateMessages: n.pingPeers(now)}
}

// pingPeers returns a ping to each address in pingTargets. All carry the same nonce.
func (n *Node) pingPeers(now time.Duration) []Envelope {
	n.lastNonce++
	var out []Envelope
	for _, address := range n.pingTargets(now) {
		p := n.peer(address)
		if len(p.unansweredPings) >= maxUnansweredPings {
			p.unansweredPings = map[uint64]time.Duration{}
		}
		p.unansweredPings[n.lastNonce] = now
		out = append(out, Envelope{To: address, Message: Ping{From: n.self, Nonce: n.lastNonce, Status: n.status()}})
	}
	return out
}

// pingTargets returns the addresses of the voters and of the members that ask to join, in a fixed order. A member without a
// quorum pings the seeds too, as all members of its view may have been replaced while it was away, and those that ping it,
// as the seeds may all have been replaced too.
func (n *Node) pingTargets(now time.Duration) []string {
	addresses := map[string]bool{}
	for _, voter := range n.view.Voters {
		addresses[voter.Address] = true
	}
	withoutQuorum := !n.HasQuorum(now)
	if withoutQuorum {
		for _, seed := range n.config.Seeds {
			addresses[seed] = true
		}
	}
	for address, p := range n.peers {
		asksToJoin := p.joining && now-p.lastStatusAt < n.config.SuspectTimeout
		pingsThisMember := now-p.lastPingReceivedAt < n.config.SuspectTimeout
		if asksToJoin || withoutQuorum && pingsThisMember {
			addresses[address] = true
		}
	}
	delete(addresses, n.self.Address)
	return slices.Sorted(maps.Keys(addresses))
}

func (n *Node) handlePing(now time.Duration, m Ping) Output {
	pong := Pong{From: n.self, Nonce: m.Nonce, Status: n.status()}
	p := n.peer(m.From.Address)
	if p.member.ID != m.From.ID {
		// Answers of the member that was at this address before do not count for the one that has replaced it.
		p.lastStatusAt = never
		p.lastAnsweredPingAt = never
	}
	p.member = m.From
	p.lastPingReceivedAt = now
	_, voter := n.view.Voter(m.From.ID)
	p.joining = !voter && n.view.Number > 0
	if p.joining {
		// Of a voter only a pong counts, as a ping may have been delayed for any time.
		p.lastStatusAt = now
		p.status = m.Status
	}
	out := Output{ImmediateMessages: []Envelope{{To: m.From.Address, Message: pong}}}
	out.Messages = n.sendViewIfOutdated(now, m.From, m.Status)
	n.handleCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return out
}

func (n *Node) handlePong(now time.Duration, m Pong) Output {
	p := n.peer(m.From.Address)
	sentAt, ok := p.unansweredPings[m.Nonce]
	if !ok {
		// A duplicate, or the answer to a ping of an earlier incarnation: it says nothing about the present.
		return Output{}
	}
	delete(p.unansweredPings, m.Nonce)
	if p.member.ID == m.From.ID && m.Nonce < p.lastAnsweredNonce {
		// The answer to a later ping has overtaken this one, whose status is older: it may say that the peer is not sealed,
		// and the time of the later ping must not confirm that.
		return Output{}
	}
	p.member = m.From
	p.status = m.Status
	p.lastStatusAt = now
	p.lastAnsweredPingAt = sentAt
	p.lastAnsweredNonce = m.Nonce
	n.handleCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return Output{Messages: n.sendViewIfOutdated(now, m.From, m.Status)}
}

// isReachable reports whether a member has answered a ping that was sent within Config.SuspectTimeout.
func (n *Node) isReachable(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return true
	}
	p := n.knownPeer(member)
	return p != nil && now-p.lastAnsweredPingAt < n.config.SuspectTimeout
}

// isEligible reports whether a member can be in the chain: it is reachable, its disk answers and it is not leaving.
func (n *Node) isEligible(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.diskHealthy && !n.leaving
	}
	return n.isReachable(now, member) && n.peers[member.Address].status.Healthy
}

// canReplicate reports whether a member could be in the chain, also if it leaves: it is reachable and its disk answers.
func (n *Node) canReplicate(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.diskHealthy
	}
	return n.isReachable(now, member) && n.peers[member.Address].status.DiskHealthy
}

// reachableVoters returns the number of voters that are reachable, including this member if it is one.
func (n *Node) reachableVoters(now time.Duration) int {
	count := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) {
			count++
		}
	}
	return count
}

// HasQuorum reports whether this member is a voter and reaches a majority of the voters. The others may be in a later view
// or sealed: see IsViewConfirmed for more.
func (n *Node) HasQuorum(now time.Duration) bool {
	return n.view.Number > 0 && n.isVoter() && n.reachableVoters(now) >= n.view.Majority()
}

// IsLeaving reports whether the last status of a voter, which may have stopped since, was that it leaves.
func (n *Node) IsLeaving(voter Member) bool { return n.isLeaving(voter) }

// IsReachable reports whether the voter at an address is reachable. It is false for an address of no voter.
func (n *Node) IsReachable(now time.Duration, address string) bool {
	for _, voter := range n.view.Voters {
		if voter.Address == address {
			return n.isReachable(now, voter)
		}
	}
	return false
}

// ZoneOf returns the zone that a reachable voter reports, or "" for an unreachable one. The view's Member may lack it, or
// have that of an earlier incarnation.
func (n *Node) ZoneOf(now time.Duration, voter Member) string {
	switch {
	case voter.ID == n.self.ID:
		return n.self.Zone
	case n.isReachable(now, voter):
		return n.peers[voter.Address].member.Zone
	}
	return ""
}
