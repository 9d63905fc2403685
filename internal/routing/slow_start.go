package routing

import "time"

// Slow start: an endpoint that is new, or back from ejection, takes a share of the samples that grows linearly to its full
// share, so that its caches and connections warm up before it is as loaded as the others.
const (
	// slowStartDuration is how long the share grows. Half or double: not measured.
	slowStartDuration = 2 * time.Second
	// slowStartMinWeight is the share with which it starts. Half or double: not measured.
	slowStartMinWeight = 0.25
)

// sampleWeight is the probability with which an endpoint that was drawn is kept as a candidate. It ends a slow start whose
// time is over.
func (e *Endpoint) sampleWeight(now time.Duration) float64 {
	if e.state != SlowStart {
		return 1
	}
	elapsed := float64(now-e.slowStartSince) / float64(slowStartDuration)
	if elapsed >= 1 {
		e.state = Available
		return 1
	}
	return slowStartMinWeight + (1-slowStartMinWeight)*max(elapsed, 0)
}
