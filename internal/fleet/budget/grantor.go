package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Terms holds the terms that apply to every lease.
type Terms struct {
	// LeaseDuration is the time for which a holder may spend a lease, by the holder's clock, from the time of its
	// request.
	LeaseDuration time.Duration
	MaxDrift      float64 // MaxDrift bounds the relative deviation of any clock's rate from true time.
}

// GrantorLeaseDuration returns the time, by the grantor's clock, for which a lease stays charged after it was granted. A
// holder's clock may run slow by MaxDrift, so that its lease lasts LeaseDuration/(1-MaxDrift) of true time. The grantor's
// clock may run fast by MaxDrift.
func (t Terms) GrantorLeaseDuration() time.Duration {
	return time.Duration(float64(t.LeaseDuration)*(1+t.MaxDrift)/(1-t.MaxDrift)) + 1
}

// Request asks for the next lease. Its keys are part of the wire format.
type Request struct {
	Holder string  `codec:"h"`
	Weight float64 `codec:"w"`
	Seq    uint64  `codec:"q"`
	// AcceptedVersion is the version of the newest grant that the holder has accepted; 0 if none.
	AcceptedVersion uint64 `codec:"u"`
	// Demand is the holder's demand beyond its floor, in requests per second, for each quota.
	Demand []float64 `codec:"d"`
}

// maxDemand bounds a demand, in requests per second.
const maxDemand = 1e12

// claimant is the last request of a holder.
type claimant struct {
	Request
	receivedAt time.Duration
	isPending  bool // the request has not been answered
}

// Grantor decides on grants. Only the leader of the group that replicates the ledger has one. The caller reports each
// applied command to it, and passes in the time, which never goes back.
type Grantor struct {
	terms       Terms
	ledger      *Ledger
	grantedAt   map[uint64]time.Duration // time at which this replica applied each grant, by version
	claimants   map[string]*claimant
	lastVersion uint64
}

// NewGrantor returns the grantor of a replica of the ledger. It counts every grant in the ledger as granted now, because
// it does not know when the previous leader applied the grant.
func NewGrantor(terms Terms, ledger *Ledger, now time.Duration) *Grantor {
	g := &Grantor{
		terms: terms, ledger: ledger, grantedAt: map[uint64]time.Duration{}, claimants: map[string]*claimant{},
		lastVersion: ledger.Version,
	}
	for _, grants := range ledger.Grants {
		for _, grant := range grants {
			g.grantedAt[grant.Version] = now
		}
	}
	return g
}

// Receive handles a request. It ignores a request that is malformed or not newer than the holder's last one.
func (g *Grantor) Receive(now time.Duration, request Request) {
	if last := g.claimants[request.Holder]; last != nil && request.Seq <= last.Seq {
		return
	}
	if len(request.Demand) != len(g.ledger.Pools) || !(request.Weight > 0) {
		return
	}
	for _, demand := range request.Demand {
		if !(demand >= 0 && demand <= maxDemand) {
			return
		}
	}
	g.claimants[request.Holder] = &claimant{request, now, true}
}

// NextCommand returns the next command, with expirations, acknowledgments and a grant for each pending request. It returns
// false if the command would be empty. The caller replicates the command, and calls Applied before the next NextCommand.
func (g *Grantor) NextCommand(now time.Duration) (c Command, ok bool) {
	c = Command{Expire: g.expired(now), Ack: map[string]uint64{}}
	for _, id := range slices.Sorted(maps.Keys(g.claimants)) {
		claimant := g.claimants[id]
		if now-claimant.receivedAt > g.terms.GrantorLeaseDuration() {
			delete(g.claimants, id) // the holder departed; its leases expire by themselves
			continue
		}
		if grants := g.ledger.Grants[id]; len(grants) > 0 && grants[0].Version < claimant.AcceptedVersion {
			c.Ack[id] = claimant.AcceptedVersion
		}
	}
	after := g.ledger.clone()
	if _, err := after.Apply(c); err != nil {
		return Command{}, false // not reached: the command has no grants yet, and only grants are rejected
	}
	c.Grants = g.grants(after)
	return c, len(c.Grants)+len(c.Expire)+len(c.Ack) > 0
}

// expired returns, by holder, the highest version among the grants that have ended by any clock within the drift bound.
func (g *Grantor) expired(now time.Duration) map[string]uint64 {
	expired := map[string]uint64{}
	for holder, grants := range g.ledger.Grants {
		for _, grant := range grants {
			if now-g.grantedAt[grant.Version] >= g.terms.GrantorLeaseDuration() {
				expired[holder] = max(expired[holder], grant.Version)
			}
		}
	}
	return expired
}

// grants returns a grant for each pending request. after is the ledger after the rest of the command; the grants are added
// to it.
func (g *Grantor) grants(after *Ledger) (grants []Grant) {
	ids := slices.Sorted(maps.Keys(g.claimants))
	targets := g.targets(after, ids)
	for _, k := range shrinkingFirst(after, ids, targets) {
		claimant := g.claimants[ids[k]]
		if !claimant.isPending {
			continue
		}
		claimant.isPending = false
		others := after.ChargedExcept(ids[k])
		grant := Grant{Holder: ids[k], Seq: claimant.Seq, Shares: make([]float64, len(after.Pools))}
		for i := range grant.Shares {
			grant.Shares[i] = max(min(targets[i][k], after.Pools[i]-others[i]), 0)
		}
		g.lastVersion = max(g.lastVersion, after.Version) + 1
		grant.Version = g.lastVersion
		after.Grants[ids[k]] = append(after.Grants[ids[k]], grant)
		grants = append(grants, grant)
	}
	return grants
}

// targets divides each pool among the claimants. The result has a share for each quota and claimant, in the order of ids.
func (g *Grantor) targets(after *Ledger, ids []string) [][]float64 {
	targets := make([][]float64, len(after.Pools))
	for i, pool := range after.Pools {
		claims := make([]Claim, len(ids))
		for k, id := range ids {
			claims[k] = Claim{Weight: g.claimants[id].Weight, Demand: g.claimants[id].Demand[i], Held: after.ChargedTo(id)[i]}
		}
		targets[i] = Divide(pool, claims)
	}
	return targets
}

// shrinkingFirst returns the indexes of the claimants in ascending order of their shares' growth. The capacity that a
// smaller share frees is available only after the holder has acknowledged the grant, so shrinking shares are granted
// first.
func shrinkingFirst(after *Ledger, ids []string, targets [][]float64) []int {
	order := make([]int, len(ids))
	growth := make([]float64, len(ids))
	for k, id := range ids {
		order[k] = k
		for i, charged := range after.ChargedTo(id) {
			growth[k] += targets[i][k] - charged
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(growth[a], growth[b]) })
	return order
}

// Applied records the time of grants that the ledger has added.
func (g *Grantor) Applied(now time.Duration, grants []Grant) {
	for _, grant := range grants {
		g.grantedAt[grant.Version] = now
	}
	const perHolder, base = 4, 64 // the map may hold this many grants before the removed ones are deleted
	if len(g.grantedAt) > perHolder*len(g.ledger.Grants)+base {
		g.forgetRemovedGrants()
	}
}

// forgetRemovedGrants deletes the times of grants that the ledger no longer holds.
func (g *Grantor) forgetRemovedGrants() {
	remaining := map[uint64]time.Duration{}
	for _, grants := range g.ledger.Grants {
		for _, grant := range grants {
			remaining[grant.Version] = g.grantedAt[grant.Version]
		}
	}
	g.grantedAt = remaining
}
