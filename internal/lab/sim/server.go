package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

func originOf(a *ask) string { return fmt.Sprint(a.n) }

// server is a model of one: cores that work on one call each, a queue, and what troubles do to it.
type server struct {
	w        *world
	n        int
	kind     *scenario.Kind
	speed    float64
	rng      *rand.Rand
	up       bool
	starts   uint64
	started  time.Duration // 0 for long past
	draining bool
	works    []*attempt // on these, in the order in which they began
	queue    []*attempt
	told     []time.Duration // until when each instance has news on its way
	slow     float64         // times
	errors   float64         // share, beside its kind's
	paused   time.Duration
	load     float64 // work that came in the window that began at loadAt
	loadAt   time.Duration
}

func (w *world) makeServers() {
	for i := range w.s.Servers.Count {
		rng := stream(w.seed, "server", i)
		k := &w.s.Kinds[pick(rng, len(w.s.Kinds), func(j int) float64 { return w.s.Kinds[j].Share })]
		w.servers = append(w.servers, &server{w: w, n: i, kind: k, speed: k.Speed.Draw(rng), rng: rng, up: true, slow: 1})
	}
}

func (s *server) id() decision.EndpointID { return decision.EndpointID(s.n + 1) }

func (s *server) place() rules.Place {
	return rules.Place{Zone: s.n % s.w.s.Servers.Zones, Cell: s.n / cellOf}
}

// entry is what discovery says of the server.
func (s *server) entry(state decision.State) decision.Entry {
	kind := 0
	for i := range s.w.s.Kinds {
		if &s.w.s.Kinds[i] == s.kind {
			kind = i
		}
	}
	p := s.place()
	return decision.Entry{Endpoint: s.id(), Zone: p.Zone, Cell: p.Cell, Kind: kind, State: state, Started: s.started,
		Weight: float64(s.kind.Cores)}
}

// tell has discovery tell all instances, each in its time. What is told later is later news.
func (s *server) tell(state decision.State) {
	e := s.entry(state)
	if s.told == nil {
		s.told = make([]time.Duration, len(s.w.instances))
	}
	for i, in := range s.w.instances {
		at := max(s.w.now+s.w.s.Discovery.Delay.Draw(s.w.hears), s.w.deaf, s.told[i])
		s.told[i] = at
		s.w.after(at-s.w.now, func() { in.hears(e) })
	}
}

// share is the part of its capacity that a server has that has just started.
func (s *server) share() float64 {
	cold := time.Duration(s.w.s.Servers.Cold)
	if s.started == 0 || cold == 0 || s.w.now >= s.started+cold {
		return 1
	}
	from := s.w.s.Servers.From
	return from + (1-from)*float64(s.w.now-s.started)/float64(cold)
}

// arrive takes an attempt that comes.
func (s *server) arrive(a *attempt) {
	if !s.up {
		s.reply(a, decision.ConnectFailed)
		return
	}
	s.press(a)
	switch {
	case !s.up:
		s.reply(a, decision.Reset)
	case len(s.works) < s.kind.Cores && s.w.now >= s.paused:
		s.work(a)
	case len(s.queue) >= s.kind.Queue:
		s.reply(a, decision.Full)
	default:
		s.queue = append(s.queue, a)
	}
}

// press notes what a cold server is asked to do. Over what it can bear, for long enough, it falls over.
func (s *server) press(a *attempt) {
	tip, fall := s.w.s.Servers.Tip, time.Duration(s.w.s.Servers.Fall)
	if s.share() >= 1 || tip == 0 {
		return
	}
	if s.w.now-s.loadAt >= fall {
		s.load, s.loadAt = 0, s.w.now
	}
	s.load += a.try.ask.work
	can := fall.Seconds() * float64(s.kind.Cores) * s.speed * s.share()
	if load := s.load / can; load > tip {
		s.w.checker.Fell(s.w.now, s.n, load)
		s.crash(down)
	}
}

// work begins to work on an attempt.
func (s *server) work(a *attempt) {
	s.works = append(s.works, a)
	s.w.checker.Ran(s.w.now, string(a.try.id), s.place())
	took := a.try.ask.work / (s.speed * s.share()) * s.slow
	if n := len(s.works) + len(s.queue); s.kind.Crowd > 0 && n > s.kind.Crowd {
		took *= 1 + s.kind.Thrash*float64(n-s.kind.Crowd)/float64(s.kind.Crowd)
	}
	status := decision.OK
	if s.rng.Float64() < s.kind.Errors+s.errors {
		status, took = decision.Error, took/10
	}
	starts := s.starts
	s.w.after(time.Duration(took*float64(time.Second)), func() { s.finish(a, status, starts) })
}

// finish ends the work on an attempt, or waits for the end of a pause.
func (s *server) finish(a *attempt, status decision.Status, starts uint64) {
	if starts != s.starts {
		return // it went down with what it worked on
	}
	if s.w.now < s.paused {
		s.w.after(s.paused-s.w.now, func() { s.finish(a, status, starts) })
		return
	}
	s.works = slices.DeleteFunc(s.works, func(x *attempt) bool { return x == a })
	s.reply(a, status)
	s.pull()
}

// pull begins to work on what waits. What was called off meanwhile is passed over.
func (s *server) pull() {
	for s.up && s.w.now >= s.paused && len(s.works) < s.kind.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		if !a.over {
			s.work(a)
		}
	}
}

// reply sends an outcome back.
func (s *server) reply(a *attempt, status decision.Status) {
	s.w.after(s.w.latency(), func() { a.from.outcome(a, status) })
}

// crash ends a server at once, with all that it has, and starts it again after a time. Discovery says so in its time.
func (s *server) crash(lasts time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	s.starts++
	for _, a := range append(s.works, s.queue...) {
		s.reply(a, decision.Reset)
	}
	s.works, s.queue = nil, nil
	s.tell(decision.Gone)
	s.w.after(lasts, s.start)
}

// start starts a server that is down: it is cold.
func (s *server) start() {
	s.up, s.draining = true, false
	s.started = s.w.now
	s.load, s.loadAt = 0, s.w.now
	s.tell(decision.Ready)
}

// drain sends a server's callers away, ends it when what it has is done or half of the time is over, and starts it
// again, cold, at the end of the time.
func (s *server) drain(lasts time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	s.tell(decision.Draining)
	end := s.w.now + lasts
	s.w.after(lasts/2, func() {
		if s.up && s.draining {
			s.crash(end - s.w.now)
		}
	})
}

// plan has a trouble come.
func (w *world) plan(t scenario.Trouble, r *rand.Rand) {
	at, lasts, factor := t.At.Draw(r), t.Lasts.Draw(r), t.Factor.Draw(r)
	order := r.Perm(len(w.servers))
	n := min(len(order), int(t.Share*float64(len(order))+0.999))
	switch t.What {
	case "burst":
		w.after(at, func() { w.burst = factor })
		w.after(at+lasts, func() { w.burst = 1 })
		return
	case "discovery":
		w.after(at, func() { w.deaf = w.now + lasts })
		return
	}
	for i, x := range order[:n] {
		s := w.servers[x]
		w.after(at+time.Duration(i)*time.Duration(t.Every), func() {
			switch t.What {
			case "crash":
				s.crash(lasts)
			case "drain":
				s.drain(lasts)
			case "slow":
				s.slow = max(factor, 1)
				w.after(lasts, func() { s.slow = 1 })
			case "errors":
				s.errors = min(factor, 1)
				w.after(lasts, func() { s.errors = 0 })
			case "pause":
				s.paused = w.now + lasts
				w.after(lasts, s.pull)
			}
		})
	}
}
