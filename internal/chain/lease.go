package chain

import (
	"slices"
	"sort"
	"time"
)

// QuorumConfirmedAt is the latest time at which a majority is known to have been in this view and not sealed.
func (n *Node) QuorumConfirmedAt(now time.Duration) time.Duration {
	if n.IsSealed() || n.view.Number == 0 || !n.isVoter() {
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
			times = append(times, p.lastAnsweredPingAt)
		}
	}
	if len(times) < n.view.Majority() {
		return -time.Hour
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[n.view.Majority()-1]
}

// IsViewConfirmed tells whether a majority has lately confirmed the view.
func (n *Node) IsViewConfirmed(now time.Duration) bool {
	return now-n.QuorumConfirmedAt(now) < n.config.SuspectTimeout
}

// HoldsLease tells whether this member may act as the holder of the singleton role, and with which token.
func (n *Node) HoldsLease(now time.Duration) (token uint64, ok bool) {
	if n.view.Holder != n.self.ID || n.leaving {
		return 0, false
	}
	if now-n.QuorumConfirmedAt(now) > n.config.LeaseDuration || now-n.leaseHolderSince < n.takeoverDelay() {
		return 0, false
	}
	return n.view.Token, true
}

// LeaseHolderSince is when this member became the holder.
func (n *Node) LeaseHolderSince() time.Duration { return n.leaseHolderSince }

// holderPause is how long this member waits before it acts as a new holder.
func (n *Node) takeoverDelay() time.Duration {
	if n.view.isHolderReturning() {
		return n.config.ReturnDelay
	}
	return n.config.TakeoverDelay
}

// mostFormerHolders bounds the former holders that a view names. A core has fewer members than that.
const maxFormerHolders = 16

// handOver gives the role to another member, under a new token.
func (v *View) transferLease(to MemberID, from string) {
	v.Holder = to
	v.Token++
	former := []string{from}
	for _, address := range v.FormerHolders {
		if address != from && len(former) < maxFormerHolders {
			former = append(former, address)
		}
	}
	v.FormerHolders = former
}

// holderReturns tells whether the holder is one of the former holders, at the same address.
func (v *View) isHolderReturning() bool {
	holder, _ := v.Voter(v.Holder)
	return slices.Contains(v.FormerHolders, holder.Address)
}
