package sidecar

import (
	"runtime/debug"
	"time"

	"dykering/internal/config"
	"dykering/internal/control"
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/membership"
	"dykering/internal/operator"
)

// startFleet joins the fleet's gossip where the operator's file asks for it; nil where it does not.
func startFleet(c *config.Config, g *Generations) (*gossip.Gossip, error) {
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
	return gossip.Start(s, meta, g.log.Logger)
}

// view is what the second address shows of the fleet.
type view struct{ g *gossip.Gossip }

func (v view) Snapshot() any {
	type counters struct {
		Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost uint64
		PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad          uint64
	}
	k := v.g.Counters()
	return struct {
		*gossip.Snapshot
		Counters counters `json:"counters"`
	}{v.g.View(), counters{k.Acks.Load(), k.Suspicions.Load(), k.Refutations.Load(), k.Deaths.Load(),
		k.Joins.Load(), k.Leaves.Load(), k.Conflicts.Load(), k.Future.Load(), k.Lost.Load(), k.PacketsIn.Load(),
		k.PacketsOut.Load(), k.BytesIn.Load(), k.BytesOut.Load(), k.StreamsIn.Load(), k.StreamsOut.Load(),
		k.Bad.Load()}}
}

// fleetOf is the fleet for the second address, nil without one.
func fleetOf(g *gossip.Gossip) control.Fleet {
	if g == nil {
		return nil
	}
	return view{g}
}
