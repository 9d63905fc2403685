package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Grant is a lease: parts of the wholes, in their order.
type Grant struct {
	Holder  string    `codec:"h" json:"holder"`
	Version uint64    `codec:"v" json:"version"` // of all grants, rising
	Seq     uint64    `codec:"q" json:"seq"`     // of the holder's request that it answers
	Parts   []float64 `codec:"p" json:"parts"`
}

// Command is one change of the ledger. The group that replicates it applies the same commands in the same order.
type Command struct {
	Give   []Grant           `codec:"g,omitempty" json:"give,omitempty"`
	Expire map[string]uint64 `codec:"e,omitempty" json:"expire,omitempty"` // by holder: grants up to this version have ended
	Ack    map[string]uint64 `codec:"a,omitempty" json:"ack,omitempty"`    // by holder: it spends by this version, and none before
}

// Ledger is what was given and may still be spent. Applying commands is deterministic, without a clock.
type Ledger struct {
	Pool    []float64          `codec:"p" json:"pool"` // the wholes less the floors
	Grants  map[string][]Grant `codec:"g" json:"grants"`
	Version uint64             `codec:"v" json:"version"` // of the last grant
}

// NewLedger makes a ledger of which nothing is given.
func NewLedger(pool []float64) *Ledger { return &Ledger{Pool: pool, Grants: map[string][]Grant{}} }

// slack is by how much sums of parts may pass the pool for rounding.
const slack = 1e-6

// Apply takes a command in: what has ended or was handed back first. A grant that would pass the pool is refused, and so
// left out, whoever decided it: the ledger is the last guard.
func (l *Ledger) Apply(c Command) (given []Grant, refused error) {
	drop := func(holder string, gone func(Grant) bool) {
		if kept := slices.DeleteFunc(l.Grants[holder], gone); len(kept) > 0 {
			l.Grants[holder] = kept
		} else {
			delete(l.Grants, holder)
		}
	}
	for holder, v := range c.Expire {
		drop(holder, func(g Grant) bool { return g.Version <= v })
	}
	for holder, v := range c.Ack {
		drop(holder, func(g Grant) bool { return g.Version < v })
	}
	for _, g := range c.Give {
		if len(g.Parts) != len(l.Pool) || g.Version <= l.Version {
			refused = fmt.Errorf("budget: grant %d to %s: of another ledger", g.Version, g.Holder)
			continue
		}
		l.Grants[g.Holder] = append(l.Grants[g.Holder], g)
		if i := l.over(); i >= 0 {
			drop(g.Holder, func(x Grant) bool { return x.Version == g.Version })
			refused = fmt.Errorf("budget: grant %d to %s passes the pool of whole %d", g.Version, g.Holder, i)
			continue
		}
		l.Version = g.Version
		given = append(given, g)
	}
	return given, refused
}

// over is a whole of which more is charged than there is, or -1.
func (l *Ledger) over() int {
	for i, c := range l.Charged("") {
		if c > l.Pool[i]*(1+slack)+slack {
			return i
		}
	}
	return -1
}

// Charge is what a holder may still spend by any of its grants, as far as the ledger knows.
func (l *Ledger) Charge(holder string) []float64 {
	most := make([]float64, len(l.Pool))
	for _, g := range l.Grants[holder] {
		for i, p := range g.Parts {
			most[i] = max(most[i], p)
		}
	}
	return most
}

// Charged is the sum of what all holders may still spend, but for one.
func (l *Ledger) Charged(but string) []float64 {
	sum := make([]float64, len(l.Pool))
	for _, holder := range slices.Sorted(maps.Keys(l.Grants)) { // in an order: sums of floats are the same at every copy
		if holder != but {
			for i, p := range l.Charge(holder) {
				sum[i] += p
			}
		}
	}
	return sum
}

// Terms are what a lease rests on.
type Terms struct {
	Length time.Duration // that a holder spends for, by its own clock, from when it asked
	Drift  float64       // bound on how far any clock's rate is from the true one
}

// Kept is for how long, by the grantor's clock, a lease counts as spent after it was given. A holder's clock may run
// slow by Drift, so that its Length lasts Length/(1-Drift); the grantor's may run fast by as much.
func (t Terms) Kept() time.Duration {
	return time.Duration(float64(t.Length)*(1+t.Drift)/(1-t.Drift)) + 1
}

// Request is a holder's: what it would spend, and what it spends by.
type Request struct {
	Holder string    `codec:"h"`
	Weight float64   `codec:"w"`
	Seq    uint64    `codec:"q"`
	Uses   uint64    `codec:"u"` // version of the newest grant that it has taken; 0 for none
	Demand []float64 `codec:"d"`
}

// claimant is a holder as the grantor knows it.
type claimant struct {
	Request
	at      time.Duration
	pending bool
}

