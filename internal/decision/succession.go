package decision

import (
	"fmt"
	"math"
	"time"
)

// This file holds what a process of an instance tells the one that takes its place: the figures that it has learnt,
// and the calls that it still has in flight. Without the first, a process that starts on a crowded tier takes
// crowded latencies for those at little load; without the second, two processes each fill the tier to its limit.

// Learnt are the figures of a process. All times are relative, as the processes' clocks differ.
type Snapshot struct {
	Classes      []ClassSnapshot    `json:"classes"` // in the order of the settings
	Endpoints    []EndpointSnapshot `json:"endpoints,omitempty"`
	Kinds        []MeanSnapshot     `json:"kinds,omitempty"`    // by machine kind: latency over its class's mean
	Services     []MeanSnapshot     `json:"services,omitempty"` // and reported seconds of service
	Rate         RateSnapshot       `json:"rate"`               // base latencies answered a second, for each endpoint
	Spare        RateSnapshot       `json:"spare"`              // and the time from them to the aim
	Served       RateSnapshot       `json:"served"`             // answers a second
	Asked        RateSnapshot       `json:"asked"`              // requests a second
	Warm         RateSnapshot       `json:"warm"`               // sends a second to warm endpoints, for their odds
	Errors       float64            `json:"errors"`             // share of answers that are errors
	MissingShare float64            `json:"strays"`             // share of overdue calls that stay away
	Budget       float64            `json:"budget"`             // further attempts
	RepeatSpent  float64            `json:"repeatSpent"`        // seconds
	TenantTokens []float64          `json:"shares,omitempty"`   // requests that each tenant may have at once
}

// LearntClass are the figures of a class; latencies are in seconds.
type ClassSnapshot struct {
	Name    string        `json:"name"`
	Windows int           `json:"windows"` // looked at; 0 says that nothing is known
	Mean    float64       `json:"mean"`
	Base    float64       `json:"base"`
	Usual   float64       `json:"usual"`
	Tail    float64       `json:"tail"` // in means
	MaxLeft time.Duration `json:"maxLeft"`
	Asked   float64       `json:"asked"`
	Good    float64       `json:"good"`
}

// LearntEndpoint are the figures of an endpoint.
type EndpointSnapshot struct {
	ID      EndpointID   `json:"id"`
	Pace    MeanSnapshot `json:"pace"`
	Service MeanSnapshot `json:"service"`
	Errors  float64      `json:"errors,omitempty"`
	Losses  float64      `json:"losses,omitempty"`
	// Isolated says that it gets trial calls only; Ramping that it starts or is back, since Ramped.
	Isolated bool          `json:"isolated,omitempty"`
	Ramping  bool          `json:"ramping,omitempty"`
	Ramped   time.Duration `json:"ramped,omitempty"`
}

// LearntPace is a mean and the answers that it rests on.
type MeanSnapshot struct {
	Mean float64 `json:"mean"`
	N    float64 `json:"n"`
}

// LearntRate is a rate and its recent peak.
type RateSnapshot struct {
	Now  float64 `json:"now"`
	Peak float64 `json:"peak"`
}

// learntMost bounds the endpoints whose figures are told. What a successor is not told it learns.
const learntMost = 512

// predecessor is what the process before this one has in flight.
type predecessor struct {
	calls map[EndpointID]int
	out   int
	until time.Duration // it is believed until then
}

