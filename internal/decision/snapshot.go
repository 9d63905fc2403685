package decision

import (
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

// heed takes what the process before an instance's has an endpoint open to.
func (b *Balancer) restoreEndpointState(now time.Duration, e *endpoint, x EndpointSnapshot) {
	if x.Isolated && b.mayEject() {
		b.eject(now, e, "by the process before")
	} else if x.Ramping && e.state == stateUsable {
		b.startSlowStart(now, e, now-x.Ramped)
	}
}
