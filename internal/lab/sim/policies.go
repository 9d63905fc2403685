package sim

import (
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
)

// Policies are what the broker's decisions can be compared with, by name.
var Policies = map[string]NewPolicy{
	"dykering":    Broker,
	"random":      simple(func(p *plain) decision.EndpointID { return p.ready[p.rng.IntN(len(p.ready))] }),
	"round-robin": simple(func(p *plain) decision.EndpointID { p.turn++; return p.ready[p.turn%len(p.ready)] }),
	"two-choice": simple(func(p *plain) decision.EndpointID {
		a, b := p.ready[p.rng.IntN(len(p.ready))], p.ready[p.rng.IntN(len(p.ready))]
		if p.out[b] < p.out[a] {
			return b
		}
		return a
	}),
	// The true load of all servers, that nobody has: a ceiling.
	"least": simple(func(p *plain) decision.EndpointID {
		from := p.rng.IntN(len(p.ready))
		best := p.ready[from]
		for i := range p.ready {
			if e := p.ready[(from+i)%len(p.ready)]; p.truth.Load(e) < p.truth.Load(best) {
				best = e
			}
		}
		return best
	}),
}

// plain sends each request at once to a server that is picked without any care, and again while the class allows it.
type plain struct {
	set   decision.Settings
	host  decision.Host
	rng   *rand.Rand
	truth Truth
	pick  func(*plain) decision.EndpointID
	ready []decision.EndpointID
	out   map[decision.EndpointID]int
	calls map[decision.RequestID]*call
	turn  int
}

type call struct {
	decision.Request
	until  time.Duration
	to     decision.EndpointID
	tries  int
	ran    bool
	lapsed bool
}

func simple(pick func(*plain) decision.EndpointID) NewPolicy {
	return func(set decision.Settings, seed uint64, host decision.Host, truth Truth) (Policy, error) {
		return &plain{
			set: set, host: host, rng: rand.New(rand.NewPCG(seed, 1)), truth: truth, pick: pick,
			out: map[decision.EndpointID]int{}, calls: map[decision.RequestID]*call{},
		}, nil
	}
}

func (p *plain) Targets(_ time.Duration, l decision.List) {
	for _, e := range l.Entries {
		kept := p.ready[:0]
		for _, id := range p.ready {
			if id != e.Endpoint {
				kept = append(kept, id)
			}
		}
		if p.ready = kept; e.State == decision.Ready {
			p.ready = append(p.ready, e.Endpoint)
		}
	}
}

func (p *plain) Request(now time.Duration, q decision.Request) {
	c := &call{Request: q, until: now + q.Remaining}
	p.calls[q.ID] = c
	p.send(now, c)
}

func (p *plain) send(now time.Duration, c *call) {
	safe := p.set.Classes[c.Class].Effect == decision.Safe
	if len(p.ready) == 0 || now >= c.until || p.set.MaxAttempts > 0 && c.tries >= p.set.MaxAttempts {
		delete(p.calls, c.ID)
		if safe || !c.ran {
			p.host.Refuse(c.ID, 0)
		} else {
			p.host.Fail(c.ID)
		}
		return
	}
	c.tries++
	c.to = p.pick(p)
	p.out[c.to]++
	p.host.Send(c.ID, c.to, 0, 0)
}

func (p *plain) Outcome(now time.Duration, o decision.Outcome) {
	p.out[o.Endpoint]--
	c := p.calls[o.ID]
	if c == nil {
		return
	}
	if o.Final || c.lapsed {
		delete(p.calls, o.ID)
		return
	}
	c.ran = c.ran || !o.Status.NeverRan()
	if c.ran && p.set.Classes[c.Class].Effect != decision.Safe {
		delete(p.calls, o.ID)
		p.host.Fail(o.ID)
		return
	}
	p.send(now, c)
}

func (p *plain) Timer(time.Duration, uint64) {}

func (p *plain) Abandoned(_ time.Duration, id decision.RequestID) {
	if c := p.calls[id]; c != nil {
		c.lapsed = true
	}
}