// Learnt tells what this process has learnt.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	rate := func(f *flow) RateSnapshot { return RateSnapshot{f.value(now, b.window), f.peak(now, b.window)} }
	l := Snapshot{Rate: rate(&b.rate), Spare: rate(&b.spare), Served: rate(&b.served), Asked: rate(&b.asked),
		Warm: rate(&b.warm), Errors: b.errors, MissingShare: b.strays, Budget: b.budget,
		RepeatSpent: b.repeatSpent, Kinds: told(b.kinds), Services: told(b.services)}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, ClassSnapshot{Name: c.Name, Windows: c.windows, Mean: c.mean, Base: c.base,
			Usual: c.usual, Tail: c.tail, MaxLeft: c.maxLeft, Asked: c.asked, Good: c.good})
	}
	for _, e := range b.listed {
		x := EndpointSnapshot{ID: e.id, Pace: MeanSnapshot{e.pace.mean, e.pace.n},
			Service: MeanSnapshot{e.service.mean, e.service.n}, Errors: e.errors, Losses: e.losses,
			Isolated: e.mark == isolated, Ramping: e.mark == ramping}
		if x.Ramping {
			x.Ramped = now - e.coldFrom
		}
		if len(l.Endpoints) < learntMost && x != (EndpointSnapshot{ID: e.id}) {
			l.Endpoints = append(l.Endpoints, x)
		}
	}
	for i := range b.tenants {
		b.tenants[i].spend(now, 0)
		l.TenantTokens = append(l.TenantTokens, b.tenants[i].level)
	}
	return l
}

func told(paces []pace) (l []MeanSnapshot) {
	for _, p := range paces {
		l = append(l, MeanSnapshot{p.mean, p.n})
	}
	return l
}

// Inherit takes the figures of the process before, unless this one has looked at its classes for as long: the one
// that saw the tier for longer saw it at little load. Of figures that cannot be, none is taken.
func (b *Balancer) Restore(now time.Duration, l Snapshot) error {
	if err := l.check(b.classes); err != nil {
		return err
	}
	own, theirs := 0, 0
	for i, c := range b.classes {
		own += c.windows
		theirs += l.Classes[i].Windows
	}
	if theirs <= own {
		return nil
	}
	for i, x := range l.Classes {
		c := &b.classes[i]
		c.mean, c.base, c.usual, c.tail, c.windows = x.Mean, x.Base, x.Usual, x.Tail, x.Windows
		c.sum, c.n, c.since = 0, 0, now
		c.maxLeft, c.asked, c.good = x.MaxLeft, x.Asked, x.Good
	}
	b.kinds, b.services = heard(l.Kinds), heard(l.Services)
	for _, x := range l.Endpoints {
		e := b.byID[x.ID]
		if e == nil || e.kind >= len(b.kinds) && x.Pace.N > 0 || e.kind >= len(b.services) && x.Service.N > 0 {
			continue // the lists differ
		}
		e.pace, e.service = pace{x.Pace.Mean, x.Pace.N}, pace{x.Service.Mean, x.Service.N}
		e.errors, e.losses = x.Errors, x.Losses
		b.heed(now, e, x)
	}
	for f, x := range map[*flow]RateSnapshot{&b.rate: l.Rate, &b.spare: l.Spare, &b.served: l.Served,
		&b.asked: l.Asked, &b.warm: l.Warm} {
		*f = flow{sum: x.Now, top: x.Peak, at: now}
	}
	b.errors, b.strays, b.repeatSpent = l.Errors, l.MissingShare, l.RepeatSpent
	b.budget = min(l.Budget, retryReserve)
	for i := range min(len(b.tenants), len(l.TenantTokens)) {
		b.tenants[i].hold(now, l.TenantTokens[i])
	}
	b.recount = true
	b.place(now)
	b.arm()
	return nil
}

func heard(l []MeanSnapshot) (paces []pace) {
	for _, p := range l {
		paces = append(paces, pace{p.Mean, p.N})
	}
	return paces
}

// hold sets what a bucket holds.
func (b *bucket) hold(now time.Duration, level float64) {
	b.level, b.at = min(max(level, -b.most), b.most), now
}

