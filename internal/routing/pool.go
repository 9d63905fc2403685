package routing

import (
	"hash/fnv"
	"math"
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
}

// Pool is the endpoints that a sidecar knows.
type Pool struct {
	byID     map[string]*Endpoint
	services map[string][]*Endpoint
	random   *rand.Rand
	begun    time.Duration // when the first endpoints were told; those are no newcomers
	told     bool
}

// NewPool makes an empty pool.
func NewPool(random *rand.Rand) *Pool {
	return &Pool{byID: map[string]*Endpoint{}, services: map[string][]*Endpoint{}, random: random}
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
	e := p.byID[told.ID]
	if e == nil {
		if told.State == sessions.Gone {
			return
		}
		e = &Endpoint{ID: told.ID, Address: told.Heartbeat.Address, Service: told.Heartbeat.Service, missing: map[string]time.Duration{}}
		if p.told && now-p.begun > rampFor {
			e.mark, e.rampFrom = Ramping, now
		}
		p.byID[e.ID] = e
		p.services[e.Service] = append(p.services[e.Service], e)
	}
	e.told, e.absentAt = *told, 0
	e.Zone, e.Slots = told.Heartbeat.Zone, told.Heartbeat.Slots
	switch told.State {
	case sessions.Gone:
		p.remove(e)
	case sessions.Draining:
		e.mark = Leaving
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

// Age forgets endpoints that have not been named for long.
func (p *Pool) Age(now time.Duration) {
	for _, e := range p.byID {
		if e.absentAt != 0 && now-e.absentAt > departFor {
			p.remove(e)
		}
	}
}

// Query is what an endpoint is looked for.
type Query struct {
	Service string
	Model   string
	Adapter string
	// Affinity tells requests apart that share a beginning: those with the same one go to the same endpoints. 0 is none.
	Affinity uint64
	Exclude  map[string]bool
}

// Verdict is the result of a pick.
type Verdict int

// The verdicts.
const (
	Picked     Verdict = iota
	NoEndpoint         // the service has none that may be called
	NotHeld            // none holds the model or the adapter
	ModelOnly          // some hold the model, none the adapter
	AllBusy            // those that hold it are full or isolated
)

// Pick draws two random usable endpoints that hold what is asked for, and takes the one with fewer own calls in flight.
func (p *Pool) Pick(now time.Duration, q Query) (*Endpoint, Verdict) {
	var holders, usable, trials []*Endpoint
	alive, modelHeld := false, false
	for _, e := range p.services[q.Service] {
		if e.mark == Leaving || e.told.State == sessions.Silent && e.mark == Isolated {
			continue
		}
		alive = true
		if !e.holds(now, q) {
			modelHeld = modelHeld || q.Adapter != "" && e.told.Holds(q.Model, "")
			continue
		}
		holders = append(holders, e)
		switch {
		case q.Exclude[e.ID] || now < e.fullUntil:
		case e.mark == Isolated:
			if !e.trying && now >= e.trialAt {
				trials = append(trials, e)
			}
		default:
			usable = append(usable, e)
		}
	}
	switch {
	case !alive:
		return nil, NoEndpoint
	case len(holders) == 0 && modelHeld:
		return nil, ModelOnly
	case len(holders) == 0:
		return nil, NotHeld
	}
	if e := p.trial(trials, len(usable)); e != nil {
		e.trying = true
		return e, Picked
	}
	if len(usable) == 0 {
		return nil, AllBusy
	}
	return p.draw(now, usable, q.Affinity), Picked
}

// trial chooses an isolated endpoint that is due a trial call: always where nothing else is usable, else now and then.
func (p *Pool) trial(due []*Endpoint, usable int) *Endpoint {
	if len(due) == 0 || usable > 0 && p.random.IntN(usable+1) != 0 {
		return nil
	}
	return due[p.random.IntN(len(due))]
}

func (e *Endpoint) holds(now time.Duration, q Query) bool {
	if q.Model == "" {
		return true
	}
	if until, ok := e.missing[missingKey(q.Model, q.Adapter)]; ok && now < until {
		return false
	}
	return e.told.Holds(q.Model, q.Adapter)
}

func missingKey(model, adapter string) string { return model + "/" + adapter }

const (
	// candidates is how many random endpoints a pick compares.
	candidates = 4
	// sameWork is by how much the work of two endpoints may differ, as far as their own reports tell, for a tie.
	sameWork = 1
)

// draw compares random candidates and returns the one with the fewest own calls in flight.
func (p *Pool) draw(now time.Duration, usable []*Endpoint, affinity uint64) *Endpoint {
	best := p.random1(now, usable)
	for range candidates - 1 {
		if other := p.random1(now, usable); other != best && p.better(now, other, best, affinity) {
			best = other
		}
	}
	return best
}

// better compares two candidates: by own calls in flight, then by what the endpoints say that they have to do. A tie goes
// to the one that ranks higher for the affinity, so that requests which share a beginning tend to meet where it is kept;
// without one, to either.
func (p *Pool) better(now time.Duration, a, b *Endpoint, affinity uint64) bool {
	x, y := a.work(now), b.work(now)
	switch {
	case a.inFlight != b.inFlight:
		return a.inFlight < b.inFlight
	case math.Abs(x-y) > sameWork:
		return x < y
	case affinity != 0:
		return rendezvous(affinity, a.ID) > rendezvous(affinity, b.ID)
	case x != y:
		return x < y
	}
	return p.random.IntN(2) == 0
}

// rendezvous ranks endpoints for an affinity, alike at every sidecar.
func rendezvous(affinity uint64, id string) uint64 {
	hash := fnv.New64a()
	var key [8]byte
	for i := range key {
		key[i] = byte(affinity >> (8 * i))
	}
	hash.Write(key[:])
	hash.Write([]byte(id))
	return hash.Sum64()
}

// random1 draws one endpoint, ramping ones less often.
func (p *Pool) random1(now time.Duration, usable []*Endpoint) *Endpoint {
	const tries = 8
	for range tries {
		e := usable[p.random.IntN(len(usable))]
		if p.random.Float64() <= e.share(now) {
			return e
		}
	}
	return usable[p.random.IntN(len(usable))]
}

// share is the part of draws that an endpoint takes.
func (e *Endpoint) share(now time.Duration) float64 {
	if e.mark != Ramping {
		return 1
	}
	done := float64(now-e.rampFrom) / float64(rampFor)
	if done >= 1 {
		e.mark = Usable
		return 1
	}
	return rampFrom + (1-rampFrom)*max(done, 0)
}

// work is an endpoint's own calls in flight, with what others have it do: as control sidecars say, or as it has lately
// said itself.
func (e *Endpoint) work(now time.Duration) float64 {
	work := float64(e.inFlight)
	switch {
	case e.othersAt > 0 && now-e.othersAt < othersFor:
		work += e.others
	case e.loadAt > 0 && now-e.loadAt < reportFor:
		others := max(float64(e.load.Running+e.load.Waiting-e.loadOwn), 0)
		work += others * (1 - float64(now-e.loadAt)/float64(reportFor))
	}
	return work
}

// streamingWork is what a call whose answer has begun counts for, against one that waits.
const streamingWork = 0.2

// FleetLoad is the calls of all sidecars to an endpoint.
type FleetLoad struct{ InFlight, Waiting int }

// SetFleetLoads takes the calls of all sidecars. An endpoint that is not named has none.
func (p *Pool) SetFleetLoads(now time.Duration, loads map[string]FleetLoad) {
	for id, e := range p.byID {
		total := loads[id]
		waiting := max(total.Waiting-e.waiting, 0)
		streaming := max(total.InFlight-total.Waiting-(e.inFlight-e.waiting), 0)
		e.others, e.othersAt = float64(waiting)+streamingWork*float64(streaming), now
	}
}

// Calls lists the own calls, by endpoint.
func (p *Pool) Calls() map[string]FleetLoad {
	calls := map[string]FleetLoad{}
	for id, e := range p.byID {
		if e.inFlight > 0 {
			calls[id] = FleetLoad{InFlight: e.inFlight, Waiting: e.waiting}
		}
	}
	return calls
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
