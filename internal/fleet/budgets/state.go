package budgets

import (
	"slices"
	"time"

	"dykering/internal/fleet/budget"
	"dykering/internal/fleet/gossip"
)

// Config is what a service is started with.
type Config struct {
	Self      string
	Weight    int
	Section   gossip.Budgets
	Tenants   []string
	Quotas    []float64 // Wholes are the tenants' quotas, in requests per second.
	Instances int       // Instances is the number of brokers that floors are set aside for.
}

// RetryQuotaName stands for a tenant's name where the quota is that of the fleet's retries.
const RetryQuotaName = "(further attempts)"

// QuotaShare is what this broker may spend of a quota, in requests per second. Its keys are in the answer of the control
// address.
type QuotaShare struct {
	Tenant      string  `json:"tenant"`
	Quota       float64 `json:"whole"` // Whole is the quota.
	Floor       float64 `json:"floor"`
	Share       float64 `json:"part"` // Part is the share, floor included.
	Demand      float64 `json:"demand"`
	Requested   float64 `json:"asked"`   // Asked counts requests since the start, without repeats.
	WithinShare float64 `json:"within"`  // Within counts those of them that were within the share.
	Charged     float64 `json:"charged"` // Charged is what all leases may spend by the ledger, at a voter.
}

// State is what a broker holds, as the control address serves it.
type State struct {
	Self      string         `json:"self"`
	Leased    bool           `json:"leased"`
	Remaining time.Duration  `json:"left"` // Left is the remaining time of the lease.
	Version   uint64         `json:"version"`
	Leader    string         `json:"lead,omitempty"` // Lead is the leader as this voter knows it.
	Shares    []QuotaShare   `json:"parts"`
	Ledger    *budget.Ledger `json:"ledger,omitempty"` // Ledger is that of a voter.
}

// publish stores the state for State.
func (s *Service) publish() {
	now := s.now()
	rates, leased := s.holder.Allowance(now)
	if s.leased && !leased {
		s.applyAllowance(now)
	}
	state := &State{Self: s.config.Self, Leased: leased, Remaining: s.holder.Remaining(now), Version: s.holder.Version()}
	demand := s.demand.Rates()
	charged := make([]float64, len(s.floor))
	if s.voter != nil {
		state.Leader, _ = s.voter.leader()
		charged = s.voter.ledger.ChargedExcept("")
		state.Ledger = copyLedger(s.voter.ledger)
	}
	for i, tenant := range s.config.Tenants {
		part := QuotaShare{
			Tenant: tenant, Quota: s.config.Quotas[i], Floor: s.floor[i], Share: rates[i], Demand: demand[i],
			Charged: charged[i],
		}
		if i < len(s.usage) {
			part.Requested, part.WithinShare = s.usage[i].Asked, s.usage[i].WithinQuota
		}
		state.Shares = append(state.Shares, part)
	}
	s.state.Store(state)
}

// copyLedger copies what the owner of the ledger goes on changing.
func copyLedger(ledger *budget.Ledger) *budget.Ledger {
	copied := &budget.Ledger{Pools: ledger.Pools, Version: ledger.Version, Grants: map[string][]budget.Grant{}}
	for holder, grants := range ledger.Grants {
		copied.Grants[holder] = slices.Clone(grants)
	}
	return copied
}
