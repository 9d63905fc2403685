package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Attempt is one sending of a try to a server.
type Attempt struct {
	Try    *Try
	Number int
	Server *Server
	Sent   time.Duration
	Over   bool // whoever sent it waits no more
	To     Replier
	work   float64 // what its connection costs beside
}

// Replier is told how a server answers an attempt, when the answer leaves the server.
type Replier interface {
	Reply(a *Attempt, how decision.Status, l *decision.Load)
}

// Server is a model of one: cores that work on one call each, a queue, and what troubles do to it.
type Server struct {
	N        int // among all
	Tier     *Tier
	w        *World
	ordinal  int // in its tier
	kind     *scenario.Kind
	kindN    int
	speed    float64
	rng      *rand.Rand
	up       bool
	state    decision.State // as discovery has it
	starts   uint64
	started  time.Duration // 0 for long past
	draining bool
	works    []*Attempt // on these, in the order in which they began
	queue    []*Attempt
	calls    []*call // to the tier below
	slow     float64 // times
	errors   float64 // share, beside its kind's
	paused   time.Duration
	load     float64 // work that came in the window that began at loadAt
	loadAt   time.Duration
	handled  int // since it last rested
	dark     int // troubles by which nothing comes from it
	cut      uint64
	bytes    string // what goes wrong on its connections
	bytesN   int
	conns    map[int]*conns // by instance, where connections cost
	open     int            // connections
	seen     decision.Load  // its last report
	seenAt   time.Duration
}

// conns are the connections of an instance to a server.
type conns struct{ idle, open int }

func (w *World) makeServer(t *Tier, kind int) *Server {
	ordinal := len(t.Servers)
	rng := Stream(w.seed, fmt.Sprint("server", t.N), ordinal)
	if drawn := scenario.Pick(rng, len(w.S.Kinds), func(j int) float64 { return w.S.Kinds[j].Share }); kind < 0 {
		kind = drawn
	}
	k := &w.S.Kinds[kind]
	s := &Server{
		N: len(w.Servers), Tier: t, w: w, ordinal: ordinal, kind: k, kindN: kind, speed: k.Speed.Draw(rng), rng: rng,
		up: true, slow: 1, bytes: "none", conns: map[int]*conns{},
	}
	t.Servers = append(t.Servers, s)
	w.Servers = append(w.Servers, s)
	return s
}

// ID is its name for instances.
func (s *Server) ID() decision.EndpointID { return decision.EndpointID(s.N + 1) }

// Drawn tells what of a server the seed has drawn.
func (s *Server) Drawn() string { return fmt.Sprint(s.kind.Name, " of speed ", s.speed) }

// Silent tells whether nothing comes from its side of a new connection.
func (s *Server) Silent() bool { return s.dark > 0 || s.bytes == "syn" }

func (s *Server) place() rules.Place {
	return rules.Place{Zone: s.ordinal % s.w.S.Servers.Zones, Cell: s.ordinal / cellOf}
}

// Listens tells whether it is there to be connected to.
func (s *Server) Listens() bool { return s.up }

// Entry is what discovery says of the server.
func (s *Server) Entry() decision.Entry {
	p := s.place()
	return decision.Entry{
		Endpoint: s.ID(), Zone: p.Zone, Cell: p.Cell, Kind: s.kindN, State: s.state, Started: s.started,
		Weight: float64(s.kind.Cores),
	}
}

// share is the part of its capacity that a server has that has just started.
func (s *Server) share() float64 {
	cold := time.Duration(s.w.S.Servers.Cold)
	if s.started == 0 || cold == 0 || s.w.Now() >= s.started+cold {
		return 1
	}
	from := s.w.S.Servers.From
	return from + (1-from)*float64(s.w.Now()-s.started)/float64(cold)
}

// Connect takes a connection for an attempt, where those cost, and is how long that takes. It is refused when the
// server has no more.
func (s *Server) Connect(a *Attempt) (took time.Duration, ok bool) {
	if s.kind.Conns == 0 && s.kind.Handshake == 0 {
		return 0, true
	}
	c := s.conns[a.Try.Instance.N]
	if c == nil {
		c = &conns{}
		s.conns[a.Try.Instance.N] = c
	}
	if c.idle > 0 {
		c.idle--
		return 0, true
	}
	if s.kind.Conns > 0 && s.open >= s.kind.Conns {
		return 0, false
	}
	c.open++
	s.open++
	s.w.Result.Connects++
	a.work = time.Duration(s.kind.Handshake).Seconds()
	return 2 * s.w.Latency(), true
}

// Release gives a connection back, to be used again or not.
func (s *Server) Release(a *Attempt, keep bool) {
	c := s.conns[a.Try.Instance.N]
	switch {
	case c == nil || c.open == 0:
	case keep && c.idle < c.open:
		c.idle++
	case !keep:
		c.open--
		c.idle = min(c.idle, c.open)
		s.open--
	}
}

// Arrive takes an attempt that comes.
func (s *Server) Arrive(a *Attempt) {
	if !s.up {
		s.reply(a, decision.ConnectFailed)
		return
	}
	if s.bytes == "slow_read" {
		starts := s.starts
		s.w.After(s.slowly(), func() {
			if starts == s.starts {
				s.admit(a)
			}
		})
		return
	}
	s.admit(a)
}

