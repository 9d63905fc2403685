package model

import (
	"math"
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/scenario"
)

// maxNeighbourTurn is the longest period in which a noisy neighbour slows a server down, or does not.
const maxNeighbourTurn = time.Second

// sample draws a share of the indexes below n without replacement. Their number is rounded up.
func sample(r *rand.Rand, n int, share float64) []int {
	return r.Perm(n)[:min(n, int(math.Ceil(share*float64(n)-1e-9)))]
}

// occurrence is an injected fault with the values that were drawn for this run.
type occurrence struct {
	scenario.InjectedFault
	duration time.Duration
	factor   float64
	tier     *Tier
	// servers are the indexes of the chosen servers in the tier, in the order in which the fault affects them.
	servers []int
	// instances are the indexes of the chosen instances in the tier.
	instances []int
	// partition is the bit that identifies a partition.
	partition uint64
}

// scheduleFault draws the values of a fault and schedules it.
func (w *World) scheduleFault(fault scenario.InjectedFault, index int, r *rand.Rand) {
	start, duration, factor := fault.Start.Draw(r), fault.Duration.Draw(r), fault.Factor.Draw(r)
	tier := w.Tiers[fault.Tier]
	o := occurrence{
		InjectedFault: fault, duration: duration, factor: factor, tier: tier, servers: sample(r, len(tier.Servers), fault.ServerShare),
		instances: sample(r, len(tier.Instances), fault.InstanceShare), partition: uint64(1) << (index % 64),
	}
	w.After(start, func() { w.injectFault(o, r) })
}

// injectFault begins a fault. A fault of servers or instances is applied to each chosen one.
func (w *World) injectFault(o occurrence, r *rand.Rand) {
	switch o.Kind {
	case "burst":
		w.rateFactor = o.factor
		w.After(o.duration, func() { w.rateFactor = 1 })
	case "flood":
		team, extra := w.Scenario.TeamIndex(o.Team), max(o.factor-1, 0)
		w.floodShares[team] += extra
		w.After(o.duration, func() { w.floodShares[team] -= extra })
	case "gone", "dribble", "junk", "twice":
		w.misbehaviorShares[o.Kind] += min(o.factor, 1)
		w.After(o.duration, func() { w.misbehaviorShares[o.Kind] -= min(o.factor, 1) })
	case "discovery":
		w.discoveryPausedUntil = w.Now() + o.duration
	case "break":
		for _, in := range o.tier.Instances {
			w.breakWatch(in)
		}
	case "kill", "handover", "stop", "stall", "away", "reload", "stale", "again":
		w.injectInstanceFault(o)
	case "zone":
		w.loseZone(o, r.IntN(w.Scenario.Servers.Zones))
	case "partition":
		w.partition(o)
	default:
		w.injectServerFault(o)
	}
}

// injectInstanceFault applies a fault to the chosen instances, one interval after another.
func (w *World) injectInstanceFault(o occurrence) {
	for i, x := range o.instances {
		w.After(time.Duration(i)*time.Duration(o.Interval), func() {
			switch in := o.tier.Instances[x]; o.Kind {
			case "kill":
				w.brokers.Kill(in, o.duration)
			case "handover":
				w.brokers.Handover(in)
			default:
				w.brokers.InjectFault(in, o.Kind, o.duration)
			}
		})
	}
}

// injectServerFault applies a fault to the chosen servers, one interval after another. A flap begins at all of
// them at once, since its interval is that of the flapping.
func (w *World) injectServerFault(o occurrence) {
	for i, x := range o.servers {
		delay := time.Duration(i) * time.Duration(o.Interval)
		if o.Kind == "flap" {
			delay = 0
		}
		w.After(delay, func() { o.tier.Servers[x].injectFault(o.InjectedFault, o.duration, o.factor) })
	}
}

// loseZone makes all servers of a zone vanish.
func (w *World) loseZone(o occurrence, zone int) {
	for _, s := range o.tier.Servers {
		if s.location().Zone == zone {
			s.vanish(o.duration)
		}
	}
}

