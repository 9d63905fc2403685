// Package sim plays a scenario in virtual time: instances of a policy, by default the broker's decision module, against
// model servers, model callers, a model network and a model discovery. One run is one goroutine, and the same to the
// byte for a seed.
package sim

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/rules"
	"dykering/internal/lab/scenario"
)

// Policy is what decides in an instance. decision.Balancer is one.
type Policy interface {
	Targets(now time.Duration, l decision.List)
	Request(now time.Duration, q decision.Request)
	Outcome(now time.Duration, o decision.Outcome)
	Timer(now time.Duration, token uint64)
	Lapsed(now time.Duration, id decision.RequestID)
}

// Truth is what only the laboratory can know, for policies that are a ceiling.
type Truth interface {
	// Load is what a server has to do, for each of its cores.
	Load(server decision.EndpointID) float64
}

// NewPolicy makes the policy of an instance.
type NewPolicy func(set decision.Settings, seed uint64, host decision.Host, truth Truth) (Policy, error)

// Broker is the decision module.
func Broker(set decision.Settings, seed uint64, host decision.Host, _ Truth) (Policy, error) {
	return decision.New(set, seed, host)
}

const (
	// origin is where the clock begins: well above 0, as a server's start of 0 stands for long past.
	origin = 24 * time.Hour
	// grace is how long before a client gives up an answer is on its way to it, and how late it may be and still be in
	// time.
	grace = 20 * time.Millisecond
	// settle is how long a run goes on after its last request's deadline.
	settle = time.Second
	// cell is how many servers have a cell.
	cellOf = 2
	// down is how long a server that was pushed over is down.
	down = 3 * time.Second
)

// stream is a stream of random numbers of its own for each thing that draws, so that one more of a sort changes the
// draws of no other.
func stream(seed uint64, name string, i int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, name)
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(i)))
}

// world is one run.
type world struct {
	clock
	s         *scenario.Scenario
	seed      uint64
	servers   []*server
	instances []*instance
	checker   *rules.Checker
	asks      *rand.Rand
	wires     *rand.Rand
	hears     *rand.Rand
	burst     float64 // of the rate
	deaf      time.Duration
	open      int
	asked     int
	r         *Result
	err       error
}

// Run plays a scenario with a seed.
func Run(s *scenario.Scenario, seed uint64, policy NewPolicy) (*Result, error) {
	w := &world{s: s, seed: seed, asks: stream(seed, "callers", 0), wires: stream(seed, "network", 0),
		hears: stream(seed, "discovery", 0), burst: 1}
	w.now = origin
	w.checker = rules.New(rules.Settings{Grace: grace, DrainGrace: time.Duration(s.Servers.Grace)})
	w.r = newResult(s, seed)
	w.makeServers()
	for i := range s.Broker.Instances {
		if err := w.makeInstance(i, policy); err != nil {
			return nil, err
		}
	}
	for i, t := range s.Troubles {
		w.plan(t, stream(seed, "trouble", i))
	}
	rate := s.Callers.Rate.Draw(stream(seed, "rate", 0))
	w.arrive(rate)
	last := time.Duration(0)
	for _, c := range s.Classes {
		last = max(last, time.Duration(c.Deadline))
	}
	end := origin + time.Duration(s.Lasts) + last + settle
	for w.next(end) {
		if w.err != nil {
			return nil, w.err
		}
	}
	w.now = end
	w.checker.End(end)
	w.r.finish(w)
	return w.r, nil
}

// settings are what an instance is told.
func (w *world) settings(i int) decision.Settings {
	b, v := w.s.Broker, w.s.Servers
	set := decision.Settings{Instances: b.Instances, Ordinal: i, Tiers: 1, Quantum: time.Duration(b.Quantum),
		GoalWhole: 0.7, GoalWorstClass: 0.3, OverShareWorth: 0.3, MayCancel: b.MayCancel, MaxAttempts: b.MaxAttempts,
		MaxRetryAfter: time.Duration(b.RetryAfter), ConnectTimeout: time.Duration(b.Connect), PassesDeadline: true,
		MarksRetry: w.s.Callers.Marks, ColdFrom: v.From, Cold: time.Duration(v.Cold), TipMultiple: v.Tip,
		Fall: time.Duration(v.Fall)}
	for _, c := range w.s.Classes {
		set.Classes = append(set.Classes, decision.Class{Name: c.Name, Aim: time.Duration(c.Aim),
			Deadline: time.Duration(c.Deadline), Worth: 1, Effect: decision.Effect(c.Effect), Scope: decision.Scope(c.Scope),
			Window: time.Duration(c.Window)})
	}
	for _, t := range w.s.Teams {
		set.Tenants = append(set.Tenants, decision.Tenant{Name: t.Name, QuotaPerS: t.Quota})
	}
	return set
}

