// Package model is the laboratory's world, as a scenario says: callers, servers in tiers, the network, discovery and
// what befalls them. It knows no broker and no socket: both engines, in virtual time and on real sockets, play in it,
// and carry tries from whoever asks to servers. A world belongs to the goroutine of its clock.
package model

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

const (
	// Origin is where a clock begins: well above 0, as a server's start of 0 stands for long past.
	Origin = 24 * time.Hour
	// Grace is how long before a client gives up an answer is on its way to it, and how late it may be and still be in
	// time.
	Grace = 20 * time.Millisecond
	// heldSlack is up to what slack what is kept until its deadline can be told from what is late.
	heldSlack = 20 * time.Millisecond
	// settle is how long a run goes on after its last request's deadline.
	settle = time.Second
	// cellOf is how many servers a cell has.
	cellOf = 2
	// down is how long a server that was pushed over is down.
	down = 3 * time.Second
)

// What can become of a try, or of what a client wants.
const (
	Served   = "served"
	Refused  = "refused" // trying again is harmless
	Failed   = "failed"  // it may have run
	Unheard  = "unheard" // there was nobody to take it
	timedOut = "timed out"
)

// Brokers carry tries to servers. Each of their methods is called by the clock's goroutine.
type Brokers interface {
	// Take takes a try that comes to its instance, and answers its asker once.
	Take(t *Try)
	// Lapse tells that whoever asked waits no more.
	Lapse(t *Try)
	// Hear tells an instance what discovery has told it.
	Hear(in *Instance, l decision.List)
	// Kill ends an instance at once, and starts it again after a time; Handover has a successor take over from it.
	Kill(in *Instance, lasts time.Duration)
	Handover(in *Instance)
	// Befall is what else a trouble does to an instance: stop, stall, away, reload, stale or again.
	Befall(in *Instance, what string, lasts time.Duration)
}

// Sockets are what a server has on real sockets.
type Sockets interface {
	Up(s *Server)
	Down(s *Server)
	// Bytes has what a server sends and reads go wrong, until how is "none". Reset breaks its connections.
	Bytes(s *Server, how string, n int)
	Reset(s *Server)
	// Parted tells that other servers cannot be reached by some instances than before; see World.Parted.
	Parted()
}

// Asker is told what becomes of a try: a client, or a server that calls the tier below.
type Asker interface {
	Hear(t *Try, how string, retryAfter time.Duration)
}

// Try is one request as an instance sees it.
type Try struct {
	ID       decision.RequestID
	Origin   string // what it repeats
	Class    int
	Team     int
	Work     float64
	Instance *Instance
	Until    time.Duration // when whoever asks gives it up
	Repeat   bool          // and says so
	Heard    bool          // whoever asks knows what became of it, or has given it up
	Asker    Asker
	ask      *ask  // of a client
	call     *call // of a server
}

// Tier is a tier of servers, and of the instances before them.
type Tier struct {
	N         int
	Instances []*Instance
	Servers   []*Server
	below     *scenario.Below // nil for the first
}

// Instance is what the world knows of an instance of the broker.
type Instance struct {
	N       int // among all
	Ordinal int // in its tier
	Tier    *Tier
	cut     uint64 // partitions that it is on the one side of
	epoch   int    // of its watch of discovery
	newsAt  time.Duration
}

// World is one run.
type World struct {
	Clock
	S         *scenario.Scenario
	Tiers     []*Tier
	Instances []*Instance // of all tiers
	Servers   []*Server   // of all tiers; an EndpointID is the place here and one
	Checker   *rules.Checker
	Result    *Result

	seed     uint64
	brokers  Brokers
	sockets  Sockets
	asks     *rand.Rand
	wires    *rand.Rand
	hears    *rand.Rand
	burst    float64            // of the rate
	hot      []int              // the front's instances, those first that get most
	manners  map[string]float64 // what callers do to so much of what they ask, by the trouble's name
	flood    []float64          // what each team asks for beyond its share, in shares
	deaf     time.Duration
	sendFree time.Duration // when discovery has sent all that it is to send
	rev      uint64
	open     int
	asked    int
}

// Stream is a stream of random numbers of its own for each thing that draws, so that one more of a sort changes the
// draws of no other.
func Stream(seed uint64, name string, i int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name)
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(i)))
}

// New makes the world of a scenario and a seed. Sockets may be nil; slack is by how much time limits are longer where
// what is seen is not seen at once.
func New(s *scenario.Scenario, seed uint64, c Clock, b Brokers, sockets Sockets, slack time.Duration) *World {
	w := &World{
		Clock: c, S: s, seed: seed, brokers: b, sockets: sockets, asks: Stream(seed, "callers", 0),
		wires: Stream(seed, "network", 0), hears: Stream(seed, "discovery", 0), burst: 1, manners: map[string]float64{}, flood: make([]float64, len(s.Teams)), rev: 1,
	}
	w.Checker = rules.New(rules.Settings{
		Grace: Grace + slack, DrainGrace: time.Duration(s.Servers.Grace) + slack,
		Attempts: s.Broker.MaxAttempts, Held: slack <= heldSlack,
	})
	w.Result = newResult(s, seed)
	w.makeTier(s.Broker.Instances, s.Servers.Count, -1, nil)
	for i := range s.Below {
		b := &s.Below[i]
		w.makeTier(b.Instances, b.Servers, s.KindOf(b.Kind), b)
	}
	return w
}

