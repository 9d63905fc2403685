package model

import (
	"math"
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/scenario"
)

// neighbourTurn is the longest turn of a server that is slow by turns.
const neighbourTurn = time.Second

// tell has discovery tell all instances of the server's tier, each in its time.
func (s *Server) tell(state decision.State) {
	w := s.w
	s.state = state
	w.rev++
	e := s.Entry()
	l := decision.List{Kind: decision.DeltaList, Version: w.rev, Entries: []decision.Entry{e}}
	for _, in := range s.Tier.Instances {
		w.news(in, 1, func() {
			w.Checker.Listed(w.Now(), in.N, s.N, e.State == decision.Ready)
			w.brokers.Hear(in, l)
		})
	}
}

// news has an instance hear something, after all that it was told before, if its watch does not break off.
func (w *World) news(in *Instance, lines int, hear func()) {
	at := max(w.Now()+w.S.Discovery.Delay.Draw(w.hears), w.deaf, in.newsAt)
	if rate := w.S.Discovery.Rate; rate > 0 {
		w.sendFree = max(w.sendFree, w.Now()) + time.Duration(float64(lines)/float64(rate)*float64(time.Second))
		at = max(at, w.sendFree)
	}
	in.newsAt = at
	epoch := in.epoch
	w.After(at-w.Now(), func() {
		if epoch == in.epoch {
			hear()
		}
	})
}

// breakOff ends an instance's watch. It asks for the whole list.
func (w *World) breakOff(in *Instance) {
	in.epoch++
	in.newsAt = 0
	w.brokers.Hear(in, decision.List{Kind: decision.FailedList})
	w.news(in, len(in.Tier.Servers), func() {
		l := w.List(in)
		for _, s := range in.Tier.Servers {
			w.Checker.Listed(w.Now(), in.N, s.N, s.state == decision.Ready)
		}
		w.brokers.Hear(in, l)
	})
}

// List is the whole list as discovery has it now.
func (w *World) List(in *Instance) decision.List {
	l := decision.List{Kind: decision.FullList, Version: w.rev}
	for _, s := range in.Tier.Servers {
		if s.state != decision.Departed {
			l.Entries = append(l.Entries, s.Entry())
		}
	}
	return l
}

// some are a share of so many, drawn.
func some(r *rand.Rand, n int, share float64) []int {
	return r.Perm(n)[:min(n, int(math.Ceil(share*float64(n)-1e-9)))]
}

// occurrence is a trouble as it was drawn for one run.
type occurrence struct {
	scenario.Trouble
	lasts   time.Duration
	factor  float64
	tier    *Tier
	servers []int // of the tier, in the order in which they are hit
	touched []int // instances of the tier
	bit     uint64
}

// plan schedules a trouble.
func (w *World) plan(t scenario.Trouble, number int, r *rand.Rand) {
	at, lasts, factor := t.At.Draw(r), t.Lasts.Draw(r), t.Factor.Draw(r)
	tier := w.Tiers[t.Tier]
	o := occurrence{
		Trouble: t, lasts: lasts, factor: factor, tier: tier, servers: some(r, len(tier.Servers), t.Share),
		touched: some(r, len(tier.Instances), t.Of), bit: uint64(1) << (number % 64),
	}
	w.After(at, func() { w.begin(o, r) })
}

// begin has a trouble happen: to the callers, to discovery, to instances, to the network, or else to servers.
func (w *World) begin(o occurrence, r *rand.Rand) {
	switch o.What {
	case "burst":
		w.burst = o.factor
		w.After(o.lasts, func() { w.burst = 1 })
	case "flood":
		team, extra := w.S.TeamOf(o.Team), max(o.factor-1, 0)
		w.flood[team] += extra
		w.After(o.lasts, func() { w.flood[team] -= extra })
	case "gone", "dribble", "junk", "twice":
		w.manners[o.What] += min(o.factor, 1)
		w.After(o.lasts, func() { w.manners[o.What] -= min(o.factor, 1) })
	case "discovery":
		w.deaf = w.Now() + o.lasts
	case "break":
		for _, in := range o.tier.Instances {
			w.breakOff(in)
		}
	case "kill", "handover", "stop", "stall", "away", "reload", "stale", "again":
		w.befallInstances(o)
	case "zone":
		w.loseZone(o, r.IntN(w.S.Servers.Zones))
	case "partition":
		w.partition(o)
	default:
		w.befallServers(o)
	}
}

