package sidecar

import (
	"dykering/internal/fleet/gossip"
	"dykering/internal/fleet/replication"
)

// viewAnswer is the answer at /-/fleet: the members of the fleet and the counters of the gossip protocol.
type viewAnswer struct {
	*gossip.Snapshot
	Counters viewCounters `json:"counters"`
}

// viewCounters are the values of gossip.Counters. The field names are JSON keys.
type viewCounters struct {
	Acks, Suspicions, Refutations, Deaths, Joins, Leaves, Conflicts, Future, Lost uint64
	PacketsIn, PacketsOut, BytesIn, BytesOut, StreamsIn, StreamsOut, Bad          uint64
}

func newViewAnswer(g *gossip.Gossip) viewAnswer {
	c := g.Counters()
	return viewAnswer{g.View(), viewCounters{
		Acks: c.Acks.Load(), Suspicions: c.Suspicions.Load(), Refutations: c.Refutations.Load(), Deaths: c.Deaths.Load(),
		Joins: c.Joins.Load(), Leaves: c.Leaves.Load(), Conflicts: c.Conflicts.Load(), Future: c.Future.Load(),
		Lost: c.Lost.Load(), PacketsIn: c.PacketsIn.Load(), PacketsOut: c.PacketsOut.Load(), BytesIn: c.BytesIn.Load(),
		BytesOut: c.BytesOut.Load(), StreamsIn: c.StreamsIn.Load(), StreamsOut: c.StreamsOut.Load(), Bad: c.Bad.Load(),
	}}
}

// factsAnswer is the answer at /-/fleet/state: the replicated facts and the counters of the replication.
type factsAnswer struct {
	Self string `json:"self"`
	*replication.State
	Counters factsCounters `json:"counters"`
}

// factsCounters are the values of replication.Counters. The field names are JSON keys.
type factsCounters struct {
	Told, Merged, Known, Refused, Bad, Heeded, CaughtUp, Snapshots, Lost, Held, BytesTold, BytesSent uint64
}

func newFactsAnswer(self string, s *replication.Service) factsAnswer {
	c := s.Counters()
	return factsAnswer{self, s.State(), factsCounters{
		Told: c.Told.Load(), Merged: c.Merged.Load(), Known: c.Known.Load(), Refused: c.Refused.Load(), Bad: c.Bad.Load(),
		Heeded: c.Heeded.Load(), CaughtUp: c.CaughtUp.Load(), Snapshots: c.Snapshots.Load(), Lost: c.Lost.Load(),
		Held: c.Held.Load(), BytesTold: c.BytesTold.Load(), BytesSent: c.BytesSent.Load(),
	}}
}
