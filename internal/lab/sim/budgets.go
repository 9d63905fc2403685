package sim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/fleet/budget"
	"dykering/internal/lab/model"
)

// Fleet-wide budgets in virtual time: the ledger, the grantor and each broker's holder are the program's own (package
// budget); this file carries their messages, with a group of voters that always agrees within a few milliseconds.
const (
	leaseLength   = 3 * time.Second
	leaseRenewals = 4
	decideEvery   = 100 * time.Millisecond
	commitTakes   = 5 * time.Millisecond
	floorShare    = 0.2
)

var leaseTerms = budget.Terms{Length: leaseLength, Drift: 0.01}

// granted is the voters' part of a run.
type granted struct {
	t       *tiers
	grantor *budget.Grantor
	ledger  *budget.Ledger
	holders map[string]*purse
	busy    bool
	floor   []float64
	looks   int
	before  []decision.Usage // of all, a second ago
}

// purse is a process's holder.
type purse struct {
	*budget.Holder
	seat   *seat
	rng    *rand.Rand
	demand budget.Demand
}

// divides tells whether an instance takes part: callers' tenants are metered in the first tier alone.
func (s *seat) divides() (*decision.Balancer, bool) {
	b, ok := s.policy.(*decision.Balancer)
	return b, ok && s.t.w.S.Broker.Budgets && s.in.Tier.N == 0 && len(s.t.w.S.Teams) > 0
}

// divide has a process that begins take part, from before its first request.
func (s *seat) divide() {
	if _, ok := s.divides(); !ok {
		return
	}
	t, w := s.t, s.t.w
	if t.granted == nil {
		g := &granted{t: t, holders: map[string]*purse{}}
		pool := make([]float64, len(w.S.Teams))
		for i, team := range w.S.Teams {
			pool[i] = team.Quota * (1 - floorShare)
			g.floor = append(g.floor, team.Quota*floorShare/float64(len(s.in.Tier.Instances)))
		}
		g.ledger = budget.NewLedger(pool)
		g.grantor = budget.NewGrantor(leaseTerms, g.ledger, w.Now())
		t.granted = g
		w.After(decideEvery, g.decide)
	}
	id := fmt.Sprintf("%d#%d", s.in.Ordinal, s.lives)
	p := &purse{
		Holder: budget.NewHolder(id, 1, leaseTerms, t.granted.floor), seat: s,
		rng: model.Stream(w.Seed(s.in), "budgets", int(s.lives)),
	}
	t.granted.holders[id] = p
	p.allot()
	w.After(time.Duration(p.rng.Int64N(int64(leaseLength/leaseRenewals))), p.ask)
}

// ask measures demand, and asks for the next lease.
func (p *purse) ask() {
	s, w := p.seat, p.seat.t.w
	if s.dead || s.instance.seat != s {
		delete(s.t.granted.holders, fmt.Sprintf("%d#%d", s.in.Ordinal, s.lives))
		return
	}
	b := s.policy.(*decision.Balancer)
	var asked []float64
	for _, u := range b.Usage() {
		asked = append(asked, u.Asked)
	}
	p.demand.Sample(w.Now(), asked)
	p.allot()
	r := p.NextRequest(w.Now(), p.demand.Rates())
	w.After(w.Latency(), func() { s.t.granted.grantor.Receive(w.Now(), r) })
	w.After(leaseLength/leaseRenewals, p.ask)
}

func (p *purse) allot() {
	now, floors := p.seat.t.w.Now(), p.seat.t.granted.floor
	a := decision.QuotaShares{TenantFallbackRates: floors, RetryRate: -1}
	rates, leased := p.Allowance(now)
	a.TenantRates = rates
	if leased {
		a.Until = now + p.Remaining(now)
	}
	p.seat.policy.(*decision.Balancer).SetQuotaShares(now, a)
}

// look takes what the living may spend, and each second what they did, into the result.
func (g *granted) look() {
	w := g.t.w
	if w.Result.Budgets == nil {
		w.Result.Budgets = &model.Budgets{}
	}
	r, teams := w.Result.Budgets, w.S.Teams
	may, uses := make([]float64, len(teams)), make([]decision.Usage, len(teams))
	for _, id := range slices.Sorted(maps.Keys(g.holders)) {
		p := g.holders[id]
		if p.seat.dead {
			continue
		}
		parts, _ := p.Allowance(w.Now())
		for i, u := range p.seat.policy.(*decision.Balancer).Usage() {
			may[i] += parts[i]
			uses[i].Asked += u.Asked
			uses[i].WithinQuota += u.WithinQuota
		}
	}
	short := false
	for i, team := range teams {
		r.Most = max(r.Most, may[i]/team.Quota)
		short = short || may[i] < 0.95*team.Quota
	}
	if short && w.Now() > model.Origin+5*time.Second {
		r.Short += decideEvery.Seconds()
	}
	if g.looks++; g.looks%10 != 0 {
		return
	}
	for i, team := range teams {
		if g.before != nil {
			r.Second(uses[i].Asked-g.before[i].Asked, uses[i].WithinQuota-g.before[i].WithinQuota, team.Quota)
		}
	}
	g.before = uses
}

// decide is the leading voter's: a command, agreed on after a while, and its grants sent.
func (g *granted) decide() {
	w := g.t.w
	w.After(decideEvery, g.decide)
	g.look()
	if g.busy {
		return
	}
	c, something := g.grantor.NextCommand(w.Now())
	if !something {
		return
	}
	g.busy = true
	w.After(commitTakes, func() {
		g.busy = false
		given, refused := g.ledger.Apply(c)
		if refused != nil {
			g.t.err = refused
		}
		g.grantor.Applied(w.Now(), given)
		for _, x := range given {
			w.After(w.Latency(), func() {
				if p := g.holders[x.Holder]; p != nil && !p.seat.dead && p.Accept(w.Now(), x) {
					p.allot()
				}
			})
		}
	})
}
