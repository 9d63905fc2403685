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
const maxSnapshotEndpoints = 512

// predecessor is what the process before this one has in flight.
type predecessorCalls struct {
	calls map[EndpointID]int
	total int
	until time.Duration // it is believed until then
}

// Learnt tells what this process has learnt.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	rate := func(f *smoothedRate) RateSnapshot {
		return RateSnapshot{f.value(now, b.rateWindow), f.peak(now, b.rateWindow)}
	}
	l := Snapshot{Rate: rate(&b.baseLoad), Spare: rate(&b.slackLoad), Served: rate(&b.answerRate), Asked: rate(&b.requestRate),
		Warm: rate(&b.warmSends), Errors: b.errorRate, MissingShare: b.missingShare, Budget: b.retryTokens,
		RepeatSpent: b.meanRetryElapsed, Kinds: snapshotMeans(b.kindLatency), Services: snapshotMeans(b.kindServiceTime)}
	for _, c := range b.classes {
		l.Classes = append(l.Classes, ClassSnapshot{Name: c.Name, Windows: c.windows, Mean: c.meanLatency, Base: c.baseLatency,
			Usual: c.usualLatency, Tail: c.tailRatio, MaxLeft: c.maxRemaining, Asked: c.requests, Good: c.onTime})
	}
	for _, e := range b.listed {
		x := EndpointSnapshot{ID: e.id, Pace: MeanSnapshot{e.latencyRatio.mean, e.latencyRatio.count},
			Service: MeanSnapshot{e.serviceTime.mean, e.serviceTime.count}, Errors: e.errorRate, Losses: e.lossRate,
			Isolated: e.state == stateEjected, Ramping: e.state == stateSlowStart}
		if x.Ramping {
			x.Ramped = now - e.slowStartFrom
		}
		if len(l.Endpoints) < maxSnapshotEndpoints && x != (EndpointSnapshot{ID: e.id}) {
			l.Endpoints = append(l.Endpoints, x)
		}
	}
	for i := range b.tenants {
		b.tenants[i].spend(now, 0)
		l.TenantTokens = append(l.TenantTokens, b.tenants[i].level)
	}
	return l
}

func snapshotMeans(paces []runningMean) (l []MeanSnapshot) {
	for _, p := range paces {
		l = append(l, MeanSnapshot{p.mean, p.count})
	}
	return l
}

// Inherit takes the figures of the process before, unless this one has looked at its classes for as long: the one
// that saw the tier for longer saw it at little load. Of figures that cannot be, none is taken.
func (b *Balancer) Restore(now time.Duration, l Snapshot) error {
	if err := l.validate(b.classes); err != nil {
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
		c.meanLatency, c.baseLatency, c.usualLatency, c.tailRatio, c.windows = x.Mean, x.Base, x.Usual, x.Tail, x.Windows
		c.windowSum, c.windowAnswers, c.windowStart = 0, 0, now
		c.maxRemaining, c.requests, c.onTime = x.MaxLeft, x.Asked, x.Good
	}
	b.kindLatency, b.kindServiceTime = restoreMeans(l.Kinds), restoreMeans(l.Services)
	for _, x := range l.Endpoints {
		e := b.byID[x.ID]
		if e == nil || e.kind >= len(b.kindLatency) && x.Pace.N > 0 || e.kind >= len(b.kindServiceTime) && x.Service.N > 0 {
			continue // the lists differ
		}
		e.latencyRatio, e.serviceTime = runningMean{x.Pace.Mean, x.Pace.N}, runningMean{x.Service.Mean, x.Service.N}
		e.errorRate, e.lossRate = x.Errors, x.Losses
		b.restoreEndpointState(now, e, x)
	}
	for f, x := range map[*smoothedRate]RateSnapshot{&b.baseLoad: l.Rate, &b.slackLoad: l.Spare, &b.answerRate: l.Served,
		&b.requestRate: l.Asked, &b.warmSends: l.Warm} {
		*f = smoothedRate{current: x.Now, peakRate: x.Peak, at: now}
	}
	b.errorRate, b.missingShare, b.meanRetryElapsed = l.Errors, l.MissingShare, l.RepeatSpent
	b.retryTokens = min(l.Budget, maxRetryTokens)
	for i := range min(len(b.tenants), len(l.TenantTokens)) {
		b.tenants[i].setLevel(now, l.TenantTokens[i])
	}
	b.subsetStale = true
	b.dispatch(now)
	b.startTick()
	return nil
}

func restoreMeans(l []MeanSnapshot) (paces []runningMean) {
	for _, p := range l {
		paces = append(paces, runningMean{p.Mean, p.N})
	}
	return paces
}

// hold sets what a bucket holds.
func (b *tokenBucket) setLevel(now time.Duration, level float64) {
	b.level, b.at = min(max(level, -b.capacity), b.capacity), now
}

// check names the first figure that cannot be.
func (l *Snapshot) validate(classes []class) error {
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
		if n := len(e.calls) + e.uploads - e.overdueCalls; n > 0 && e.state != stateEjected {
			calls[e.id] = n
		}
	}
	return calls
}

// Beside takes what the process before has in flight. It counts as this one's until the next word of it, and no
// longer than until the given time, as a process that dies says nothing.
func (b *Balancer) SetPredecessorCalls(now time.Duration, calls map[EndpointID]int, until time.Duration) {
	b.predecessor = predecessorCalls{calls: calls, until: until}
	for id, n := range calls {
		if b.byID[id] != nil {
			b.predecessor.total += max(n, 0)
		}
	}
	b.dispatch(now)
	b.startTick()
}

// at is what it has in flight at an endpoint.
func (p *predecessorCalls) at(now time.Duration, e *endpoint) int {
	if now > p.until {
		return 0
	}
	return max(p.calls[e.id], 0)
}

// all is what it has in flight at all endpoints.
func (p *predecessorCalls) sum(now time.Duration) int {
	if now > p.until {
		return 0
	}
	return p.total
}
