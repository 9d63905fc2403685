package decision

import (
	"math"
	"time"
)

// smoothedRate is an exponentially smoothed rate per second and its recent peak, which decays with the time
// constant peakHoldWindows.
type smoothedRate struct {
	current   float64 // at updatedAt
	peakRate  float64 // at updatedAt
	updatedAt time.Duration
}

// add counts an event of the given size.
func (r *smoothedRate) add(now, window time.Duration, size float64) {
	elapsedWindows := float64(now-r.updatedAt) / float64(window)
	r.current = r.current*math.Exp(-elapsedWindows) + size/window.Seconds()
	r.peakRate = max(r.current, r.peakRate*math.Exp(-elapsedWindows/peakHoldWindows))
	r.updatedAt = now
}

// value returns the current rate.
func (r *smoothedRate) value(now, window time.Duration) float64 {
	return r.current * math.Exp(-float64(now-r.updatedAt)/float64(window))
}

// peak returns the highest recent rate, after its decay.
func (r *smoothedRate) peak(now, window time.Duration) float64 {
	return r.peakRate * math.Exp(-float64(now-r.updatedAt)/float64(window)/peakHoldWindows)
}

// decayingRate is a rate of events, smoothed over a given duration or over the time since the first event,
// whichever is shorter.
type decayingRate struct {
	sum       float64 // exponentially decayed number of events
	updatedAt time.Duration
	firstAt   time.Duration
}

// add counts one event.
func (r *decayingRate) add(now, over time.Duration) {
	if r.sum == 0 {
		r.firstAt = now
	}
	r.sum = r.sum*math.Exp(-float64(now-r.updatedAt)/float64(over)) + 1
	r.updatedAt = now
}

// value returns the current rate per second. It assumes that at least a tenth of the smoothing time has
// passed since the first event.
func (r *decayingRate) value(now, over time.Duration) float64 {
	coveredShare := 1 - math.Exp(-max(float64(now-r.firstAt)/float64(over), 0.1))
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(over)) / over.Seconds() / coveredShare
}

// runningMean is a weighted mean, and the number of values that it includes, up to the inverse of the weight
// of a value.
type runningMean struct{ mean, count float64 }

// add includes a value with the given weight. While the count is below the inverse of the weight, the mean is
// the arithmetic mean.
func (m *runningMean) add(value, weight float64) {
	m.count = min(m.count+1, 1/weight)
	m.mean += (value - m.mean) / m.count
}

// relativeTo returns the ratio of this mean, of a machine kind, to the mean of one of its endpoints. The
// result is 1 while either mean is unknown.
func (m runningMean) relativeTo(own runningMean) float64 {
	if own.count == 0 || m.count == 0 {
		return 1
	}
	return m.mean / own.mean
}

// moveTowards returns a latency moved towards the mean of a window: with riseWeight if the mean is higher, or
// with baseFallWeight if it is lower.
func moveTowards(latency, mean, riseWeight float64) float64 {
	weight := riseWeight
	if mean < latency {
		weight = baseFallWeight
	}
	return latency + weight*(mean-latency)
}
