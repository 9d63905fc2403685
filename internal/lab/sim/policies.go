package sim

import (
	"math/rand/v2"
	"time"

	"dykering/internal/decision"
)

// Policies contains the balancer and the policies with which it can be compared, by name.
var Policies = map[string]PolicyFactory{
	"dykering":    Balancer,
	"random":      baseline(func(p *baselinePolicy) decision.EndpointID { return p.ready[p.random.IntN(len(p.ready))] }),
	"round-robin": baseline(func(p *baselinePolicy) decision.EndpointID { p.next++; return p.ready[p.next%len(p.ready)] }),
	"two-choice": baseline(func(p *baselinePolicy) decision.EndpointID {
		a, b := p.ready[p.random.IntN(len(p.ready))], p.ready[p.random.IntN(len(p.ready))]
		if p.inFlight[b] < p.inFlight[a] {
			return b
		}
		return a
	}),
	// least is an upper bound, since it knows the true load of all servers.
	"least": baseline(func(p *baselinePolicy) decision.EndpointID {
		from := p.random.IntN(len(p.ready))
		best := p.ready[from]
		for i := range p.ready {
			if e := p.ready[(from+i)%len(p.ready)]; p.oracle.Load(e) < p.oracle.Load(best) {
				best = e
			}
		}
		return best
	}),
}

// baselinePolicy sends each request immediately to an endpoint that a simple rule chooses. It retries
// immediately while the class of the request allows a retry.
type baselinePolicy struct {
	settings decision.Settings
	host     decision.Host
	random   *rand.Rand
	oracle   Oracle
	pick     func(*baselinePolicy) decision.EndpointID
	ready    []decision.EndpointID
	inFlight map[decision.EndpointID]int
	calls    map[decision.RequestID]*call
	next     int
}

// call is an open request of a baselinePolicy.
type call struct {
	decision.Request
	deadline  time.Duration
	endpoint  decision.EndpointID
	attempts  int
	ran       bool // an attempt may have run
	abandoned bool
}

// baseline returns the factory of a baselinePolicy with a rule.
func baseline(pick func(*baselinePolicy) decision.EndpointID) PolicyFactory {
	return func(set decision.Settings, seed uint64, host decision.Host, truth Oracle) (Policy, error) {
		return &baselinePolicy{
			settings: set, host: host, random: rand.New(rand.NewPCG(seed, 1)), oracle: truth, pick: pick,
			inFlight: map[decision.EndpointID]int{}, calls: map[decision.RequestID]*call{},
		}, nil
	}
}

func (p *baselinePolicy) Targets(_ time.Duration, l decision.List) {
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

func (p *baselinePolicy) Request(now time.Duration, q decision.Request) {
	c := &call{Request: q, deadline: now + q.Remaining}
	p.calls[q.ID] = c
	p.send(now, c)
}

func (p *baselinePolicy) send(now time.Duration, c *call) {
	safe := p.settings.Classes[c.Class].Effect == decision.Safe
	if len(p.ready) == 0 || now >= c.deadline || p.settings.MaxAttempts > 0 && c.attempts >= p.settings.MaxAttempts {
		delete(p.calls, c.ID)
		if safe || !c.ran {
			p.host.Refuse(c.ID, 0)
		} else {
			p.host.Fail(c.ID)
		}
		return
	}
	c.attempts++
	c.endpoint = p.pick(p)
	p.inFlight[c.endpoint]++
	p.host.Send(c.ID, c.endpoint, 0, 0)
}

func (p *baselinePolicy) Outcome(now time.Duration, o decision.Outcome) {
	p.inFlight[o.Endpoint]--
	c := p.calls[o.ID]
	if c == nil {
		return
	}
	if o.Final || c.abandoned {
		delete(p.calls, o.ID)
		return
	}
	c.ran = c.ran || !o.Status.NeverRan()
	if c.ran && p.settings.Classes[c.Class].Effect != decision.Safe {
		delete(p.calls, o.ID)
		p.host.Fail(o.ID)
		return
	}
	p.send(now, c)
}

func (p *baselinePolicy) Timer(time.Duration, uint64) {}

func (p *baselinePolicy) Abandoned(_ time.Duration, id decision.RequestID) {
	if c := p.calls[id]; c != nil {
		c.abandoned = true
	}
}
