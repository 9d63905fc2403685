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
	"dykering/internal/operator"
	"dykering/internal/settings"
)

// fleet is this process's part in the fleet: the gossip, and what stands on it where the operator's file asks for it.
type fleet struct {
	section gossip.Section
	gossip  *gossip.Gossip
	replica *replication.Service // nil without
	budgets *budgets.Service     // nil without
	log     *zap.Logger
}

// startFleet joins the fleet's gossip where the operator's file asks for it; nil where it does not.
func startFleet(c *config.Config, g *Generations) (*fleet, error) {
	s := *operator.Section[gossip.Section](g.now, "fleet")
	if !s.Enabled {
		return nil, nil
	}
	if s.ID == "" {
		s.ID = c.Name
	}
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	meta := membership.Meta{Zone: s.Zone, Tier: s.Tier, Version: version, Started: time.Now().UTC()}
	member, err := gossip.Start(s, meta, g.log.Logger)
	if err != nil {
		return nil, err
	}
	return &fleet{section: s, gossip: member, log: g.log.Logger}, nil
}

// replicate begins to share what this process learns, where that is asked for.
func (f *fleet) replicate(broker replication.Broker) {
	if f.section.Replication.Enabled {
		f.replica = replication.Start(f.section.ID, f.section.Most, f.section.Replication, broker,
			f.gossip.Channel(gossip.KindFacts), f.log)
	}
}

// divide begins to divide tenants' quotas among the members, where that is asked for.
func (f *fleet) divide(broker budgets.Broker, set *settings.Settings) error {
	b := f.section.Budgets
	if !b.Enabled {
		return nil
	}
	c := budgets.Config{Self: f.section.ID, Weight: f.section.Weight, Section: b, Instances: set.Instances}
	for _, t := range set.Tenants {
		c.Tenants, c.Wholes = append(c.Tenants, t.Name), append(c.Wholes, t.QuotaPerS)
	}
	for _, text := range b.Wholes {
		tenant, perS, err := b.Whole(text)
		i := slices.Index(c.Tenants, tenant)
		if err != nil || i < 0 {
			return fmt.Errorf("fleet.budgets.wholes: the platform names no tenant %q", tenant)
		}
		c.Wholes[i] = perS
	}
	f.budgets = budgets.Start(c, broker, f.gossip.Channel(gossip.KindBudgets), f.log)
	return nil
}

// close ends all of it, what stands on the gossip first.
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

// Part is what the second address shows of the fleet.
func (f *fleet) Part(name string) any {
	switch {
	case name == "":
		return f.members()
	case name == "state" && f.replica != nil:
		return f.state()
	case name == "budgets" && f.budgets != nil:
		return f.budgets.State()
	}
	return nil
}

func (f *fleet) members() any {
	type counters struct {
		Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost uint64
		PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad          uint64
	}
	k := f.gossip.Counters()
	return struct {
		*gossip.Snapshot
		Counters counters `json:"counters"`
	}{f.gossip.View(), counters{
		k.Acks.Load(), k.Suspicions.Load(), k.Refutations.Load(), k.Deaths.Load(),
		k.Joins.Load(), k.Leaves.Load(), k.Conflicts.Load(), k.Future.Load(), k.Lost.Load(), k.PacketsIn.Load(),
		k.PacketsOut.Load(), k.BytesIn.Load(), k.BytesOut.Load(), k.StreamsIn.Load(), k.StreamsOut.Load(),
		k.Bad.Load(),
	}}
}

func (f *fleet) state() any {
	type counters struct {
		Told, Merged, Known, Refused, Bad, Heeded, CaughtUp, Snapshots, Lost, Held, BytesTold, BytesSent uint64
	}
	k := f.replica.Counters()
	return struct {
		Self string `json:"self"`
		*replication.State
		Counters counters `json:"counters"`
	}{f.section.ID, f.replica.State(), counters{
		k.Told.Load(), k.Merged.Load(), k.Known.Load(), k.Refused.Load(),
		k.Bad.Load(), k.Heeded.Load(), k.CaughtUp.Load(), k.Snapshots.Load(), k.Lost.Load(), k.Held.Load(),
		k.BytesTold.Load(), k.BytesSent.Load(),
	}}
}

// fleetOf is the fleet for the second address, nil without one.
func fleetOf(f *fleet) control.Fleet {
	if f == nil {
		return nil
	}
	return f
}