// latency is how long a message takes.
func (w *world) latency() time.Duration { return w.s.Network.Latency.Draw(w.wires) }

// ask is what a client wants once, over all its tries.
type ask struct {
	n        int
	class    int
	team     int
	work     float64
	born     time.Duration
	deadline time.Duration
	instance int
	tries    int
	over     bool
}

// arrive has the next request come, and so on until the callers' end.
func (w *world) arrive(rate float64) {
	now := rate * w.burst * (1 + w.s.Callers.Wave*math.Sin(2*math.Pi*(w.now-origin).Minutes()))
	w.after(time.Duration(w.asks.ExpFloat64()/max(now, 1e-9)*float64(time.Second)), func() {
		if w.now >= origin+time.Duration(w.s.Lasts) {
			return
		}
		w.want()
		w.arrive(rate)
	})
}

func pick(r *rand.Rand, n int, share func(int) float64) int {
	x := r.Float64()
	for i := range n {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return max(n-1, 0)
}

// want makes a request.
func (w *world) want() {
	s := w.s
	class := pick(w.asks, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	a := &ask{n: w.asked, class: class, team: pick(w.asks, len(s.Teams), func(i int) float64 { return s.Teams[i].Share }),
		work: s.Classes[class].Work.Draw(w.asks), born: w.now, instance: w.asks.IntN(len(w.instances)),
		deadline: w.now + time.Duration(s.Classes[class].Deadline)}
	if w.asks.Float64() < s.Classes[class].Tail {
		a.work *= 10
	}
	w.asked++
	if w.open >= s.Callers.Most {
		w.r.Unmade++
		return
	}
	w.open++
	w.r.ask(w, a)
	w.try(a)
}

// try sends a request to its instance.
func (w *world) try(a *ask) {
	left := a.deadline - w.now
	if p := time.Duration(w.s.Callers.Patience); p > 0 {
		left = min(left, p)
	}
	a.tries++
	w.r.Tries++
	t := &try{ask: a, id: decision.RequestID(fmt.Sprintf("%d/%d", a.n, a.tries)), until: w.now + left, out: -1}
	w.after(w.latency(), func() { w.instances[a.instance].take(t) })
	w.after(left, func() {
		if t.heard || a.over {
			return
		}
		t.heard = true // the client gives the try up
		w.after(w.latency(), func() { w.instances[a.instance].lapse(t) })
		w.again(a, 0, "timed out")
	})
}

// hear gives a client the answer to a try.
func (w *world) hear(t *try, how string, retryAfter time.Duration) {
	if t.heard || t.ask.over {
		return
	}
	t.heard = true
	switch {
	case how == served:
		w.done(t.ask, served)
	case how == refused || w.s.Classes[t.ask.class].Effect != string(decision.Unsafe):
		w.again(t.ask, retryAfter, how)
	default:
		w.done(t.ask, how)
	}
}

// again has a client try once more, if it may and has the time.
func (w *world) again(a *ask, retryAfter time.Duration, how string) {
	c := w.s.Callers
	if how == "timed out" && w.s.Classes[a.class].Effect == string(decision.Unsafe) || a.tries >= c.Tries {
		w.done(a, how)
		return
	}
	wait := time.Duration(float64(c.Backoff) * math.Pow(2, float64(a.tries-1)) * (0.5 + 0.5*w.asks.Float64()))
	if c.Honours {
		wait = max(wait, retryAfter)
	}
	if w.now+wait >= a.deadline {
		w.done(a, how)
		return
	}
	w.after(wait, func() { w.try(a) })
}

// done is the end of what a client wanted.
func (w *world) done(a *ask, how string) {
	if a.over {
		return
	}
	a.over = true
	w.open--
	w.r.done(w, a, how)
}
