package chain

import (
	"sort"
	"time"
)

func (n *Node) status() Status {
	return Status{View: n.view.Number, Sealed: n.Sealed(), Healthy: n.healthy && !n.leaving, Leaving: n.leaving, Stored: n.stored, Seq: n.state.Seq, Committed: n.committed}
}

// Tick does what is due.
func (n *Node) Tick(now time.Duration) Output {
	var out Output
	if !n.InTouch(now) {
		n.outOfTouchAt = now
	}
	if now >= n.nextPing {
		n.nextPing = now + n.config.PingEvery
		out.Urgent = n.pings(now)
	}
	out.Messages = append(out.Messages, n.resend(now)...)
	if token, holds := n.Holds(now); holds && n.held != token {
		n.held = token
		out.Records = append(out.Records, HeldRecord{Token: token})
	}
	proposal := n.consider(now)
	out.Records = append(out.Records, proposal.Records...)
	out.Messages = append(out.Messages, proposal.Messages...)
	out.Installed = proposal.Installed
	return out
}

// PingNow asks all voters at once, for one who waits for a majority's word.
func (n *Node) PingNow(now time.Duration) Output { return Output{Urgent: n.pings(now)} }

func (n *Node) pings(now time.Duration) []Envelope {
	n.nonce++
	addresses := map[string]bool{}
	for _, voter := range n.view.Voters {
		addresses[voter.Address] = true
	}
	outOfTouch := !n.InTouch(now)
	if outOfTouch { // the members of its view may all have been replaced
		for _, seed := range n.config.Seeds {
			addresses[seed] = true
		}
	}
	for address, p := range n.peers {
		joins := p.joining && now-p.heardAt < n.config.SuspectAfter
		asks := outOfTouch && now-p.pingedAt < n.config.SuspectAfter // it takes this member, or one at its address, for a voter
		if joins || asks {
			addresses[address] = true
		}
	}
	delete(addresses, n.self.Address)
	var out []Envelope
	for _, address := range sorted(addresses) {
		p := n.peer(address)
		if len(p.asked) >= mostAsked {
			p.asked = map[uint64]time.Duration{}
		}
		p.asked[n.nonce] = now
		out = append(out, Envelope{To: address, Message: Ping{From: n.self, Nonce: n.nonce, Status: n.status()}})
	}
	return out
}

func sorted(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (n *Node) isVoter() bool {
	_, ok := n.view.Voter(n.self.ID)
	return ok
}

const mostPeers = 256

func (n *Node) peer(address string) *peer {
	p := n.peers[address]
	if p == nil {
		if len(n.peers) >= mostPeers {
			n.peers = map[string]*peer{} // strangers; those of the view are heard of again in a moment
		}
		p = &peer{asked: map[uint64]time.Duration{}, heardAt: -time.Hour, askedAt: -time.Hour, pingedAt: -time.Hour}
		n.peers[address] = p
	}
	return p
}

func (n *Node) onPing(now time.Duration, m Ping) Output {
	out := Output{Urgent: []Envelope{{To: m.From.Address, Message: Pong{From: n.self, Nonce: m.Nonce, Status: n.status()}}}}
	p := n.peer(m.From.Address)
	if p.member.ID != m.From.ID {
		p.heardAt, p.askedAt = -time.Hour, -time.Hour
	}
	p.member, p.pingedAt = m.From, now
	if _, ok := n.view.Voter(m.From.ID); !ok && n.view.Number > 0 {
		p.joining, p.heardAt, p.status = true, now, m.Status
	} else {
		p.joining = false
	}
	out.Messages = n.sendViewIfBehind(now, m.From, m.Status)
	n.onCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return out
}

// sendViewIfBehind sends the view to a member that has an older one.
func (n *Node) sendViewIfBehind(now time.Duration, member Member, status Status) []Envelope {
	_, voter := n.view.Voter(member.ID)
	p := n.peer(member.Address)
	if !voter || status.View >= n.view.Number || now-p.installAt < n.config.SuspectAfter/2 {
		return nil
	}
	p.installAt = now
	return []Envelope{{To: member.Address, Message: Install{From: n.self.ID, Proposal: Proposal{View: n.view, Base: n.base}}}}
}

func (n *Node) onPong(now time.Duration, m Pong) Output {
	p := n.peer(m.From.Address)
	asked, ok := p.asked[m.Nonce]
	if !ok {
		return Output{}
	}
	delete(p.asked, m.Nonce)
	p.member, p.status, p.heardAt = m.From, m.Status, now
	p.askedAt = max(p.askedAt, asked)
	n.onCommitted(m.From.ID, m.Status.View, m.Status.Committed)
	return Output{Messages: n.sendViewIfBehind(now, m.From, m.Status)}
}

// ZoneOf is the zone of a voter that answers; it is empty for one that does not.
func (n *Node) ZoneOf(now time.Duration, voter Member) string {
	switch {
	case voter.ID == n.self.ID:
		return n.self.Zone
	case n.reachable(now, voter):
		return n.peers[voter.Address].member.Zone
	}
	return ""
}

// reachable tells whether a voter answers.
func (n *Node) reachable(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return true
	}
	p := n.peers[member.Address]
	return p != nil && p.member.ID == member.ID && now-p.askedAt < n.config.SuspectAfter
}

