package decision

import (
	"time"
)

// class is a class of request with what was seen of its latency.
type class struct {
	Class
	meanLatency   float64 // seconds, smoothed
	baseLatency   float64 // seconds, at little load
	usualLatency  float64 // seconds, at a usual load
	tailRatio     float64 // means that one answer in a hundred passes
	windowSum     float64
	windowAnswers int
	windowStart   time.Duration // start of the window that sum and n cover
	windows       int           // looked at so far
	maxRemaining  time.Duration
	marginalValue float64 // of serving one more of it
	requests      float64 // requests of late,
	onTime        float64 // and those of them answered within their aim
}

// look moves the base latency by the mean of a window. The first window holds only the short ones of the
// first calls, and is passed over: a base learnt from it would hold back nearly everything.
func (c *class) updateBase(mean float64) {
	c.windows++
	// The base latency comes to lie well under the mean of an easy tier, as it follows the lowest windows;
	// strain measured against it held calls back on quiet days.
	if c.windows <= baseSkippedWindows+1 {
		c.usualLatency, c.baseLatency = mean, mean
		return
	}
	c.usualLatency = moveTowards(c.usualLatency, mean, usualRiseWeight)
	c.baseLatency = moveTowards(c.baseLatency, mean, baseRiseWeight)
}

// learn takes an answer's latency into the class's figures and the rates.
func (b *Balancer) recordLatency(now time.Duration, r *request, e *endpoint, took time.Duration) {
	c, s := r.class, took.Seconds()
	if c.meanLatency == 0 {
		c.meanLatency, c.baseLatency = s, s
	}
	if c.tailRatio -= tailStep * tailQuantile; s > (c.tailRatio+tailStep)*c.meanLatency {
		c.tailRatio += tailStep
	}
	c.meanLatency += classMeanWeight * (s - c.meanLatency)
	c.windowSum += s
	c.windowAnswers++
	if c.windows == 0 {
		c.baseLatency = c.windowSum / float64(c.windowAnswers)
		c.usualLatency = c.baseLatency
	}
	if c.windowAnswers >= baseWindowAnswers && now-c.windowStart >= b.rateWindow {
		c.updateBase(c.windowSum / float64(c.windowAnswers))
		c.windowSum, c.windowAnswers, c.windowStart = 0, 0, now
	}
	able := b.usableCapacity(now)
	b.baseLoad.add(now, b.rateWindow, c.baseLatency/able)
	b.slackLoad.add(now, b.rateWindow, slackShare*max(c.LatencyTarget.Seconds()-c.baseLatency, 0)/able)
	b.recordLatencyRatio(e, s/c.meanLatency)
	b.answerRate.add(now, b.rateWindow, 1)
}

// report takes the service time that an endpoint reports. It tells how fast a machine is within an answer or
// two; the latency of calls does not, as it holds the time of the tiers below.
func (b *Balancer) recordLoadReport(now time.Duration, e *endpoint, l *Load) {
	if l == nil || l.Service <= 0 {
		return
	}
	for len(b.kindServiceTime) <= e.kind {
		b.kindServiceTime = append(b.kindServiceTime, runningMean{})
	}
	k := &b.kindServiceTime[e.kind]
	if s := l.Service.Seconds(); k.count*kindMeanWeight < 0.5 || s < k.mean {
		k.add(s, kindMeanWeight)
	} else {
		k.add(s, kindMeanWeight/8)
	}
	e.serviceTime.add(l.Service.Seconds(), reportMeanWeight)
}

// notePace takes an answer's latency, over the mean of its class, into the pace of its endpoint and of all
// endpoints of its kind: an endpoint that is seldom called is judged by its kind.
func (b *Balancer) recordLatencyRatio(e *endpoint, slow float64) {
	if e.kind >= len(b.kindLatency) {
		b.kindLatency = append(b.kindLatency, make([]runningMean, e.kind+1-len(b.kindLatency))...)
	}
	b.kindLatency[e.kind].add(slow, kindMeanWeight)
	e.latencyRatio.add(slow, endpointMeanWeight)
}

// slow is an endpoint's latency over the fleet's, drawn towards its kind's while its own answers are few.
func (b *Balancer) relativeLatency(e *endpoint) float64 {
	return (kindPriorAnswers*b.kindLatencyRatio(e) + e.latencyRatio.count*e.latencyRatio.mean) / (kindPriorAnswers + e.latencyRatio.count)
}

// kindPace is the latency over the fleet's of an endpoint's kind; 1 while too few answers tell.
func (b *Balancer) kindLatencyRatio(e *endpoint) float64 {
	if e.kind < len(b.kindLatency) && b.kindLatency[e.kind].count >= kindPriorAnswers {
		return b.kindLatency[e.kind].mean
	}
	return 1
}

// noteError takes an answer into the error shares of its endpoint and the fleet.
func (b *Balancer) recordError(e *endpoint, x, weight float64) {
	e.errorRate += weight * (x - e.errorRate)
	b.errorRate += fleetErrorWeight * (x - b.errorRate)
}

// demandWindows is how many rate windows a broker's demand is averaged over: one that is rarely asked has few requests.
const demandRateWindows = 10
