package decision

import (
	"time"
)

// Snapshot holds the statistics of a process for its successor. Without them, a process that starts on an
// overloaded tier would learn the latencies of the overload as those of little load. Times are relative,
// because the clocks of the two processes differ. The JSON keys are fixed, because processes of different
// builds exchange snapshots.
type Snapshot struct {
	Classes          []ClassSnapshot    `json:"classes"` // in the order of Settings.Classes
	Endpoints        []EndpointSnapshot `json:"endpoints,omitempty"`
	KindLatency      []MeanSnapshot     `json:"kinds,omitempty"`    // by machine kind: relative latency
	KindServiceTime  []MeanSnapshot     `json:"services,omitempty"` // by machine kind: service time, s
	BaseLoad         RateSnapshot       `json:"rate"`               // see Balancer.baseLoad
	SlackLoad        RateSnapshot       `json:"spare"`              // see Balancer.slackLoad
	AnswerRate       RateSnapshot       `json:"served"`
	RequestRate      RateSnapshot       `json:"asked"`
	WarmSends        RateSnapshot       `json:"warm"`             // per unit of draw weight
	ErrorRate        float64            `json:"errors"`           // share of answers that are errors
	MissingShare     float64            `json:"strays"`           // share of lost calls that are never answered
	RetryTokens      float64            `json:"budget"`           // retries that the budget allows
	MeanRetryElapsed float64            `json:"repeatSpent"`      // seconds
	TenantTokens     []float64          `json:"shares,omitempty"` // in the order of Settings.Tenants
}

// ClassSnapshot holds the statistics of a class; latencies are in seconds.
type ClassSnapshot struct {
	Name         string        `json:"name"`
	Windows      int           `json:"windows"` // number of complete windows; 0 without statistics
	MeanLatency  float64       `json:"mean"`
	BaseLatency  float64       `json:"base"`
	UsualLatency float64       `json:"usual"`
	TailRatio    float64       `json:"tail"` // in mean latencies
	MaxRemaining time.Duration `json:"maxLeft"`
	Requests     float64       `json:"asked"` // recent requests
	OnTime       float64       `json:"good"`  // recent requests that were answered within the latency target
}

// EndpointSnapshot holds the statistics and the state of an endpoint.
type EndpointSnapshot struct {
	ID           EndpointID    `json:"id"`
	LatencyRatio MeanSnapshot  `json:"pace"`    // latency divided by the mean of the class
	ServiceTime  MeanSnapshot  `json:"service"` // reported service time in seconds
	ErrorRate    float64       `json:"errors,omitempty"`
	LossRate     float64       `json:"losses,omitempty"`
	Ejected      bool          `json:"isolated,omitempty"`
	InSlowStart  bool          `json:"ramping,omitempty"`
	SlowStartAge time.Duration `json:"ramped,omitempty"` // time since the warm-up began
}

// MeanSnapshot holds a mean and the number of answers that it includes.
type MeanSnapshot struct {
	Mean  float64 `json:"mean"`
	Count float64 `json:"n"`
}

// RateSnapshot holds a rate per second and its recent peak.
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
		snapshot := e.snapshot(now)
		if len(s.Endpoints) < maxSnapshotEndpoints && snapshot != (EndpointSnapshot{ID: e.id}) {
			s.Endpoints = append(s.Endpoints, snapshot)
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

// restore sets the statistics of a class from a snapshot and starts a new window of answers.
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

// Restore sets the statistics from a snapshot of the preceding process, unless this process has seen at least
// as many latency windows itself: the process that has observed the tier for longer is more likely to have
// seen it at little load. If any value is invalid, nothing is restored, and the error names that value.
func (b *Balancer) Restore(now time.Duration, s Snapshot) error {
	if err := s.validate(b.classes); err != nil {
		return err
	}
	ownWindows, snapshotWindows := 0, 0
	for i, c := range b.classes {
		ownWindows += c.windows
		snapshotWindows += s.Classes[i].Windows
	}
	if snapshotWindows <= ownWindows {
		return nil
	}
	for i, class := range s.Classes {
		b.classes[i].restore(now, class)
	}
	b.kindLatency, b.kindServiceTime = restoreMeans(s.KindLatency), restoreMeans(s.KindServiceTime)
	for _, e := range s.Endpoints {
		b.restoreEndpoint(now, e)
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

// rate returns the smoothed rate of a snapshot, as of now.
func (s RateSnapshot) rate(now time.Duration) smoothedRate {
	return smoothedRate{current: s.Current, peakRate: s.Peak, updatedAt: now}
}

// restoreMeans converts snapshots to means.
func restoreMeans(snapshots []MeanSnapshot) (means []runningMean) {
	for _, s := range snapshots {
		means = append(means, runningMean{s.Mean, s.Count})
	}
	return means
}

// restoreEndpoint sets the statistics and the state of an endpoint from a snapshot. It skips an endpoint that
// is not in the list of this process, or whose machine kind was not in the list of the preceding process.
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
		b.eject(now, e, reasonRestored)
	} else if s.InSlowStart && e.state == stateUsable {
		b.startSlowStart(now, e, now-s.SlowStartAge)
	}
}