// Reaches tells whether the voter at an address answers.
func (n *Node) Reaches(now time.Duration, address string) bool {
	for _, voter := range n.view.Voters {
		if voter.Address == address {
			return n.reachable(now, voter)
		}
	}
	return false
}

// able tells whether a voter can be in the chain.
func (n *Node) able(now time.Duration, member Member) bool {
	if member.ID == n.self.ID {
		return n.healthy && !n.leaving
	}
	return n.reachable(now, member) && n.peers[member.Address].status.Healthy
}

// InTouch tells whether a majority of the voters answers.
func (n *Node) InTouch(now time.Duration) bool {
	count := 0
	for _, voter := range n.view.Voters {
		if n.reachable(now, voter) {
			count++
		}
	}
	return n.view.Number > 0 && n.isVoter() && count >= n.view.Majority()
}

// Confirmed is the latest time at which a majority is known to have been in this view and not sealed.
func (n *Node) Confirmed(now time.Duration) time.Duration {
	if n.Sealed() || n.view.Number == 0 || !n.isVoter() {
		return -time.Hour
	}
	var times []time.Duration
	for _, voter := range n.view.Voters {
		if voter.ID == n.self.ID {
			times = append(times, now)
			continue
		}
		p := n.peers[voter.Address]
		if p != nil && p.member.ID == voter.ID && p.status.View == n.view.Number && !p.status.Sealed {
			times = append(times, p.askedAt)
		}
	}
	if len(times) < n.view.Majority() {
		return -time.Hour
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[n.view.Majority()-1]
}

// InForce tells whether a majority has lately confirmed the view.
func (n *Node) InForce(now time.Duration) bool { return now-n.Confirmed(now) < n.config.SuspectAfter }

// Holds tells whether this member may act as the holder of the singleton role, and with which token.
func (n *Node) Holds(now time.Duration) (token uint64, ok bool) {
	if n.view.Holder != n.self.ID || n.leaving {
		return 0, false
	}
	if now-n.Confirmed(now) > n.config.LeaseFor || now-n.holderSince < n.holderPause() {
		return 0, false
	}
	return n.view.Token, true
}

// HolderSince is when this member became the holder.
func (n *Node) HolderSince() time.Duration { return n.holderSince }

// holderPause is how long this member waits before it acts as a new holder.
func (n *Node) holderPause() time.Duration {
	if n.view.holderReturns() {
		return n.config.ReturnPause
	}
	return n.config.HolderPause
}

// resend sends what the successor does not have, or what was not heard to be committed.
func (n *Node) resend(now time.Duration) []Envelope {
	position := n.view.Position(n.self.ID)
	if position < 0 || n.Sealed() || n.committed >= n.state.Seq {
		return nil
	}
	if now-n.resentAt < n.config.SuspectAfter/3 {
		return nil
	}
	n.resentAt = now
	return n.passOn(n.after(n.committed))
}
