package routing

import "time"

// Slow start: an endpoint that is new, or whose ejection has ended, is sampled with a weight that grows linearly to 1. Its
// caches and connections warm up before it gets as much load as the others.
const (
	// slowStartDuration is the time in which the sample weight grows to 1.
	slowStartDuration = 2 * time.Second
	// slowStartMinWeight is the sample weight at the start.
	slowStartMinWeight = 0.25
)

// sampleWeight returns the probability with which a drawn endpoint becomes a candidate. It also ends a slow start whose
// duration is over: the state becomes Available.
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
