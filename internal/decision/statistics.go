package decision

import (
	"time"
)

// class is a class of requests with its statistics of latency.
type class struct {
	Class
	meanLatency   float64       // seconds, smoothed
	baseLatency   float64       // seconds, at little load
	usualLatency  float64       // seconds, at a usual load
	tailRatio     float64       // 99th percentile, in mean latencies
	windows       int           // windows of answers that are complete
	windowSum     float64       // seconds of latency in the present window
	windowAnswers int           // answers in it
	windowStart   time.Duration // its start
	maxRemaining  time.Duration // longest remaining time of a request so far
	requests      float64       // recent requests
	onTime        float64       // of them, those answered within their latency target
	marginalValue float64       // what serving one more unit of work adds to the site's score
}

// updateBase moves the base and the usual latency by the mean of a window. The first window has only the
// answers to the first calls, which are short, and is skipped: a base learned from it would hold back
// nearly everything. The base latency follows the lowest windows and comes to lie well under the mean of a
// lightly loaded tier, so pressure is measured against the usual latency instead.
func (c *class) updateBase(mean float64) {
	c.windows++
	if c.windows <= baseSkippedWindows+1 {
		c.usualLatency, c.baseLatency = mean, mean
		return
	}
	c.usualLatency = moveTowards(c.usualLatency, mean, usualRiseWeight)
	c.baseLatency = moveTowards(c.baseLatency, mean, baseRiseWeight)
}

// recordLatency takes an answer's latency into the statistics of its class and its endpoint and into the
// rates.
func (b *Balancer) recordLatency(now time.Duration, r *request, e *endpoint, took time.Duration) {
	c, s := r.class, took.Seconds()
	if c.meanLatency == 0 {
		c.meanLatency, c.baseLatency = s, s
	}
	if c.tailRatio -= tailStep * tailExceedance; s > (c.tailRatio+tailStep)*c.meanLatency {
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

// recordLoadReport takes the service time that an endpoint reports. It shows how fast a machine is within
// an answer or two; the latency of calls does not, as it includes the time of the tiers below.
func (b *Balancer) recordLoadReport(e *endpoint, l *Load) {
	if l == nil || l.Service <= 0 {
		return
	}
	for len(b.kindServiceTime) <= e.machineKind {
		b.kindServiceTime = append(b.kindServiceTime, runningMean{})
	}
	k := &b.kindServiceTime[e.machineKind]
	if s := l.Service.Seconds(); k.count*kindMeanWeight < 0.5 || s < k.mean {
		k.add(s, kindMeanWeight)
	} else {
		k.add(s, kindMeanWeight/8)
	}
	e.serviceTime.add(l.Service.Seconds(), reportMeanWeight)
}

// recordLatencyRatio takes an answer's latency, relative to the mean of its class, into the ratios of its
// endpoint and of the endpoint's machine kind: a rarely called endpoint is judged by its kind.
func (b *Balancer) recordLatencyRatio(e *endpoint, slow float64) {
	if e.machineKind >= len(b.kindLatency) {
		b.kindLatency = append(b.kindLatency, make([]runningMean, e.machineKind+1-len(b.kindLatency))...)
	}
	b.kindLatency[e.machineKind].add(slow, kindMeanWeight)
	e.latencyRatio.add(slow, endpointMeanWeight)
}

// relativeLatency is an endpoint's latency over the tier's, drawn towards that of its machine kind while
// its own answers are few.
func (b *Balancer) relativeLatency(e *endpoint) float64 {
	own := &e.latencyRatio
	return (kindPriorAnswers*b.kindLatencyRatio(e) + own.count*own.mean) / (kindPriorAnswers + own.count)
}

// kindLatencyRatio is the latency of an endpoint's machine kind over the tier's; 1 while there are too few
// answers.
func (b *Balancer) kindLatencyRatio(e *endpoint) float64 {
	if e.machineKind < len(b.kindLatency) && b.kindLatency[e.machineKind].count >= kindPriorAnswers {
		return b.kindLatency[e.machineKind].mean
	}
	return 1
}

// recordError takes an answer into the error rates of its endpoint and of the tier: x is 1 for an error and
// 0 for none.
func (b *Balancer) recordError(e *endpoint, x, weight float64) {
	e.errorRate += weight * (x - e.errorRate)
	b.errorRate += fleetErrorWeight * (x - b.errorRate)
}
