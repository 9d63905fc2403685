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

// Fleet-wide budgets in virtual time: the ledger, the grantor and each broker's holder are the program's
// own (package budget); this file carries their messages, with a group of voters that always agrees within
// a few milliseconds.
const (
	// Terms of the quota leases.
	leaseLength   = 3 * time.Second
	leaseRenewals = 4
	// decideInterval is the time between two decisions of the leading voter.
	decideInterval = 100 * time.Millisecond
	// commitLatency is how long the voters take to agree on a command.
	commitLatency = 5 * time.Millisecond
	// floorShare is the share of a quota that instances hold without a lease.
	floorShare = 0.2
)

var leaseTerms = budget.Terms{LeaseDuration: leaseLength, MaxDrift: 0.01}

// fleetBudgets is the voters' part of the budgets: the grantor, its ledger, and the holders that
// lease from it.
type fleetBudgets struct {
	brokers *brokers
	grantor *budget.Grantor
	ledger  *budget.Ledger
	holders map[string]*quotaHolder
	// A command is being agreed on.
	commandPending bool
	floors         []float64
	// Calls of recordUsage so far.
	samples int
	// Usage summed over the instances, one second ago.
	previousUsage []decision.Usage
}

// quotaHolder is the quota holder of one process.
type quotaHolder struct {
	*budget.Holder
	process *process
	random  *rand.Rand
	demand  budget.DemandEstimator
}

// sharedQuotas returns the balancer of a process and whether it shares quotas by leases. Only the
// first tier meters the tenants of clients.
func (s *process) sharedQuotas() (*decision.Balancer, bool) {
	b, ok := s.policy.(*decision.Balancer)
	return b, ok && s.brokers.world.Scenario.Broker.Budgets && s.model.Tier.Index == 0 && len(s.brokers.world.Scenario.Teams) > 0
}

// startQuotaSharing begins the sharing of quotas, before the process receives its first request.
func (s *process) startQuotaSharing() {
	if _, ok := s.sharedQuotas(); !ok {
		return
	}
	t, w := s.brokers, s.brokers.world
	if t.budgets == nil {
		g := &fleetBudgets{brokers: t, holders: map[string]*quotaHolder{}}
		pool := make([]float64, len(w.Scenario.Teams))
		for i, team := range w.Scenario.Teams {
			pool[i] = team.Quota * (1 - floorShare)
			g.floors = append(g.floors, team.Quota*floorShare/float64(len(s.model.Tier.Instances)))
		}
		g.ledger = budget.NewLedger(pool)
		g.grantor = budget.NewGrantor(leaseTerms, g.ledger, w.Now())
		t.budgets = g
		w.After(decideInterval, g.decide)
	}
	id := fmt.Sprintf("%d#%d", s.model.Ordinal, s.incarnation)
	p := &quotaHolder{
		Holder: budget.NewHolder(id, 1, leaseTerms, t.budgets.floors), process: s,
		random: model.Stream(w.Seed(s.model), "budgets", int(s.incarnation)),
	}
	t.budgets.holders[id] = p
	p.applyShares()
	w.After(time.Duration(p.random.Int64N(int64(leaseLength/leaseRenewals))), p.requestLease)
}

// requestLease measures demand and requests the next lease.
func (p *quotaHolder) requestLease() {
	s, w := p.process, p.process.brokers.world
	if s.dead || s.instance.current != s {
		delete(s.brokers.budgets.holders, fmt.Sprintf("%d#%d", s.model.Ordinal, s.incarnation))
		return
	}
	b := s.policy.(*decision.Balancer)
	var asked []float64
	for _, u := range b.Usage() {
		asked = append(asked, u.Asked)
	}
	p.demand.Sample(w.Now(), asked)
	p.applyShares()
	r := p.NextRequest(w.Now(), p.demand.Rates())
	w.After(w.Latency(), func() { s.brokers.budgets.grantor.Receive(w.Now(), r) })
	w.After(leaseLength/leaseRenewals, p.requestLease)
}

// applyShares hands the rates that the process may admit now to its balancer.
func (p *quotaHolder) applyShares() {
	now, floors := p.process.brokers.world.Now(), p.process.brokers.budgets.floors
	a := decision.QuotaShares{TenantFallbackRates: floors, RetryRate: -1}
	rates, leased := p.Allowance(now)
	a.TenantRates = rates
	if leased {
		a.Until = now + p.Remaining(now)
	}
	p.process.policy.(*decision.Balancer).SetQuotaShares(now, a)
}

// recordUsage records what the live instances may admit and, once a second, what they did admit.
func (g *fleetBudgets) recordUsage() {
	w := g.brokers.world
	if w.Result.Budgets == nil {
		w.Result.Budgets = &model.Budgets{}
	}
	r, teams := w.Result.Budgets, w.Scenario.Teams
	allotted, uses := make([]float64, len(teams)), make([]decision.Usage, len(teams))
	for _, id := range slices.Sorted(maps.Keys(g.holders)) {
		p := g.holders[id]
		if p.process.dead {
			continue
		}
		rates, _ := p.Allowance(w.Now())
		for i, u := range p.process.policy.(*decision.Balancer).Usage() {
			allotted[i] += rates[i]
			uses[i].Asked += u.Asked
			uses[i].WithinQuota += u.WithinQuota
		}
	}
	short := false
	for i, team := range teams {
		r.MaxAllotted = max(r.MaxAllotted, allotted[i]/team.Quota)
		short = short || allotted[i] < 0.95*team.Quota
	}
	if short && w.Now() > model.Origin+5*time.Second {
		r.ShortSeconds += decideInterval.Seconds()
	}
	if g.samples++; g.samples%10 != 0 {
		return
	}
	for i, team := range teams {
		if g.previousUsage != nil {
			r.RecordSecond(uses[i].Asked-g.previousUsage[i].Asked, uses[i].WithinQuota-g.previousUsage[i].WithinQuota, team.Quota)
		}
	}
	g.previousUsage = uses
}

// decide is a step of the leading voter: a command, agreed on after the commit latency, and its
// grants.
func (g *fleetBudgets) decide() {
	w := g.brokers.world
	w.After(decideInterval, g.decide)
	g.recordUsage()
	if g.commandPending {
		return
	}
	c, ok := g.grantor.NextCommand(w.Now())
	if !ok {
		return
	}
	g.commandPending = true
	w.After(commitLatency, func() {
		g.commandPending = false
		grants, err := g.ledger.Apply(c)
		if err != nil {
			g.brokers.err = err
		}
		g.grantor.Applied(w.Now(), grants)
		for _, grant := range grants {
			w.After(w.Latency(), func() {
				if p := g.holders[grant.Holder]; p != nil && !p.process.dead && p.Accept(w.Now(), grant) {
					p.applyShares()
				}
			})
		}
	})
}