// Grantor decides what is given. One at a time does: the leader of the group that replicates the ledger, which hands it
// every command that was applied. Its clock is passed in, and only runs on.
type Grantor struct {
	terms   Terms
	ledger  *Ledger
	applied map[uint64]time.Duration // by version: when this copy heard of the grant
	holders map[string]*claimant
	next    uint64
}

// NewGrantor makes the grantor of a copy of the ledger. What the ledger holds at that time may have been given just now.
func NewGrantor(terms Terms, l *Ledger, now time.Duration) *Grantor {
	g := &Grantor{terms: terms, ledger: l, applied: map[uint64]time.Duration{}, holders: map[string]*claimant{}, next: l.Version}
	for _, grants := range l.Grants {
		for _, x := range grants {
			g.applied[x.Version] = now
		}
	}
	return g
}

// Ask takes a holder's request. An older one than the last is passed over.
func (g *Grantor) Ask(now time.Duration, r Request) {
	if c := g.holders[r.Holder]; c != nil && r.Seq <= c.Seq || len(r.Demand) != len(g.ledger.Pool) || !(r.Weight > 0) {
		return
	}
	for _, d := range r.Demand {
		if !(d >= 0 && d <= 1e12) {
			return
		}
	}
	g.holders[r.Holder] = &claimant{r, now, true}
}

// Decide is the next command: what has ended, what is acknowledged, and a grant for each request that waits; false for
// nothing. The caller has it replicated, and calls Applied once it is, before it decides again.
func (g *Grantor) Decide(now time.Duration) (c Command, something bool) {
	c = Command{Expire: map[string]uint64{}, Ack: map[string]uint64{}}
	for holder, grants := range g.ledger.Grants {
		for _, x := range grants {
			if now-g.applied[x.Version] >= g.terms.Kept() {
				c.Expire[holder] = max(c.Expire[holder], x.Version)
			}
		}
	}
	ids := slices.Sorted(maps.Keys(g.holders))
	for _, id := range ids {
		h := g.holders[id]
		if now-h.at > g.terms.Kept() {
			delete(g.holders, id) // gone: what it had ends by itself
			continue
		}
		if grants := g.ledger.Grants[id]; len(grants) > 0 && grants[0].Version < h.Uses {
			c.Ack[id] = h.Uses
		}
	}
	// What follows counts on these, as the ledger applies them first.
	after := &Ledger{Pool: g.ledger.Pool, Grants: map[string][]Grant{}, Version: g.ledger.Version}
	for holder, grants := range g.ledger.Grants {
		after.Grants[holder] = slices.Clone(grants)
	}
	after.Apply(c)
	c.Give = g.give(after)
	return c, len(c.Give)+len(c.Expire)+len(c.Ack) > 0
}

// give decides the grants of requests that wait.
func (g *Grantor) give(after *Ledger) (give []Grant) {
	ids := slices.Sorted(maps.Keys(g.holders))
	targets := make([][]float64, len(after.Pool))
	for i, pool := range after.Pool {
		claims := make([]Claim, len(ids))
		for k, id := range ids {
			claims[k] = Claim{Weight: g.holders[id].Weight, Demand: g.holders[id].Demand[i], Held: after.Charge(id)[i]}
		}
		targets[i] = Divide(pool, claims)
	}
	order := make([]int, len(ids))
	for k := range ids {
		order[k] = k
	}
	// Those whose parts shrink first. What they free counts once they have acknowledged it.
	grows := func(k int) float64 {
		sum := 0.0
		for i := range after.Pool {
			sum += targets[i][k] - after.Charge(ids[k])[i]
		}
		return sum
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(grows(a), grows(b)) })
	for _, k := range order {
		h := g.holders[ids[k]]
		if !h.pending {
			continue
		}
		h.pending = false
		others := after.Charged(ids[k])
		x := Grant{Holder: ids[k], Seq: h.Seq, Parts: make([]float64, len(after.Pool))}
		for i := range x.Parts {
			x.Parts[i] = max(min(targets[i][k], after.Pool[i]-others[i]), 0)
		}
		g.next = max(g.next, after.Version) + 1
		x.Version = g.next
		after.Grants[ids[k]] = append(after.Grants[ids[k]], x)
		give = append(give, x)
	}
	return give
}

// Applied tells which grants were given, as the ledger has applied a command.
func (g *Grantor) Applied(now time.Duration, given []Grant) {
	for _, x := range given {
		g.applied[x.Version] = now
	}
	if len(g.applied) > 4*len(g.ledger.Grants)+64 { // what is no longer in the ledger is forgotten now and then
		held := map[uint64]time.Duration{}
		for _, grants := range g.ledger.Grants {
			for _, x := range grants {
				held[x.Version] = g.applied[x.Version]
			}
		}
		g.applied = held
	}
}
