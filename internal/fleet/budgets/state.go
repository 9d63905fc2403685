package budgets

import (
	"slices"
	"time"

	"dykering/internal/fleet/budget"
	"dykering/internal/fleet/gossip"
)

// Config holds the parameters of a service.
type Config struct {
	Self      string // Self is this member's ID.
	Weight    int
	Section   gossip.Budgets
	Tenants   []string
	Quotas    []float64 // Quotas holds the tenants' quotas in requests per second, in the order of Tenants.
	Instances int       // Instances is the number of brokers that each quota's floor is divided among.
}

// RetryQuotaName takes the place of a tenant's name for the quota of the fleet's retries.
const RetryQuotaName = "(further attempts)"

// QuotaShare is this broker's share of a quota. Rates are in requests per second. Its keys are part of the format of the
// control address's answer.
type QuotaShare struct {
	Tenant      string  `json:"tenant"`
	Quota       float64 `json:"whole"` // Quota is the fleet-wide rate.
	Floor       float64 `json:"floor"`
	Share       float64 `json:"part"` // Share is the rate that this broker may spend, including the floor.
	Demand      float64 `json:"demand"`
	Requested   float64 `json:"asked"`  // Requested counts the requests since the start, without retries.
	WithinShare float64 `json:"within"` // WithinShare counts the requests among these that were within the share.
	// Charged is the rate that all leases in the ledger may spend; 0 unless this broker is a voter.
	Charged float64 `json:"charged"`
}

// State is the state of a broker's lease, in the form that the control address serves.
type State struct {
	Self      string        `json:"self"`
	Leased    bool          `json:"leased"`
	Remaining time.Duration `json:"left"` // Remaining is the remaining time of the lease.
	Version   uint64        `json:"version"`
	// Leader is the leader of the voters as known to this voter; empty if unknown or this broker is not a voter.
	Leader string       `json:"lead,omitempty"`
	Shares []QuotaShare `json:"parts"`
	// Ledger is this voter's copy of the ledger; nil if this broker is not a voter.
	Ledger *budget.Ledger `json:"ledger,omitempty"`
}

// publish stores the result of State.
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
		share := QuotaShare{
			Tenant: tenant, Quota: s.config.Quotas[i], Floor: s.floor[i], Share: rates[i], Demand: demand[i],
			Charged: charged[i],
		}
		if i < len(s.usage) {
			share.Requested, share.WithinShare = s.usage[i].Asked, s.usage[i].WithinQuota
		}
		state.Shares = append(state.Shares, share)
	}
	s.state.Store(state)
}

// copyLedger returns a copy of a ledger that later changes do not affect.
func copyLedger(ledger *budget.Ledger) *budget.Ledger {
	copied := &budget.Ledger{Pools: ledger.Pools, Version: ledger.Version, Grants: map[string][]budget.Grant{}}
	for holder, grants := range ledger.Grants {
		copied.Grants[holder] = slices.Clone(grants)
	}
	return copied
}
