package routing

import (
	"math/rand/v2"
	"time"

	"dykering/internal/sessions"
)

// Mark is what a sidecar makes of an endpoint.
type Mark int

// The marks.
const (
	Usable   Mark = iota
	Ramping       // new, or back from isolation: drawn less often
	Isolated      // its connections broke: it gets one trial call at a time
	Leaving       // it gets no new calls
)

// Marks lists the marks.
func Marks() []Mark { return []Mark{Usable, Ramping, Isolated, Leaving} }

func (m Mark) String() string {
	switch m {
	case Usable:
		return "usable"
	case Ramping:
		return "ramping"
	case Isolated:
		return "isolated"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

const (
	// rampFor is how long a newcomer is drawn less often.
	rampFor = 2 * time.Second
	// rampFrom is the share of draws with which a newcomer begins.
	rampFrom = 0.25
	// firstIsolation doubles with each failed trial up to mostIsolation.
	firstIsolation = 250 * time.Millisecond
	mostIsolation  = 4 * time.Second
	// missingFor is how long the word of an endpoint that it has no such model counts against the table.
	missingFor = 400 * time.Millisecond
	// fullFor is how long an endpoint that was full is passed over.
	fullFor = 80 * time.Millisecond
	// departFor is how long an endpoint is kept that a new stream of updates does not name.
	departFor = 6 * time.Second
	// reportFor is how long an endpoint's own load report counts.
	reportFor = 2 * time.Second
	// othersFor is how long the word of control sidecars on the calls of others does.
	othersFor = 3 * time.Second
)

// Load is what an endpoint reports of itself.
type Load struct {
	Running, Waiting, Slots int
}

// Endpoint is what a sidecar knows of one incarnation of an endpoint.
type Endpoint struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Slots    int
	told     sessions.Endpoint
	mark     Mark
	inFlight int // own calls
	waiting  int // of them, those whose answer has not begun

	rampFrom   time.Duration // when its ramp began
	isolations int           // in a row
	trialAt    time.Duration // when an isolated endpoint may be tried
	trying     bool
	fullUntil  time.Duration
	absentAt   time.Duration // since when updates do not name it; 0 while they do
	missing    map[string]time.Duration
	load       Load
	loadAt     time.Duration
	loadOwn    int     // own calls when the load was reported
	others     float64 // what other sidecars have it do, as control sidecars say
	othersAt   time.Duration
	history    history
}

// Pool is the endpoints that a sidecar knows.
type Pool struct {
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
	random   *rand.Rand
	begun    time.Duration // when the first endpoints were told; those are no newcomers
	told     bool
	// gone are the endpoints that have deregistered, and since when they are known to have. An id is that of one incarnation:
	// a control sidecar that names it again has not heard of its end yet.
	gone map[string]time.Duration
	// Connected tells whether there is an idle connection to an endpoint; nil where that is not known.
	Connected func(id string) bool
}

const (
	// rememberGone is how long an endpoint that has deregistered is remembered, and mostGone how many are.
	rememberGone = time.Minute
	mostGone     = 16384
)

// NewPool makes an empty pool.
func NewPool(random *rand.Rand) *Pool {
	return &Pool{byID: map[string]*Endpoint{}, services: map[string][]*Endpoint{}, random: random, gone: map[string]time.Duration{}}
}

// Update takes what control sidecars say. Whole tells that endpoints which are not named are not known there.
func (p *Pool) Update(now time.Duration, told []sessions.Endpoint, whole bool) {
	named := map[string]bool{}
	for i := range told {
		named[told[i].ID] = true
		p.take(now, &told[i])
	}
	if whole {
		for id, e := range p.byID {
			if !named[id] && e.absentAt == 0 {
				e.absentAt = now
			}
		}
	}
	if len(told) > 0 && !p.told {
		p.told, p.begun = true, now
	}
}

func (p *Pool) take(now time.Duration, told *sessions.Endpoint) {
	if told.State == sessions.Departed {
		p.forget(now, told.ID)
		return
	}
	if _, gone := p.gone[told.ID]; gone {
		return
	}
	e := p.byID[told.ID]
	if e == nil {
		e = &Endpoint{ID: told.ID, Address: told.Heartbeat.Address, Service: told.Heartbeat.Service, missing: map[string]time.Duration{}}
		if p.told && now-p.begun > rampFor {
			e.mark, e.rampFrom = Ramping, now
		}
		p.byID[e.ID] = e
		p.services[e.Service] = append(p.services[e.Service], e)
	}
	e.told, e.absentAt = *told, 0
	e.Zone, e.Slots = told.Heartbeat.Zone, told.Heartbeat.Slots
	if told.State == sessions.Draining {
		e.mark = Leaving
	}
}

// forget takes out an endpoint that has deregistered, for good.
func (p *Pool) forget(now time.Duration, id string) {
	if len(p.gone) < mostGone {
		p.gone[id] = now
	}
	if e := p.byID[id]; e != nil {
		p.remove(e)
	}
}

func (p *Pool) remove(e *Endpoint) {
	e.mark = Leaving
	delete(p.byID, e.ID)
	kept := p.services[e.Service][:0:0]
	for _, other := range p.services[e.Service] {
		if other != e {
			kept = append(kept, other)
		}
	}
	p.services[e.Service] = kept
}

// Age forgets endpoints that have not been named for long, and those that have long gone.
func (p *Pool) Age(now time.Duration) {
	for id, since := range p.gone {
		if now-since > rememberGone {
			delete(p.gone, id)
		}
	}
	for _, e := range p.byID {
		if e.absentAt != 0 && now-e.absentAt > departFor {
			p.remove(e)
		}
	}
}

// InFlight is the own calls to an endpoint.
func (e *Endpoint) InFlight() int { return e.inFlight }

// Mark is what the sidecar makes of an endpoint.
func (e *Endpoint) Mark() Mark { return e.mark }

// Find finds an endpoint.
func (p *Pool) Find(id string) *Endpoint { return p.byID[id] }

// Marks counts the endpoints by their marks.
func (p *Pool) Marks() map[Mark]int {
	counts := map[Mark]int{}
	for _, e := range p.byID {
		counts[e.mark]++
	}
	return counts
}

// Count tells how many endpoints of a service there are.
func (p *Pool) Count(service string) int { return len(p.services[service]) }
