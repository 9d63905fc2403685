package decision

import (
	"math"
	"time"
)

// flow is an exponentially smoothed rate and its recent peak.
type smoothedRate struct {
	current, peakRate float64
	at                time.Duration
}

func (f *smoothedRate) add(now, window time.Duration, x float64) {
	dt := float64(now-f.at) / float64(window)
	f.current = f.current*math.Exp(-dt) + x/window.Seconds()
	f.peakRate = max(f.current, f.peakRate*math.Exp(-dt/peakHoldWindows))
	f.at = now
}

// value is the present rate.
func (f *smoothedRate) value(now, window time.Duration) float64 {
	return f.current * math.Exp(-float64(now-f.at)/float64(window))
}

// peak is the highest rate of late.
func (f *smoothedRate) peak(now, window time.Duration) float64 {
	return f.peakRate * math.Exp(-float64(now-f.at)/float64(window)/peakHoldWindows)
}

// average is a rate of events, smoothed over a time, or since the first of them where that is shorter.
type decayingRate struct {
	sum         float64 // events, less those that have faded
	at, firstAt time.Duration
}

func (a *decayingRate) add(now, over time.Duration) {
	if a.sum == 0 {
		a.firstAt = now
	}
	a.sum = a.sum*math.Exp(-float64(now-a.at)/float64(over)) + 1
	a.at = now
}

// value is the present rate; until a tenth of the time has passed that is taken to have.
func (a *decayingRate) value(now, over time.Duration) float64 {
	known := 1 - math.Exp(-max(float64(now-a.firstAt)/float64(over), 0.1))
	return a.sum * math.Exp(-float64(now-a.at)/float64(over)) / over.Seconds() / known
}

// pace is a smoothed latency ratio and the number of answers, up to a limit, that it rests on.
type runningMean struct{ mean, count float64 }

func (p *runningMean) add(x, weight float64) {
	p.count = min(p.count+1, 1/weight)
	p.mean += (x - p.mean) / p.count
}

// over is the ratio of a kind's mean to that of one of its endpoints; 1 while nothing is known of it.
func (p runningMean) relativeTo(own runningMean) float64 {
	if own.count == 0 || p.count == 0 {
		return 1
	}
	return p.mean / own.mean
}

// follow moves a latency towards a mean: faster where that is lower.
func moveTowards(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseFallWeight
	}
	return latency + rise*(mean-latency)
}
