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

// This file implements fleet-wide budgets in virtual time. The ledger, the grantor and the holder of each
// instance are the program's own (package budget). The transport of their messages is simulated here, with a
// group of voters that always agrees on a command after commitLatency.
const (
	// leaseLength is the duration of a quota lease.
	leaseLength = 3 * time.Second
	// leaseRenewals is the number of renewals within the duration of a lease.
	leaseRenewals = 4
	// decideInterval is the time between two decisions of the leading voter.
	decideInterval = 100 * time.Millisecond
	// commitLatency is the time that the voters take to agree on a command.
	commitLatency = 5 * time.Millisecond
	// floorShare is the share of a quota that the instances may use without a lease.
	floorShare = 0.2
)

var leaseTerms = budget.Terms{LeaseDuration: leaseLength, MaxDrift: 0.01}

// fleetBudgets contains the grantor of the voters, its ledger, and the quota holders of all processes.
type fleetBudgets struct {
	brokers *brokers
	grantor *budget.Grantor
	ledger  *budget.Ledger
	holders map[string]*quotaHolder
	// commandPending is set while the voters agree on a command.
	commandPending bool
	// floors is, for each team, the rate that an instance may admit without a lease.
	floors []float64
	// samples counts the calls of recordUsage.
	samples int
	// previousUsage is the usage summed over the instances, one second ago.
	previousUsage []decision.Usage
}

// quotaHolder is the quota holder of one process.
type quotaHolder struct {
	*budget.Holder
	process *process
	random  *rand.Rand
	demand  budget.DemandEstimator
}

// sharedQuotas returns the balancer of a process, and whether it shares quotas by leases. Only instances of
// the first tier do, as they receive the requests of clients.
func (p *process) sharedQuotas() (*decision.Balancer, bool) {
	b, ok := p.policy.(*decision.Balancer)
	return b, ok && p.brokers.world.Scenario.Broker.Budgets && p.model.Tier.Index == 0 && len(p.brokers.world.Scenario.Teams) > 0
}

// startQuotaSharing starts the sharing of quotas. It must be called before the process receives a request.
func (p *process) startQuotaSharing() {
	if _, ok := p.sharedQuotas(); !ok {
		return
	}
	b, w := p.brokers, p.brokers.world
	if b.budgets == nil {
		g := &fleetBudgets{brokers: b, holders: map[string]*quotaHolder{}}
		pool := make([]float64, len(w.Scenario.Teams))
		for i, team := range w.Scenario.Teams {
			pool[i] = team.Quota * (1 - floorShare)
			g.floors = append(g.floors, team.Quota*floorShare/float64(len(p.model.Tier.Instances)))
		}
		g.ledger = budget.NewLedger(pool)
		g.grantor = budget.NewGrantor(leaseTerms, g.ledger, w.Now())
		b.budgets = g
		w.After(decideInterval, g.decide)
	}
	id := fmt.Sprintf("%d#%d", p.model.Ordinal, p.incarnation)
	holder := &quotaHolder{
		Holder: budget.NewHolder(id, 1, leaseTerms, b.budgets.floors), process: p,
		random: model.Stream(w.Seed(p.model), "budgets", int(p.incarnation)),
	}
	b.budgets.holders[id] = holder
	holder.applyShares()
	w.After(time.Duration(holder.random.Int64N(int64(leaseLength/leaseRenewals))), holder.requestLease)
}

// requestLease measures the demand, requests the next lease, and schedules the next request.
func (h *quotaHolder) requestLease() {
	p, w := h.process, h.process.brokers.world
	if p.dead || p.instance.current != p {
		delete(p.brokers.budgets.holders, fmt.Sprintf("%d#%d", p.model.Ordinal, p.incarnation))
		return
	}
	b := p.policy.(*decision.Balancer)
	var demand []float64
	for _, u := range b.Usage() {
		demand = append(demand, u.Asked)
	}
	h.demand.Sample(w.Now(), demand)
	h.applyShares()
	r := h.NextRequest(w.Now(), h.demand.Rates())
	w.After(w.Latency(), func() { p.brokers.budgets.grantor.Receive(w.Now(), r) })
	w.After(leaseLength/leaseRenewals, h.requestLease)
}

// applyShares passes the rates that the process may admit now to its balancer.
func (h *quotaHolder) applyShares() {
	now, floors := h.process.brokers.world.Now(), h.process.brokers.budgets.floors
	shares := decision.QuotaShares{TenantFallbackRates: floors, RetryRate: -1}
	rates, leased := h.Allowance(now)
	shares.TenantRates = rates
	if leased {
		shares.Until = now + h.Remaining(now)
	}
	h.process.policy.(*decision.Balancer).SetQuotaShares(now, shares)
}

// recordUsage records the rates that the live instances may admit and, once a second, the requests that they
// have admitted.
func (g *fleetBudgets) recordUsage() {
	w := g.brokers.world
	if w.Result.Budgets == nil {
		w.Result.Budgets = &model.Budgets{}
	}
	r, teams := w.Result.Budgets, w.Scenario.Teams
	allotted, uses := make([]float64, len(teams)), make([]decision.Usage, len(teams))
	for _, id := range slices.Sorted(maps.Keys(g.holders)) {
		holder := g.holders[id]
		if holder.process.dead {
			continue
		}
		rates, _ := holder.Allowance(w.Now())
		for i, u := range holder.process.policy.(*decision.Balancer).Usage() {
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

// decide does one step of the leading voter. It proposes the next command, which is committed after
// commitLatency, and sends the grants that result from it.
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
				holder := g.holders[grant.Holder]
				if holder != nil && !holder.process.dead && holder.Accept(w.Now(), grant) {
					holder.applyShares()
				}
			})
		}
	})
}
