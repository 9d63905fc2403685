package decision

import (
	"math"
	"time"
)

// smoothedRate is an exponentially smoothed rate, a second, and its recent peak, which fades over
// peakHoldWindows.
type smoothedRate struct {
	current   float64 // at the time at
	peakRate  float64 // at the time at
	updatedAt time.Duration
}

// add counts an event of the given size.
func (r *smoothedRate) add(now, window time.Duration, x float64) {
	dt := float64(now-r.updatedAt) / float64(window)
	r.current = r.current*math.Exp(-dt) + x/window.Seconds()
	r.peakRate = max(r.current, r.peakRate*math.Exp(-dt/peakHoldWindows))
	r.updatedAt = now
}

// value is the present rate.
func (r *smoothedRate) value(now, window time.Duration) float64 {
	return r.current * math.Exp(-float64(now-r.updatedAt)/float64(window))
}

// peak is the highest recent rate.
func (r *smoothedRate) peak(now, window time.Duration) float64 {
	return r.peakRate * math.Exp(-float64(now-r.updatedAt)/float64(window)/peakHoldWindows)
}

// decayingRate is a rate of events, smoothed over a time, or over the time since the first event where that
// is shorter.
type decayingRate struct {
	sum       float64 // events, less those that have faded
	updatedAt time.Duration
	firstAt   time.Duration
}

// add counts an event.
func (r *decayingRate) add(now, over time.Duration) {
	if r.sum == 0 {
		r.firstAt = now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.updatedAt)/float64(over)) + 1
	r.updatedAt = now
}

// value is the present rate, a second. A tenth of the smoothing time is taken to have passed at the least.
func (r *decayingRate) value(now, over time.Duration) float64 {
	known := 1 - math.Exp(-max(float64(now-r.firstAt)/float64(over), 0.1))
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(over)) / over.Seconds() / known
}

// runningMean is a mean in which each value has a weight, and the number of values, up to the inverse of
// that weight, that it rests on.
type runningMean struct{ mean, count float64 }

// add takes a value with its weight; while there are few values it is their arithmetic mean.
func (m *runningMean) add(x, weight float64) {
	m.count = min(m.count+1, 1/weight)
	m.mean += (x - m.mean) / m.count
}

// relativeTo is the ratio of this mean, of a machine kind, to that of one of its endpoints; 1 while either
// is unknown.
func (m runningMean) relativeTo(own runningMean) float64 {
	if own.count == 0 || m.count == 0 {
		return 1
	}
	return m.mean / own.mean
}

// moveTowards moves a latency by the mean of a window: by the weight of a rise, or by baseFallWeight where
// the mean is lower.
func moveTowards(latency, mean, rise float64) float64 {
	if mean < latency {
		rise = baseFallWeight
	}
	return latency + rise*(mean-latency)
}