// check names the first figure that cannot be.
func (l *Snapshot) check(classes []class) error {
	if len(l.Classes) != len(classes) {
		return fmt.Errorf("learnt: %d classes, here are %d", len(l.Classes), len(classes))
	}
	type figure struct {
		key   string
		value float64
		most  float64
	}
	const huge = math.MaxFloat32
	figures := []figure{{"errors", l.Errors, 1}, {"strays", l.MissingShare, 1},
		{"budget", l.Budget, huge}, {"repeatSpent", l.RepeatSpent, huge}}
	for i, c := range l.Classes {
		if c.Name != classes[i].Name {
			return fmt.Errorf("learnt: classes[%d] is %q, here it is %q", i, c.Name, classes[i].Name)
		}
		key, longest := fmt.Sprintf("classes[%d].", i), huge
		if d := classes[i].Deadline; d > 0 {
			longest = d.Seconds() // more would make all that comes look long waited for
		}
		figures = append(figures, figure{key + "windows", float64(c.Windows), huge}, figure{key + "mean", c.Mean, huge},
			figure{key + "base", c.Base, huge}, figure{key + "usual", c.Usual, huge}, figure{key + "tail", c.Tail, huge},
			figure{key + "maxLeft", c.MaxLeft.Seconds(), longest}, figure{key + "asked", c.Asked, huge},
			figure{key + "good", c.Good, huge})
		if c.Windows > 0 && !(c.Mean > 0 && c.Base > 0 && c.Usual > 0 && c.Tail > 0) {
			return fmt.Errorf("learnt: %s a latency is not above 0", key)
		}
	}
	for _, x := range []struct {
		key string
		RateSnapshot
	}{{"rate", l.Rate}, {"spare", l.Spare}, {"served", l.Served}, {"asked", l.Asked}, {"warm", l.Warm}} {
		figures = append(figures, figure{x.key + ".now", x.Now, huge}, figure{x.key + ".peak", x.Peak, huge})
	}
	addPace := func(key string, p MeanSnapshot) error {
		figures = append(figures, figure{key + ".mean", p.Mean, huge}, figure{key + ".n", p.N, huge})
		if p.N > 0 && !(p.Mean > 0) {
			return fmt.Errorf("learnt: %s.mean is not above 0", key)
		}
		return nil
	}
	for _, list := range []struct {
		key   string
		paces []MeanSnapshot
	}{{"kinds", l.Kinds}, {"services", l.Services}} {
		for i, p := range list.paces {
			if err := addPace(fmt.Sprintf("%s[%d]", list.key, i), p); err != nil {
				return err
			}
		}
	}
	for i, e := range l.Endpoints {
		key := fmt.Sprintf("endpoints[%d].", i)
		if err := addPace(key+"pace", e.Pace); err != nil {
			return err
		}
		if err := addPace(key+"service", e.Service); err != nil {
			return err
		}
		figures = append(figures, figure{key + "errors", e.Errors, 1}, figure{key + "losses", e.Losses, 1},
			figure{key + "ramped", e.Ramped.Seconds(), huge})
	}
	for i, s := range l.TenantTokens {
		figures = append(figures, figure{fmt.Sprintf("shares[%d]", i), math.Abs(s), huge})
	}
	for _, f := range figures {
		if !(f.value >= 0 && f.value <= f.most) {
			return fmt.Errorf("learnt: %s: %v is not from 0 to %v", f.key, f.value, f.most)
		}
	}
	return nil
}

// Calls tells how many calls this process has in flight at each endpoint that it may call, less those that it does
// not expect to be answered.
func (b *Balancer) InFlight() map[EndpointID]int {
	calls := map[EndpointID]int{}
	for _, e := range b.listed {
		if n := len(e.calls) + e.coming - e.lost; n > 0 && e.mark != isolated {
			calls[e.id] = n
		}
	}
	return calls
}

// Beside takes what the process before has in flight. It counts as this one's until the next word of it, and no
// longer than until the given time, as a process that dies says nothing.
func (b *Balancer) SetPredecessorCalls(now time.Duration, calls map[EndpointID]int, until time.Duration) {
	b.elder = predecessor{calls: calls, until: until}
	for id, n := range calls {
		if b.byID[id] != nil {
			b.elder.out += max(n, 0)
		}
	}
	b.place(now)
	b.arm()
}

// at is what it has in flight at an endpoint.
func (p *predecessor) at(now time.Duration, e *endpoint) int {
	if now > p.until {
		return 0
	}
	return max(p.calls[e.id], 0)
}

// all is what it has in flight at all endpoints.
func (p *predecessor) all(now time.Duration) int {
	if now > p.until {
		return 0
	}
	return p.out
}
