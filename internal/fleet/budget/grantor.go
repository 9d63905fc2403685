package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Terms are those of all leases.
type Terms struct {
	LeaseDuration time.Duration // Length is how long a holder spends by a lease, by its own clock, from when it asked for it.
	MaxDrift      float64       // Drift bounds how far the rate of any clock is from the true one.
}

// GrantorLeaseDuration is how long, by the grantor's clock, a lease counts as spent after it was granted. A holder's clock may
// run slow by Drift, so that its Length lasts Length/(1-Drift); the grantor's may run fast by as much.
func (t Terms) GrantorLeaseDuration() time.Duration {
	return time.Duration(float64(t.LeaseDuration)*(1+t.MaxDrift)/(1-t.MaxDrift)) + 1
}

// Request asks for the next lease. Its keys are on the wire.
type Request struct {
	Holder          string    `codec:"h"`
	Weight          float64   `codec:"w"`
	Seq             uint64    `codec:"q"`
	AcceptedVersion uint64    `codec:"u"` // Uses is the version of the newest grant that the holder has accepted; 0 for none.
	Demand          []float64 `codec:"d"` // Demand is what the holder would spend beyond its floor, in requests per second.
}

// maxDemand bounds a demand, in requests per second.
const maxDemand = 1e12

// claimant is a holder as the grantor knows it.
type claimant struct {
	Request
	receivedAt time.Duration
	isPending  bool // the request has not been answered
}

// Grantor decides grants. Only the leader of the group that replicates the ledger has one. It is told each command that
// was applied. Its clock is passed in, and never goes back.
type Grantor struct {
	terms       Terms
	ledger      *Ledger
	grantedAt   map[uint64]time.Duration // by version: when this replica applied the grant
	claimants   map[string]*claimant
	lastVersion uint64
}

// NewGrantor returns the grantor of a replica of the ledger. Every grant in the ledger counts as granted now: when it was
// applied at the leader before is not known.
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

// Receive receives a request. One that is malformed or not newer than the holder's last is ignored.
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

// NextCommand returns the next command: what has ended, what is acknowledged, and a grant for each pending request; false
// for nothing. The caller replicates it, and calls Applied before it asks for the next one.
func (g *Grantor) NextCommand(now time.Duration) (c Command, ok bool) {
	c = Command{Expire: g.expired(now), Ack: map[string]uint64{}}
	for _, id := range slices.Sorted(maps.Keys(g.claimants)) {
		claimant := g.claimants[id]
		if now-claimant.receivedAt > g.terms.GrantorLeaseDuration() {
			delete(g.claimants, id) // departed: its leases end by themselves
			continue
		}
		if grants := g.ledger.Grants[id]; len(grants) > 0 && grants[0].Version < claimant.AcceptedVersion {
			c.Ack[id] = claimant.AcceptedVersion
		}
	}
	after := g.ledger.clone()
	if _, err := after.Apply(c); err != nil {
		return Command{}, false // it has no grants that could be rejected
	}
	c.Grants = g.grants(after)
	return c, len(c.Grants)+len(c.Expire)+len(c.Ack) > 0
}

// expired returns the versions up to which holders' grants have ended by any clock.
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

// grants answers the pending requests, by the ledger as it is after the rest of the command.
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

// targets divides each pool among the claimants: by quota, and by the claimants' order.
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

// shrinkingFirst orders claimants by how much their shares grow. What a smaller share frees counts only once the holder
// has acknowledged it, so that those who shrink are granted first.
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

// Applied records the grants of a command that the ledger has applied.
func (g *Grantor) Applied(now time.Duration, grants []Grant) {
	for _, grant := range grants {
		g.grantedAt[grant.Version] = now
	}
	const perHolder, base = 4, 64
	if len(g.grantedAt) > perHolder*len(g.ledger.Grants)+base {
		g.forgetRemovedGrants()
	}
}

// forgetRemovedGrants forgets the grants that the ledger no longer holds.
func (g *Grantor) forgetRemovedGrants() {
	held := map[uint64]time.Duration{}
	for _, grants := range g.ledger.Grants {
		for _, grant := range grants {
			held[grant.Version] = g.grantedAt[grant.Version]
		}
	}
	g.grantedAt = held
}
