package chain

import (
	"sort"
	"time"
)

// peer is what is known of another member.
type peer struct {
	member             Member
	status             Status
	lastStatusAt       time.Duration // when it last answered
	lastAnsweredPingAt time.Duration // when the ping was sent that it answered last
	unansweredPings    map[uint64]time.Duration
	viewSentAt         time.Duration // when it was last sent the view
	joining            bool          // it has asked and is in no view
	lastPingReceivedAt time.Duration // when it last sent a ping
}

const maxUnansweredPings = 64

const maxPeers = 256

func (n *Node) peer(address string) *peer {
	p := n.peers[address]
	if p == nil {
		if len(n.peers) >= maxPeers {
			n.peers = map[string]*peer{} // strangers; those of the view are heard of again in a moment
		}
		p = &peer{unansweredPings: map[uint64]time.Duration{}, lastStatusAt: -time.Hour, lastAnsweredPingAt: -time.Hour, lastPingReceivedAt: -time.Hour}
		n.peers[address] = p
	}
	return p
}

// PingVoters asks all voters at once, for one who waits for a majority's word.
func (n *Node) PingVoters(now time.Duration) Output {
	return Output{ImmediateMessages: n.pingPeers(now)}
}

func (n *Node) pingPeers(now time.Duration) []Envelope {
	n.lastNonce++
	addresses := map[string]bool{}
	for _, voter := range n.view.Voters {
		addresses[voter.Address] = true
	}
	outOfTouch := !n.HasQuorum(now)
	if outOfTouch { // the members of its view may all have been replaced
		for _, seed := range n.config.Seeds {
			addresses[seed] = true
		}
	}
	for address, p := range n.peers {
		joins := p.joining && now-p.lastStatusAt < n.config.SuspectTimeout
		asks := outOfTouch && now-p.lastPingReceivedAt < n.config.SuspectTimeout // it takes this member, or one at its address, for a voter
		if joins || asks {
			addresses[address] = true
		}
	}
	delete(addresses, n.self.Address)
	var out []Envelope
	for _, address := range sortedKeys(addresses) {
		p := n.peer(address)
		if len(p.unansweredPings) >= maxUnansweredPings {
			p.unansweredPings = map[uint64]time.Duration{}
		}
		p.unansweredPings[n.lastNonce] = now
		out = append(out, Envelope{To: address, Message: Ping{From: n.self, Nonce: n.lastNonce, Status: n.status()}})
	}
	return out
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (n *Node) handlePing(now time.Duration, m Ping) Output {
	out := Output{ImmediateMessages: []Envelope{{To: m.From.Address, Message: Pong{From: n.self, Nonce: m.Nonce, Status: n.status()}}}}
	p := n.peer(m.From.Address)
	if p.member.ID != m.From.ID {
		p.lastStatusAt, p.lastAnsweredPingAt = -time.Hour, -time.Hour
	}
	p.member, p.lastPingReceivedAt = m.From, now
	if _, ok := n.view.Voter(m.From.ID); !ok && n.view.Number > 0 {
		p.joining, p.lastStatusAt, p.status = true, now, m.Status
	} else {
		p.joining = false
	}
	out.Messages = n.sendViewIfOutdated(now, m.From, m.Status)
	n.handleCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return out
}

func (n *Node) handlePong(now time.Duration, m Pong) Output {
	p := n.peer(m.From.Address)
	asked, ok := p.unansweredPings[m.Nonce]
	if !ok {
		return Output{}
	}
	delete(p.unansweredPings, m.Nonce)
	p.member, p.status, p.lastStatusAt = m.From, m.Status, now
	p.lastAnsweredPingAt = max(p.lastAnsweredPingAt, asked)
	n.handleCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return Output{Messages: n.sendViewIfOutdated(now, m.From, m.Status)}
}

// reachable tells whether a voter answers.
func (n *Node) isReachable(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return true
	}
	p := n.peers[member.Address]
	return p != nil && p.member.ID == member.ID && now-p.lastAnsweredPingAt < n.config.SuspectTimeout
}

// IsReachable tells whether the voter at an address answers.
func (n *Node) IsReachable(now time.Duration, address string) bool {
	for _, voter := range n.view.Voters {
		if voter.Address == address {
			return n.isReachable(now, voter)
		}
	}
	return false
}

// able tells whether a voter can be in the chain.
func (n *Node) isEligible(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.diskHealthy && !n.leaving
	}
	return n.isReachable(now, member) && n.peers[member.Address].status.Healthy
}

// HasQuorum tells whether a majority of the voters answers.
func (n *Node) HasQuorum(now time.Duration) bool {
	count := 0
	for _, voter := range n.view.Voters {
		if n.isReachable(now, voter) {
			count++
		}
	}
	return n.view.Number > 0 && n.isVoter() && count >= n.view.Majority()
}

// ZoneOf is the zone of a voter that answers; it is empty for one that does not.
func (n *Node) ZoneOf(now time.Duration, voter Member) string {
	switch {
	case voter.ID == n.self.ID:
		return n.self.Zone
	case n.isReachable(now, voter):
		return n.peers[voter.Address].member.Zone
	}
	return ""
}
