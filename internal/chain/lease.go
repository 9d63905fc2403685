package chain

import (
	"slices"
	"time"
)

// maxFormerHolders bounds View.FormerHolders. It exceeds the number of members of a control plane. With a shorter list, the
// role could return to a former holder that the list no longer contains without waiting for Config.ReturnDelay.
const maxFormerHolders = 16

// QuorumConfirmedAt returns the latest time at which a majority of the voters is known to have been in this member's view
// and not sealed. No later view was decided before that time. The result is based on the sending times of answered pings,
// as the answers may have been delayed. It is negative if there is no such time.
func (n *Node) QuorumConfirmedAt(now time.Duration) time.Duration {
	if n.IsSealed() || n.view.Number == 0 || !n.isVoter() {
		return never
	}
	var times []time.Duration
	for _, voter := range n.view.Voters {
		if voter.ID == n.self.ID {
			times = append(times, now)
			continue
		}
		p := n.knownPeer(voter)
		if p != nil && p.status.View == n.view.Number && !p.status.Sealed {
			times = append(times, p.lastAnsweredPingAt)
		}
	}
	if len(times) < n.view.Majority() {
		return never
	}
	slices.Sort(times)
	return times[len(times)-n.view.Majority()]
}

// IsViewConfirmed reports whether a majority has confirmed the view within the last Config.SuspectTimeout.
func (n *Node) IsViewConfirmed(now time.Duration) bool {
	return now-n.QuorumConfirmedAt(now) < n.config.SuspectTimeout
}

// HoldsLease reports whether this member may act as the holder of the singleton role, and returns the fencing token.
//
// The holder acts only while a majority has confirmed its view within the last Config.LeaseDuration, as a later view may name
// another holder. A new holder first waits for takeoverDelay, as its predecessor may not have received the view yet.
func (n *Node) HoldsLease(now time.Duration) (token uint64, ok bool) {
	if n.view.Holder != n.self.ID || n.leaving {
		return 0, false
	}
	if now-n.QuorumConfirmedAt(now) > n.config.LeaseDuration {
		return 0, false
	}
	if now-n.leaseHolderSince < n.takeoverDelay() {
		return 0, false
	}
	return n.view.Token, true
}

// LeaseHolderSince returns when this member became the lease holder. The result is meaningful only at the holder. If the
// holder need not wait before it acts, the result is Config.ReturnDelay before the start of the process.
func (n *Node) LeaseHolderSince() time.Duration { return n.leaseHolderSince }

// takeoverDelay returns how long this member waits as a new holder before it acts.
func (n *Node) takeoverDelay() time.Duration {
	if n.view.isFormerHolder(n.view.Holder) {
		return n.config.ReturnDelay
	}
	return n.config.TakeoverDelay
}

// transferLease makes another member the lease holder under a new token. previousAddress is the address of the previous
// holder.
func (v *View) transferLease(to MemberID, previousAddress string) {
	v.Holder = to
	v.Token++
	former := []string{previousAddress}
	for _, address := range v.FormerHolders {
		if address != previousAddress && len(former) < maxFormerHolders {
			former = append(former, address)
		}
	}
	v.FormerHolders = former
}

// isFormerHolder reports whether a voter has held the lease before. It compares addresses, as a member with a new disk runs on
// the same machine.
func (v *View) isFormerHolder(id MemberID) bool {
	voter, _ := v.Voter(id)
	return slices.Contains(v.FormerHolders, voter.Address)
}
