package routing

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"dykering/internal/sessions"
)

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

// Choice is an endpoint that was picked, with the figures that it was compared by.
type Choice struct {
	ID       string
	OwnCalls int
	Work     float64 // of all sidecars, as far as it was known
}

// Choice tells the figures that an endpoint is compared by.
func (e *Endpoint) Choice(now time.Duration) Choice {
	return Choice{ID: e.ID, OwnCalls: e.inFlight, Work: e.work(now)}
}

// Pick draws random usable endpoints that hold what is asked for, and takes the one with the fewest own calls in flight.
func (p *Pool) Pick(now time.Duration, q Query) (*Endpoint, Verdict) {
	found := p.look(now, q)
	if verdict := found.verdict(); verdict != Picked {
		return nil, verdict
	}
	if e := p.trial(found.trials, len(found.usable)); e != nil {
		e.trying = true
		return e, Picked
	}
	if len(found.usable) == 0 {
		return nil, AllBusy
	}
	return p.draw(now, trusted(now, found.usable), q.Affinity), Picked
}

// holders are the endpoints of a service, by what may be sent to them.
type holders struct {
	alive     int // that may be called at all
	modelOnly int // of them, those that hold the model without the adapter
	held      int // of them, those that hold what is asked for
	usable    []*Endpoint
	trials    []*Endpoint // isolated ones that are due a trial call
}

// look sorts the endpoints of a service.
func (p *Pool) look(now time.Duration, q Query) holders {
	var found holders
	for _, e := range p.services[q.Service] {
		if e.mark == Leaving || e.told.State == sessions.Expired && e.mark == Isolated {
			continue
		}
		found.alive++
		if !e.holds(now, q) {
			if q.Adapter != "" && e.told.HasLoaded(q.Model, "") {
				found.modelOnly++
			}
			continue
		}
		found.held++
		switch {
		case q.Exclude[e.ID] || now < e.fullUntil:
		case e.mark != Isolated:
			found.usable = append(found.usable, e)
		case !e.trying && now >= e.trialAt:
			found.trials = append(found.trials, e)
		}
	}
	return found
}

// verdict is why nothing can be picked; Picked where something holds what is asked for.
func (h *holders) verdict() Verdict {
	switch {
	case h.alive == 0:
		return NoEndpoint
	case h.held == 0 && h.modelOnly > 0:
		return ModelOnly
	case h.held == 0:
		return NotHeld
	}
	return Picked
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
	return e.told.HasLoaded(q.Model, q.Adapter)
}

func missingKey(model, adapter string) string { return model + "/" + adapter }

const (
	// candidates is how many random endpoints a pick compares.
	candidates = 4
	// homes is how many endpoints those requests are kept to that share a beginning, while these are not behind others.
	homes = 2
	// sameWork is by how much the work of two endpoints may differ, as far as their own reports tell, for a tie.
	sameWork = 1
)

// draw compares random candidates and returns the one with the fewest own calls in flight.
func (p *Pool) draw(now time.Duration, usable []*Endpoint, affinity uint64) *Endpoint {
	best := p.drawOne(now, usable)
	consider := func(other *Endpoint) {
		if other != best && p.better(now, other, best, affinity) {
			best = other
		}
	}
	for range candidates - 1 {
		consider(p.drawOne(now, usable))
	}
	others := p.connectedAmong(usable)
	if affinity != 0 {
		others = highest(usable, affinity)
	}
	for _, other := range others {
		if p.random.Float64() <= other.drawShare(now) {
			consider(other)
		}
	}
	return best
}

// connectedAmong are the endpoints to which there is an idle connection.
func (p *Pool) connectedAmong(usable []*Endpoint) []*Endpoint {
	return lo.Filter(usable, func(e *Endpoint, _ int) bool { return p.connected(e) })
}

func (p *Pool) connected(e *Endpoint) bool { return p.Connected != nil && p.Connected(e.ID) }

// highest are the endpoints that rank highest for an affinity.
func highest(usable []*Endpoint, affinity uint64) []*Endpoint {
	var top []*Endpoint
	for range min(homes, len(usable)) {
		var next *Endpoint
		var nextRank uint64
		for _, e := range usable {
			if rank := rendezvous(affinity, e.ID); (next == nil || rank > nextRank) && !slices.Contains(top, e) {
				next, nextRank = e, rank
			}
		}
		top = append(top, next)
	}
	return top
}

// better compares two candidates: by own calls in flight, then by what the endpoints say that they have to do. A tie goes
// to the one that ranks higher for the affinity, so that requests which share a beginning tend to meet where it is kept;
// without one, to the one to which there is a connection.
func (p *Pool) better(now time.Duration, a, b *Endpoint, affinity uint64) bool {
	x, y := a.work(now), b.work(now)
	switch {
	case a.inFlight != b.inFlight:
		return a.inFlight < b.inFlight
	case math.Abs(x-y) > sameWork:
		return x < y
	case affinity == 0 && p.connected(a) != p.connected(b):
		return p.connected(a)
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
	return mix(hash.Sum64())
}

// mix spreads the last bytes of what was hashed over all bits, so that ranks are even.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// drawOne draws one endpoint, ramping ones less often.
func (p *Pool) drawOne(now time.Duration, usable []*Endpoint) *Endpoint {
	const tries = 8
	for range tries {
		e := usable[p.random.IntN(len(usable))]
		if p.random.Float64() <= e.drawShare(now) {
			return e
		}
	}
	return usable[p.random.IntN(len(usable))]
}

// drawShare is the part of draws that an endpoint takes.
func (e *Endpoint) drawShare(now time.Duration) float64 {
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
