package decision

import (
	"time"
)

// Snapshot is the statistics of a process, which its successor starts from. Without it a process that
// starts on an overloaded tier would learn overloaded latencies as those of little load. Times are
// relative, as the processes' clocks differ. The JSON keys are fixed: processes of different builds
// exchange snapshots.
type Snapshot struct {
	Classes          []ClassSnapshot    `json:"classes"` // in the order of Settings.Classes
	Endpoints        []EndpointSnapshot `json:"endpoints,omitempty"`
	KindLatency      []MeanSnapshot     `json:"kinds,omitempty"`    // by machine kind: latency over the class's mean
	KindServiceTime  []MeanSnapshot     `json:"services,omitempty"` // by machine kind: reported seconds of service
	BaseLoad         RateSnapshot       `json:"rate"`               // base latencies answered, for each endpoint
	SlackLoad        RateSnapshot       `json:"spare"`              // share of the time from there to the target
	AnswerRate       RateSnapshot       `json:"served"`
	RequestRate      RateSnapshot       `json:"asked"`
	WarmSends        RateSnapshot       `json:"warm"`             // for each unit of warm draw weight
	ErrorRate        float64            `json:"errors"`           // share of answers that are errors
	MissingShare     float64            `json:"strays"`           // share of lost calls that go missing
	RetryTokens      float64            `json:"budget"`           // further attempts that may be made
	MeanRetryElapsed float64            `json:"repeatSpent"`      // seconds
	TenantTokens     []float64          `json:"shares,omitempty"` // in the order of Settings.Tenants
}

// ClassSnapshot is the statistics of a class; latencies are in seconds.
type ClassSnapshot struct {
	Name         string        `json:"name"`
	Windows      int           `json:"windows"` // seen so far; 0 where nothing is known
	MeanLatency  float64       `json:"mean"`
	BaseLatency  float64       `json:"base"`
	UsualLatency float64       `json:"usual"`
	TailRatio    float64       `json:"tail"` // in mean latencies
	MaxRemaining time.Duration `json:"maxLeft"`
	Requests     float64       `json:"asked"` // recent ones
	OnTime       float64       `json:"good"`  // of them, those answered within their latency target
}

// EndpointSnapshot is the statistics and the state of an endpoint.
type EndpointSnapshot struct {
	ID           EndpointID    `json:"id"`
	LatencyRatio MeanSnapshot  `json:"pace"`    // latency over the class's mean
	ServiceTime  MeanSnapshot  `json:"service"` // reported seconds of service
	ErrorRate    float64       `json:"errors,omitempty"`
	LossRate     float64       `json:"losses,omitempty"`
	Ejected      bool          `json:"isolated,omitempty"`
	InSlowStart  bool          `json:"ramping,omitempty"`
	SlowStartAge time.Duration `json:"ramped,omitempty"` // since its warm-up began
}

// MeanSnapshot is a mean and the number of answers that it rests on.
type MeanSnapshot struct {
	Mean  float64 `json:"mean"`
	Count float64 `json:"n"`
}

// RateSnapshot is a rate, a second, and its recent peak.
type RateSnapshot struct {
	Current float64 `json:"now"`
	Peak    float64 `json:"peak"`
}

// Snapshot returns the statistics of this process.
func (b *Balancer) Snapshot(now time.Duration) Snapshot {
	rate := func(r *smoothedRate) RateSnapshot {
		return RateSnapshot{r.value(now, b.rateWindow), r.peak(now, b.rateWindow)}
	}
	s := Snapshot{
		KindLatency:      snapshotMeans(b.kindLatency),
		KindServiceTime:  snapshotMeans(b.kindServiceTime),
		BaseLoad:         rate(&b.baseLoad),
		SlackLoad:        rate(&b.slackLoad),
		AnswerRate:       rate(&b.answerRate),
		RequestRate:      rate(&b.requestRate),
		WarmSends:        rate(&b.warmSends),
		ErrorRate:        b.errorRate,
		MissingShare:     b.missingShare,
		RetryTokens:      b.retryTokens,
		MeanRetryElapsed: b.meanRetryElapsed,
	}
	for i := range b.classes {
		s.Classes = append(s.Classes, b.classes[i].snapshot())
	}
	for _, e := range b.listed {
		x := e.snapshot(now)
		if len(s.Endpoints) < maxSnapshotEndpoints && x != (EndpointSnapshot{ID: e.id}) {
			s.Endpoints = append(s.Endpoints, x)
		}
	}
	for i := range b.tenants {
		b.tenants[i].spend(now, 0)
		s.TenantTokens = append(s.TenantTokens, b.tenants[i].level)
	}
	return s
}

