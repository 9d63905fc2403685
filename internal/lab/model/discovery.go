package model

import (
	"time"

	"dykering/internal/decision"
)

// announce sets the server's state in discovery and sends an update to all instances of its tier, each with
// its own delay.
func (s *Server) announce(state decision.State) {
	w := s.w
	s.state = state
	w.listVersion++
	entry := s.Entry()
	list := decision.List{Kind: decision.DeltaList, Version: w.listVersion, Entries: []decision.Entry{entry}}
	for _, in := range s.Tier.Instances {
		w.deliverUpdate(in, 1, func() {
			w.Checker.EndpointListed(w.Now(), in.Index, s.Index, entry.State == decision.Ready)
			w.brokers.UpdateList(in, list)
		})
	}
}

// deliverUpdate delivers a discovery update with a number of entries to an instance, after all earlier
// updates. The update is lost if the instance's watch breaks before.
func (w *World) deliverUpdate(in *Instance, entries int, deliver func()) {
	deliveryTime := max(w.Now()+w.Scenario.Discovery.Delay.Draw(w.discoveryRandom), w.discoveryPausedUntil, in.lastUpdateAt)
	if rate := w.Scenario.Discovery.Rate; rate > 0 {
		w.discoveryIdleAt = max(w.discoveryIdleAt, w.Now()) + time.Duration(float64(entries)/float64(rate)*float64(time.Second))
		deliveryTime = max(deliveryTime, w.discoveryIdleAt)
	}
	in.lastUpdateAt = deliveryTime
	epoch := in.watchEpoch
	w.After(deliveryTime-w.Now(), func() {
		if epoch == in.watchEpoch {
			deliver()
		}
	})
}

// breakWatch breaks an instance's watch of discovery. The instance then receives the full endpoint list.
func (w *World) breakWatch(in *Instance) {
	in.watchEpoch++
	in.lastUpdateAt = 0
	w.brokers.UpdateList(in, decision.List{Kind: decision.FailedList})
	w.deliverUpdate(in, len(in.Tier.Servers), func() {
		list := w.List(in)
		for _, s := range in.Tier.Servers {
			w.Checker.EndpointListed(w.Now(), in.Index, s.Index, s.state == decision.Ready)
		}
		w.brokers.UpdateList(in, list)
	})
}

// List returns the present full endpoint list of discovery for an instance's tier.
func (w *World) List(in *Instance) decision.List {
	list := decision.List{Kind: decision.FullList, Version: w.listVersion}
	for _, s := range in.Tier.Servers {
		if s.state != decision.Departed {
			list.Entries = append(list.Entries, s.Entry())
		}
	}
	return list
}