// befallInstances hits the touched instances one after the other.
func (w *World) befallInstances(o occurrence) {
	for i, x := range o.touched {
		w.After(time.Duration(i)*time.Duration(o.Every), func() {
			switch in := o.tier.Instances[x]; o.What {
			case "kill":
				w.brokers.Kill(in, o.lasts)
			case "handover":
				w.brokers.Handover(in)
			default:
				w.brokers.Befall(in, o.What, o.lasts)
			}
		})
	}
}

// befallServers hits the servers one after the other; flapping ones at once.
func (w *World) befallServers(o occurrence) {
	for i, x := range o.servers {
		apart := time.Duration(i) * time.Duration(o.Every)
		if o.What == "flap" {
			apart = 0
		}
		w.After(apart, func() { o.tier.Servers[x].befall(o.Trouble, o.lasts, o.factor) })
	}
}

func (w *World) loseZone(o occurrence, zone int) {
	for _, s := range o.tier.Servers {
		if s.place().Zone == zone {
			s.vanish(o.lasts)
		}
	}
}

// partition cuts the touched instances and the servers off from all others.
func (w *World) partition(o occurrence) {
	for _, x := range o.touched {
		o.tier.Instances[x].cut |= o.bit
	}
	for _, x := range o.servers {
		o.tier.Servers[x].cut |= o.bit
	}
	w.notifyParted()
	w.After(o.lasts, func() {
		for _, in := range o.tier.Instances {
			in.cut &^= o.bit
		}
		for _, s := range o.tier.Servers {
			s.cut &^= o.bit
		}
		w.notifyParted()
	})
}

// notifyParted has real sockets follow the partitions.
func (w *World) notifyParted() {
	if w.sockets != nil {
		w.sockets.Parted()
	}
}

// befall is what a trouble does to one server.
func (s *Server) befall(t scenario.Trouble, lasts time.Duration, factor float64) {
	w := s.w
	switch t.What {
	case "crash":
		s.crash(lasts)
	case "drain":
		s.drain(lasts)
	case "replace":
		s.replace(lasts)
	case "vanish":
		s.vanish(lasts)
	case "slow":
		s.slow = max(factor, 1)
		w.After(lasts, func() { s.slow = 1 })
	case "neighbour":
		s.neighbour(max(factor, 1), w.Now()+lasts)
	case "errors":
		s.errors = min(factor, 1)
		w.After(lasts, func() { s.errors = 0 })
	case "pause":
		s.pause(lasts)
	case "reset":
		for _, a := range append(append([]*Attempt(nil), s.works...), s.queue...) {
			a.To.Reply(a, decision.Reset, nil)
		}
		if w.sockets != nil {
			w.sockets.Reset(s)
		}
	case "bytes":
		s.wrongBytes(t.How, t.Bytes)
		w.After(lasts, func() { s.wrongBytes("none", 0) })
	case "flap":
		s.flap(w.Now()+lasts, time.Duration(t.Every))
	}
}

func (s *Server) wrongBytes(how string, n int) {
	s.bytes, s.bytesN = how, n
	if s.w.sockets != nil {
		s.w.sockets.Bytes(s, how, n)
	}
}

// vanish has nothing come from a server for a time. Discovery notices, in its time.
func (s *Server) vanish(lasts time.Duration) {
	s.dark++
	s.tell(decision.Departed)
	if s.w.sockets != nil {
		s.w.sockets.Bytes(s, "vanish", 0)
	}
	s.w.After(lasts, func() {
		if s.dark--; s.dark == 0 {
			if s.w.sockets != nil {
				s.w.sockets.Bytes(s, "none", 0)
			}
			if s.up && !s.draining { // it may have ended, or begun to, in the dark
				s.tell(decision.Ready)
			}
		}
	})
}

// neighbour makes a server slow by turns until a time.
func (s *Server) neighbour(factor float64, until time.Duration) {
	if s.w.Now() >= until {
		s.slow = 1
		return
	}
	if s.slow > 1 {
		s.slow = 1
	} else {
		s.slow = factor
	}
	s.w.After(time.Duration((0.2+0.8*s.rng.Float64())*float64(neighbourTurn)), func() { s.neighbour(factor, until) })
}

// flap has discovery say that a server is gone and back by turns until a time.
func (s *Server) flap(until, every time.Duration) {
	if s.w.Now() >= until || !s.up || s.draining {
		if s.up && !s.draining && s.state == decision.Departed {
			s.tell(decision.Ready)
		}
		return
	}
	if s.state == decision.Ready {
		s.tell(decision.Departed)
	} else {
		s.tell(decision.Ready)
	}
	s.w.After(every, func() { s.flap(until, every) })
}
