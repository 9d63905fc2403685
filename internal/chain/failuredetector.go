package chain

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxUnansweredPings bounds the remembered unanswered pings to one peer.
	maxUnansweredPings = 64
	// maxPeers bounds the number of known peers, as any process may send a ping.
	maxPeers = 256
	// never is a time before all others. It is the time of an event that has not happened in this incarnation.
	never = -time.Hour
)

// peer holds the state of the failure detector for the process at one address.
type peer struct {
	// member is the member that last reported a status from the address. It changes when the disk of the machine is replaced.
	member Member
	status Status
	// lastStatusAt is when the status was received.
	lastStatusAt time.Duration
	// lastAnsweredPingAt is when this member sent the latest ping that the peer has answered. The peer was alive, and in the
	// view that it reported, at that time or later. The arrival time of the answer would not prove that, as the answer may
	// have been delayed.
	lastAnsweredPingAt time.Duration
	// lastAnsweredNonce is the nonce of the latest answered ping.
	lastAnsweredNonce uint64
	// unansweredPings are the sending times of the unanswered pings, by nonce.
	unansweredPings map[uint64]time.Duration
	// lastPingReceivedAt is when the latest ping of the peer was received.
	lastPingReceivedAt time.Duration
	// joining is true while the peer sends pings without being a voter, which is how a process asks to join.
	joining bool
	// viewSentAt is when the view was last sent to the peer.
	viewSentAt time.Duration
}

// peer returns the peer at an address. It adds the peer if the address is unknown.
func (n *Node) peer(address string) *peer {
	p := n.peers[address]
	if p != nil {
		return p
	}
	if len(n.peers) >= maxPeers {
		// Most known peers are not members. The members of the view become known again with the next ping.
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

// knownPeer returns the peer of a member. It returns nil if this incarnation has received nothing from the member, or if a
// member with another disk has replaced it at its address.
func (n *Node) knownPeer(member Member) *peer {
	p := n.peers[member.Address]
	if p == nil || p.member.ID != member.ID {
		return nil
	}
	return p
}

// PingVoters pings all voters without waiting for the next periodic ping. A caller uses it to get a new confirmation of the
// view by a majority.
func (n *Node) PingVoters(now time.Duration) Output {
	return Output{ImmediateMessages: n.pingPeers(now)}
}

// pingPeers returns a ping to each address in pingTargets. All pings carry the same nonce.
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
// quorum also pings the seeds, as all members of its view may have been replaced while it was down. It pings the processes
// that ping it as well, as all seeds may have been replaced too.
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
		// The answers of the previous member at this address do not count for the member that has replaced it.
		p.lastStatusAt = never
		p.lastAnsweredPingAt = never
	}
	p.member = m.From
	p.lastPingReceivedAt = now
	_, voter := n.view.Voter(m.From.ID)
	p.joining = !voter && n.view.Number > 0
	if p.joining {
		// A voter's status is taken only from its pongs, as a ping may have been delayed for any time.
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
		// A duplicate, or the answer to a ping of an earlier incarnation: it says nothing about the peer's current status.
		return Output{}
	}
	delete(p.unansweredPings, m.Nonce)
	if p.member.ID == m.From.ID && m.Nonce < p.lastAnsweredNonce {
		// The answer to a later ping has overtaken this pong, whose status is older. It may report that the peer is not
		// sealed, and must not be combined with the time of the later ping.
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

// isReachable reports whether a member has answered a ping that was sent within the last Config.SuspectTimeout.
func (n *Node) isReachable(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return true
	}
	p := n.knownPeer(member)
	return p != nil && now-p.lastAnsweredPingAt < n.config.SuspectTimeout
}

// isEligible reports whether a member can be in the chain: it is reachable, its disk responds and it is not leaving.
func (n *Node) isEligible(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.diskHealthy && !n.leaving
	}
	return n.isReachable(now, member) && n.peers[member.Address].status.Healthy
}

// canReplicate reports whether a member is reachable and its disk responds. Unlike isEligible, it includes leaving members.
func (n *Node) canReplicate(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.diskHealthy
	}
	return n.isReachable(now, member) && n.peers[member.Address].status.DiskHealthy
}

// reachableVoters returns the number of reachable voters. It includes this member if it is a voter.
func (n *Node) reachableVoters(now time.Duration) int {
	count := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) {
			count++
		}
	}
	return count
}

// HasQuorum reports whether this member is a voter and reaches a majority of the voters. The reached voters may be sealed or
// in a later view; IsViewConfirmed excludes both.
func (n *Node) HasQuorum(now time.Duration) bool {
	return n.view.Number > 0 && n.isVoter() && n.reachableVoters(now) >= n.view.Majority()
}

// IsLeaving reports whether a voter's last status said that it is leaving. The voter may have stopped since then.
func (n *Node) IsLeaving(voter Member) bool { return n.isLeaving(voter) }

// IsReachable reports whether the voter at an address is reachable. It returns false if there is no voter at the address.
func (n *Node) IsReachable(now time.Duration, address string) bool {
	for _, voter := range n.view.Voters {
		if voter.Address == address {
			return n.isReachable(now, voter)
		}
	}
	return false
}

// ZoneOf returns the zone that a voter reports, or "" if the voter is unreachable. It does not use the view's Member, which
// may have no zone or the zone of an earlier incarnation.
func (n *Node) ZoneOf(now time.Duration, voter Member) string {
	switch {
	case voter.ID == n.self.ID:
		return n.self.Zone
	case n.isReachable(now, voter):
		return n.peers[voter.Address].member.Zone
	}
	return ""
}
