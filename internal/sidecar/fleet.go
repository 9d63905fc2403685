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

// fleet is this process's membership in the fleet: the gossip, and what the operator's file enables on top of it.
type fleet struct {
	section gossip.Section
	gossip  *gossip.Gossip
	replica *replication.Service // nil where replication is off
	budgets *budgets.Service     // nil where fleet-wide budgets are off
	log     *zap.Logger
}

// fleetSection is the name of the fleet's table in the operator's file.
const fleetSection = "fleet"

// startFleet starts the gossip where the operator's file enables it; nil where it does not.
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

// join starts what is enabled on top of the gossip, and then joins the other members.
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

// quotas returns the tenants' quotas of the platform, with those that the operator's file sets in their place.
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

// close ends all of it, the gossip last.
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

// Answer returns what the control address serves of the fleet: the view, the facts ("state") or the budgets; nil for what is
// off.
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

// fleetOf returns the fleet for the control address: an interface that is nil without a fleet.
func fleetOf(f *fleet) control.Fleet {
	if f == nil {
		return nil
	}
	return f
}
