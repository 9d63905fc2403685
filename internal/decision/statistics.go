package decision

import (
	"time"
)

// class is a class of requests with its latency statistics.
type class struct {
	Class
	meanLatency   float64       // smoothed latency in seconds
	baseLatency   float64       // latency at little load, in seconds
	usualLatency  float64       // latency at the usual load, in seconds
	tailRatio     float64       // 99th percentile of the latency, in mean latencies
	windows       int           // number of complete windows of answers
	windowSum     float64       // sum of the latencies in the current window, in seconds
	windowAnswers int           // number of answers in the current window
	windowStart   time.Duration // start of the current window
	maxRemaining  time.Duration // longest remaining time of a request so far
	requests      float64       // number of recent requests
	onTime        float64       // recent requests that were answered within their latency target
	marginalValue float64       // increase of the site's score per unit of work served
}

// updateBase moves the base and the usual latency towards the mean of a window. It skips the first window,
// which contains only the answers to the first, short calls: a base latency learned from it would keep nearly
// all requests in the queue. The base latency follows the lowest windows and settles well below the mean of a
// lightly loaded tier. Latency pressure is therefore relative to the usual latency.
func (c *class) updateBase(mean float64) {
	c.windows++
	if c.windows <= baseSkippedWindows+1 {
		c.usualLatency, c.baseLatency = mean, mean
		return
	}
	c.usualLatency = moveTowards(c.usualLatency, mean, usualRiseWeight)
	c.baseLatency = moveTowards(c.baseLatency, mean, baseRiseWeight)
}

// recordLatency adds the latency of an answer to the statistics of its class and its endpoint, and to the
// rates.
func (b *Balancer) recordLatency(now time.Duration, r *request, e *endpoint, latency time.Duration) {
	c, s := r.class, latency.Seconds()
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
	capacity := b.usableCapacity(now)
	b.baseLoad.add(now, b.rateWindow, c.baseLatency/capacity)
	b.slackLoad.add(now, b.rateWindow, slackShare*max(c.LatencyTarget.Seconds()-c.baseLatency, 0)/capacity)
	b.recordLatencyRatio(e, s/c.meanLatency)
	b.answerRate.add(now, b.rateWindow, 1)
}

// recordLoadReport adds the service time that an endpoint reports to the statistics. One or two reports show
// how fast a machine is. The latency of calls does not, because it includes the time of the tiers below.
func (b *Balancer) recordLoadReport(e *endpoint, load *Load) {
	if load == nil || load.Service <= 0 {
		return
	}
	for len(b.kindServiceTime) <= e.machineKind {
		b.kindServiceTime = append(b.kindServiceTime, runningMean{})
	}
	// After the first reports, a slower one gets an eighth of the weight, so that the mean follows the faster
	// ones.
	kindMean := &b.kindServiceTime[e.machineKind]
	if s := load.Service.Seconds(); kindMean.count*kindMeanWeight < 0.5 || s < kindMean.mean {
		kindMean.add(s, kindMeanWeight)
	} else {
		kindMean.add(s, kindMeanWeight/8)
	}
	e.serviceTime.add(load.Service.Seconds(), reportMeanWeight)
}

// recordLatencyRatio adds the latency of an answer, relative to the mean of its class, to the latency ratios
// of its endpoint and of the endpoint's machine kind. The ratio of the kind stands in for endpoints that are
// rarely called.
func (b *Balancer) recordLatencyRatio(e *endpoint, ratio float64) {
	if e.machineKind >= len(b.kindLatency) {
		b.kindLatency = append(b.kindLatency, make([]runningMean, e.machineKind+1-len(b.kindLatency))...)
	}
	b.kindLatency[e.machineKind].add(ratio, kindMeanWeight)
	e.latencyRatio.add(ratio, endpointMeanWeight)
}

// relativeLatency returns the latency of an endpoint divided by the latency of the tier. While the endpoint
// has few answers, the result is close to the ratio of its machine kind.
func (b *Balancer) relativeLatency(e *endpoint) float64 {
	own := &e.latencyRatio
	return (kindPriorAnswers*b.kindLatencyRatio(e) + own.count*own.mean) / (kindPriorAnswers + own.count)
}

// kindLatencyRatio returns the latency of the endpoint's machine kind divided by the latency of the tier. The
// result is 1 while there are too few answers.
func (b *Balancer) kindLatencyRatio(e *endpoint) float64 {
	if e.machineKind < len(b.kindLatency) && b.kindLatency[e.machineKind].count >= kindPriorAnswers {
		return b.kindLatency[e.machineKind].mean
	}
	return 1
}

// recordError adds an answer to the error rates of its endpoint and of the tier. errorValue is 1 for an error
// and 0 for a good answer; weight applies to the rate of the endpoint.
func (b *Balancer) recordError(e *endpoint, errorValue, weight float64) {
	e.errorRate += weight * (errorValue - e.errorRate)
	b.errorRate += fleetErrorWeight * (errorValue - b.errorRate)
}