// partition separates the chosen instances from the chosen servers for the duration of the fault.
func (w *World) partition(o occurrence) {
	for _, x := range o.instances {
		o.tier.Instances[x].partitions |= o.partition
	}
	for _, x := range o.servers {
		o.tier.Servers[x].partitions |= o.partition
	}
	w.notifyPartitions()
	w.After(o.duration, func() {
		for _, in := range o.tier.Instances {
			in.partitions &^= o.partition
		}
		for _, s := range o.tier.Servers {
			s.partitions &^= o.partition
		}
		w.notifyPartitions()
	})
}

// notifyPartitions reports a change of the partitions to the real sockets, if there are any.
func (w *World) notifyPartitions() {
	if w.sockets != nil {
		w.sockets.PartitionsChanged()
	}
}

// injectFault applies a fault to one server.
func (s *Server) injectFault(fault scenario.InjectedFault, duration time.Duration, factor float64) {
	w := s.w
	switch fault.Kind {
	case "crash":
		s.crash(duration)
	case "drain":
		s.drain(duration)
	case "replace":
		s.replace(duration)
	case "vanish":
		s.vanish(duration)
	case "slow":
		s.slowdown = max(factor, 1)
		w.After(duration, func() { s.slowdown = 1 })
	case "neighbour":
		s.alternateSlowdown(max(factor, 1), w.Now()+duration)
	case "errors":
		s.errorRate = min(factor, 1)
		w.After(duration, func() { s.errorRate = 0 })
	case "pause":
		s.pause(duration)
	case "reset":
		for _, a := range append(append([]*Attempt(nil), s.running...), s.queue...) {
			a.ReplyTo.Reply(a, decision.Reset, nil)
		}
		if w.sockets != nil {
			w.sockets.ResetConnections(s)
		}
	case "bytes":
		s.setConnectionFault(fault.ConnectionFault, fault.Bytes)
		w.After(duration, func() { s.setConnectionFault("none", 0) })
	case "flap":
		s.flap(w.Now()+duration, time.Duration(fault.Interval))
	}
}

// setConnectionFault sets the fault on the server's connections. The fault "none" ends an earlier one.
func (s *Server) setConnectionFault(fault string, n int) {
	s.connectionFault, s.faultBytes = fault, n
	if s.w.sockets != nil {
		s.w.sockets.SetConnectionFault(s, fault, n)
	}
}

// vanish makes a server unreachable for a duration. Discovery announces it as departed.
func (s *Server) vanish(duration time.Duration) {
	s.activeVanishes++
	s.announce(decision.Departed)
	if s.w.sockets != nil {
		s.w.sockets.SetConnectionFault(s, "vanish", 0)
	}
	s.w.After(duration, func() {
		if s.activeVanishes--; s.activeVanishes == 0 {
			if s.w.sockets != nil {
				s.w.sockets.SetConnectionFault(s, "none", 0)
			}
			if s.up && !s.draining { // the server may have shut down or begun to drain meanwhile
				s.announce(decision.Ready)
			}
		}
	})
}

// alternateSlowdown makes a server alternately slow and fast until a time, as a noisy neighbour does.
func (s *Server) alternateSlowdown(factor float64, until time.Duration) {
	if s.w.Now() >= until {
		s.slowdown = 1
		return
	}
	if s.slowdown > 1 {
		s.slowdown = 1
	} else {
		s.slowdown = factor
	}
	s.w.After(time.Duration((0.2+0.8*s.rng.Float64())*float64(maxNeighbourTurn)), func() { s.alternateSlowdown(factor, until) })
}

// flap makes discovery announce a server alternately as departed and ready until a time, while the server
// itself stays up.
func (s *Server) flap(until, interval time.Duration) {
	if s.w.Now() >= until || !s.up || s.draining {
		if s.up && !s.draining && s.state == decision.Departed {
			s.announce(decision.Ready)
		}
		return
	}
	if s.state == decision.Ready {
		s.announce(decision.Departed)
	} else {
		s.announce(decision.Ready)
	}
	s.w.After(interval, func() { s.flap(until, interval) })
}