// makeTier makes a tier, whose servers are of a kind, or, below 0, of all by their shares.
func (w *World) makeTier(instances, servers, kind int, below *scenario.Below) {
	t := &Tier{N: len(w.Tiers), below: below}
	w.Tiers = append(w.Tiers, t)
	for i := range instances {
		in := &Instance{N: len(w.Instances), Ordinal: i, Tier: t}
		t.Instances = append(t.Instances, in)
		w.Instances = append(w.Instances, in)
	}
	for range servers {
		w.makeServer(t, kind)
	}
	for _, in := range t.Instances {
		for _, s := range t.Servers {
			w.Checker.Listed(w.Now(), in.N, s.N, true)
		}
	}
}

// Seed is a number of an instance's own to draw with.
func (w *World) Seed(in *Instance) uint64 {
	return Stream(w.seed, fmt.Sprint("instance", in.Tier.N), in.Ordinal).Uint64()
}

// Start has the callers ask and the troubles come, and is when all is over. Brokers must be ready.
func (w *World) Start() (end time.Duration) {
	for i, t := range w.S.Troubles {
		w.plan(t, i, Stream(w.seed, "trouble", i))
	}
	for _, s := range w.Servers {
		s.pauses()
	}
	w.arrive(w.S.Callers.Rate.Draw(Stream(w.seed, "rate", 0)))
	last := time.Duration(0)
	for _, c := range w.S.Classes {
		last = max(last, time.Duration(c.Deadline))
	}
	return Origin + time.Duration(w.S.Lasts) + last + settle
}

// Over tells whether callers have ended and have all that they asked for.
func (w *World) Over() bool { return w.open == 0 && w.Now() > Origin+time.Duration(w.S.Lasts) }

// End closes the books.
func (w *World) End() *Result {
	w.Checker.End(w.Now())
	w.Result.finish(w)
	return w.Result
}

// Settings are what an instance is told.
func (w *World) Settings(in *Instance) decision.Settings {
	b, v := w.S.Broker, w.S.Servers
	set := decision.Settings{
		Instances: len(in.Tier.Instances), Ordinal: in.Ordinal, Stage: in.Tier.N, Tiers: len(w.Tiers),
		Quantum: time.Duration(b.Quantum), GoalTotal: 0.7, GoalWorstClass: 0.3, MayCancel: b.MayCancel,
		MaxAttempts: b.MaxAttempts, MaxRetryAfter: time.Duration(b.RetryAfter), ConnectTimeout: time.Duration(b.Connect),
		ClientsMarkRetries: w.S.Callers.Marks, ColdCapacity: v.From, WarmUp: time.Duration(v.Cold),
		OverloadMultiple: v.Tip, OverloadWindow: time.Duration(v.Fall),
	}
	for _, c := range w.S.Classes {
		set.Classes = append(set.Classes, decision.Class{
			Name: c.Name, LatencyTarget: time.Duration(c.Aim),
			Deadline: time.Duration(c.Deadline), Value: 1, Effect: decision.Effect(c.Effect), Scope: decision.Scope(c.Scope),
			Window: time.Duration(c.Window),
		})
	}
	for _, t := range w.S.Teams {
		set.Tenants = append(set.Tenants, decision.Tenant{Name: t.Name, QuotaPerS: t.Quota})
	}
	return set
}

// Latency is how long a message takes.
func (w *World) Latency() time.Duration {
	n := w.S.Network
	took := n.Latency.Draw(w.wires)
	for n.Loss > 0 && w.wires.Float64() < n.Loss && took < time.Minute {
		took += time.Duration(n.Again)
	}
	return took
}

// Parted tells whether a partition stands between an instance and a server.
func (w *World) Parted(in *Instance, s *Server) bool { return in.cut&s.cut != 0 }

// Manner is the share of tries to which callers do something now.
func (w *World) Manner(what string) float64 { return w.manners[what] }

// Cut tells whether nothing goes between an instance and a server.
func (w *World) Cut(in *Instance, s *Server) bool { return s.dark > 0 || in.cut&s.cut != 0 }

// Load is what a server has to do, for each of its cores: what only the laboratory can know.
func (w *World) Load(id decision.EndpointID) float64 {
	s := w.Servers[id-1]
	return float64(len(s.works)+len(s.queue)) / float64(s.kind.Cores)
}