// snapshot returns the statistics of a class.
func (c *class) snapshot() ClassSnapshot {
	return ClassSnapshot{
		Name:         c.Name,
		Windows:      c.windows,
		MeanLatency:  c.meanLatency,
		BaseLatency:  c.baseLatency,
		UsualLatency: c.usualLatency,
		TailRatio:    c.tailRatio,
		MaxRemaining: c.maxRemaining,
		Requests:     c.requests,
		OnTime:       c.onTime,
	}
}

// restore takes the statistics of a class; its window of answers begins anew.
func (c *class) restore(now time.Duration, s ClassSnapshot) {
	c.windows = s.Windows
	c.meanLatency = s.MeanLatency
	c.baseLatency = s.BaseLatency
	c.usualLatency = s.UsualLatency
	c.tailRatio = s.TailRatio
	c.maxRemaining = s.MaxRemaining
	c.requests = s.Requests
	c.onTime = s.OnTime
	c.windowSum, c.windowAnswers, c.windowStart = 0, 0, now
}

// snapshot returns the statistics and the state of an endpoint.
func (e *endpoint) snapshot(now time.Duration) EndpointSnapshot {
	s := EndpointSnapshot{
		ID:           e.id,
		LatencyRatio: MeanSnapshot{e.latencyRatio.mean, e.latencyRatio.count},
		ServiceTime:  MeanSnapshot{e.serviceTime.mean, e.serviceTime.count},
		ErrorRate:    e.errorRate,
		LossRate:     e.lossRate,
		Ejected:      e.state == stateEjected,
		InSlowStart:  e.state == stateSlowStart,
	}
	if s.InSlowStart {
		s.SlowStartAge = now - e.slowStartFrom
	}
	return s
}

// snapshotMeans converts means to their snapshots.
func snapshotMeans(means []runningMean) (snapshots []MeanSnapshot) {
	for _, m := range means {
		snapshots = append(snapshots, MeanSnapshot{m.mean, m.count})
	}
	return snapshots
}

// Restore takes the statistics of the preceding process, unless this one has seen as many latency windows
// itself: the one that has seen the tier for longer saw it at little load. Where any value is impossible
// none is taken, and the error names it.
func (b *Balancer) Restore(now time.Duration, s Snapshot) error {
	if err := s.validate(b.classes); err != nil {
		return err
	}
	own, theirs := 0, 0
	for i, c := range b.classes {
		own += c.windows
		theirs += s.Classes[i].Windows
	}
	if theirs <= own {
		return nil
	}
	for i, class := range s.Classes {
		b.classes[i].restore(now, class)
	}
	b.kindLatency, b.kindServiceTime = restoreMeans(s.KindLatency), restoreMeans(s.KindServiceTime)
	for _, x := range s.Endpoints {
		b.restoreEndpoint(now, x)
	}
	b.baseLoad = s.BaseLoad.rate(now)
	b.slackLoad = s.SlackLoad.rate(now)
	b.answerRate = s.AnswerRate.rate(now)
	b.requestRate = s.RequestRate.rate(now)
	b.warmSends = s.WarmSends.rate(now)
	b.errorRate, b.missingShare, b.meanRetryElapsed = s.ErrorRate, s.MissingShare, s.MeanRetryElapsed
	b.retryTokens = min(s.RetryTokens, maxRetryTokens)
	for i := range min(len(b.tenants), len(s.TenantTokens)) {
		b.tenants[i].setLevel(now, s.TenantTokens[i])
	}
	b.subsetStale = true
	b.dispatch(now)
	b.startTick()
	return nil
}

// rate converts a snapshot back to a rate.
func (s RateSnapshot) rate(now time.Duration) smoothedRate {
	return smoothedRate{current: s.Current, peakRate: s.Peak, updatedAt: now}
}

// restoreMeans converts snapshots back to means.
func restoreMeans(snapshots []MeanSnapshot) (means []runningMean) {
	for _, s := range snapshots {
		means = append(means, runningMean{s.Mean, s.Count})
	}
	return means
}

// restoreEndpoint takes the statistics and the state that an endpoint had at the preceding process. It is
// skipped where that had another list: the endpoint is unknown here, or its machine kind was unknown there.
func (b *Balancer) restoreEndpoint(now time.Duration, s EndpointSnapshot) {
	e := b.byID[s.ID]
	if e == nil {
		return
	}
	if e.machineKind >= len(b.kindLatency) && s.LatencyRatio.Count > 0 ||
		e.machineKind >= len(b.kindServiceTime) && s.ServiceTime.Count > 0 {
		return
	}
	e.latencyRatio = runningMean{s.LatencyRatio.Mean, s.LatencyRatio.Count}
	e.serviceTime = runningMean{s.ServiceTime.Mean, s.ServiceTime.Count}
	e.errorRate, e.lossRate = s.ErrorRate, s.LossRate
	if s.Ejected && b.mayEject() {
		b.eject(now, e, "by the process before")
	} else if s.InSlowStart && e.state == stateUsable {
		b.startSlowStart(now, e, now-s.SlowStartAge)
	}
}
