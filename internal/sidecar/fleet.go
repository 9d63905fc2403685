package sidecar

import (
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"dykering/internal/config"
	"dykering/internal/control"
	"dykering/internal/fleet/budgets"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/membership"
	"dykering/internal/fleet/replication"
	"dykering/internal/http1"
	"dykering/internal/operator"
	"dykering/internal/settings"
)

// fleet is the membership of this process in the fleet: the gossip protocol, and the services on top of it that the
// operator's file enables.
type fleet struct {
	section gossip.Section
	gossip  *gossip.Gossip
	replica *replication.Service // nil if replication is disabled
	budgets *budgets.Service     // nil if fleet-wide budgets are disabled
	log     *zap.Logger
}

// fleetSection is the name of the fleet's table in the operator's file.
const fleetSection = "fleet"

// startFleet starts the gossip protocol if the operator's file enables it. Otherwise it returns nil.
func startFleet(platform *config.Config, file *operatorFile) (*fleet, error) {
	section := *operator.Section[gossip.Section](file.current, fleetSection)
	if !section.Enabled {
		return nil, nil
	}
	if section.ID == "" {
		section.ID = platform.Name
	}
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	meta := membership.Meta{Zone: section.Zone, Tier: section.Tier, Version: version, Started: time.Now().UTC()}
	member, err := gossip.Start(section, meta, file.log.Logger)
	if err != nil {
		return nil, err
	}
	return &fleet{section: section, gossip: member, log: file.log.Logger}, nil
}

// join starts the services that are enabled on top of the gossip protocol, and then joins the other members.
func (f *fleet) join(server *http1.Server, platform *config.Config) error {
	if f.section.Replication.Enabled {
		f.replica = replication.Start(f.section.ID, f.section.MaxMembers, f.section.Replication, server.Loop(),
			f.gossip.Channel(gossip.KindFacts), f.log)
	}
	if f.section.Budgets.Enabled {
		quotas, err := f.quotas(&platform.Settings)
		if err != nil {
			return err
		}
		f.budgets = budgets.Start(quotas, server.Loop(), f.gossip.Channel(gossip.KindBudgets), f.log)
	}
	f.gossip.Join()
	return nil
}

// quotas returns the configuration of the budgets: the tenants' quotas from the platform's settings, overridden by those in
// the operator's file.
func (f *fleet) quotas(platform *settings.Settings) (budgets.Config, error) {
	section := f.section.Budgets
	quotas := budgets.Config{
		Self: f.section.ID, Weight: f.section.Weight, Section: section, Instances: platform.Instances,
	}
	for _, tenant := range platform.Tenants {
		quotas.Tenants = append(quotas.Tenants, tenant.Name)
		quotas.Quotas = append(quotas.Quotas, tenant.QuotaPerS)
	}
	for _, text := range section.Quotas {
		tenant, perS, err := section.ParseQuota(text)
		i := slices.Index(quotas.Tenants, tenant)
		if err != nil || i < 0 {
			return quotas, fmt.Errorf("fleet.budgets.wholes: the platform names no tenant %q", tenant)
		}
		quotas.Quotas[i] = perS
	}
	return quotas, nil
}

// close stops the services, and then leaves the fleet.
func (f *fleet) close() {
	if f.budgets != nil {
		f.budgets.Close()
	}
	if f.replica != nil {
		f.replica.Close()
	}
	if err := f.gossip.Close(); err != nil {
		f.log.Warn("fleet.close", zap.Error(err))
	}
}

// Answer implements control.Fleet. The empty path returns the view of the members, "state" the replicated facts, and
// "budgets" the state of the budgets. Answer returns nil for any other path and for a service that is disabled.
func (f *fleet) Answer(path string) any {
	switch {
	case path == "":
		return newViewAnswer(f.gossip)
	case path == "state" && f.replica != nil:
		return newFactsAnswer(f.section.ID, f.replica)
	case path == "budgets" && f.budgets != nil:
		return f.budgets.State()
	}
	return nil
}

// controlFleet converts a fleet to the interface of package control. A nil pointer becomes a nil interface.
func controlFleet(f *fleet) control.Fleet {
	if f == nil {
		return nil
	}
	return f
}