// slowly is how long a short message takes in pieces.
func (s *Server) slowly() time.Duration {
	const short, each = 300, 20 * time.Millisecond
	return time.Duration(math.Ceil(short/float64(max(s.bytesN, 1)))) * each
}

func (s *Server) admit(a *Attempt) {
	s.press(a)
	switch {
	case !s.up:
		s.reply(a, decision.Reset)
	case s.kind.Slots > 0 && len(s.works)+len(s.queue)+len(s.calls) >= s.kind.Slots:
		s.reply(a, decision.Rejected)
	case len(s.works) < s.kind.Cores && s.w.Now() >= s.paused:
		s.work(a)
	case len(s.queue) >= s.kind.Queue:
		s.reply(a, decision.Rejected)
	default:
		s.queue = append(s.queue, a)
	}
}

// press notes what a cold server is asked to do. Over what it can bear, for long enough, it falls over.
func (s *Server) press(a *Attempt) {
	tip, fall := s.w.S.Servers.Tip, time.Duration(s.w.S.Servers.Fall)
	if s.share() >= 1 || tip == 0 {
		return
	}
	if s.w.Now()-s.loadAt >= fall {
		s.load, s.loadAt = 0, s.w.Now()
	}
	s.load += a.Try.Work
	can := fall.Seconds() * float64(s.kind.Cores) * s.speed * s.share()
	if load := s.load / can; load > tip {
		s.w.Checker.Fell(s.w.Now(), s.N, load)
		s.crash(down)
	}
}

// work begins to work on an attempt.
func (s *Server) work(a *Attempt) {
	s.works = append(s.works, a)
	s.w.Checker.Ran(s.w.Now(), string(a.Try.ID), s.place())
	took := (a.Try.Work + a.work) / (s.speed * s.share()) * s.slow
	if n := len(s.works) + len(s.queue); s.kind.Crowd > 0 && n > s.kind.Crowd {
		took *= 1 + s.kind.Thrash*float64(n-s.kind.Crowd)/float64(s.kind.Crowd)
	}
	status := decision.OK
	if s.rng.Float64() < s.kind.Errors+s.errors {
		status, took = decision.Error, took/10
	}
	starts := s.starts
	s.w.After(time.Duration(took*float64(time.Second)), func() { s.finish(a, status, starts) })
}

// finish ends the work on an attempt, or waits for the end of a pause.
func (s *Server) finish(a *Attempt, status decision.Status, starts uint64) {
	if starts != s.starts {
		return // it went down with what it worked on
	}
	if s.w.Now() < s.paused {
		s.w.After(s.paused-s.w.Now(), func() { s.finish(a, status, starts) })
		return
	}
	if !slices.Contains(s.works, a) {
		return // it was called off
	}
	s.works = remove(s.works, a)
	if s.handled++; s.kind.ChokeAfter > 0 && s.handled >= s.kind.ChokeAfter {
		s.handled = 0
		s.pause(s.kind.Rest.Draw(s.rng))
	}
	if status == decision.OK && s.Tier.N+1 < len(s.w.Tiers) && !(a.Over && s.kind.Stops != "nothing") {
		s.callBelow(a)
	} else {
		s.reply(a, status)
	}
	s.pull()
}

func remove[T comparable](all []T, x T) []T {
	return slices.DeleteFunc(all, func(y T) bool { return x == y })
}

// pull begins to work on what waits. What was called off meanwhile is passed over.
func (s *Server) pull() {
	for s.up && s.w.Now() >= s.paused && len(s.works) < s.kind.Cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		if !a.Over || s.kind.Stops == "nothing" {
			s.work(a)
		}
	}
}

// Cancel tells that whoever sent an attempt has closed its connection.
func (s *Server) Cancel(a *Attempt) {
	if s.kind.Stops != "all" {
		return // what waits is passed over when its turn comes
	}
	s.works, s.queue = remove(s.works, a), remove(s.queue, a)
	for _, c := range slices.Clone(s.calls) {
		if c.a == a {
			s.giveUp(c)
		}
	}
	s.pull()
}

// reply sends an outcome back.
func (s *Server) reply(a *Attempt, status decision.Status) {
	if n := s.w.S.Network.Resets; n > 0 && s.rng.Float64() < n {
		status = decision.Reset
	}
	if s.w.sockets == nil && status != decision.ConnectFailed { // on real sockets it is the bytes that go wrong
		switch s.bytes {
		case "reset", "cut", "half_close":
			status = decision.Reset
		case "garbage":
			status = decision.InvalidResponse
		case "stall":
			return // nothing comes
		case "slow_write":
			s.w.After(s.slowly(), func() { a.To.Reply(a, status, s.report()) })
			return
		}
	}
	a.To.Reply(a, status, s.report())
}

// report is what a server says of its load, as it was some time ago.
func (s *Server) report() *decision.Load {
	k := s.kind
	if !k.Reports {
		return nil
	}
	if now := s.w.Now(); s.seenAt == 0 || now-s.seenAt >= time.Duration(k.ReportEvery) {
		wrong := func(x float64) float64 { return x * (1 + k.ReportNoise*(2*s.rng.Float64()-1)) }
		busy := float64(len(s.works))
		s.seenAt = now
		s.seen = decision.Load{
			InFlight: wrong(busy + float64(len(s.queue)+len(s.calls))), Queue: wrong(float64(len(s.queue))),
			Util: min(wrong(busy/float64(k.Cores)), 1), Service: -1,
		}
	}
	l := s.seen
	return &l
}
