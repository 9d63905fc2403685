package placement

import (
	"math"
	"slices"
	"time"
)

// LoadLedger accounts for the rate limit of the store that model weights are loaded from. It records the start of each load
// in the last window, and computes how many more loads may start.
//
// The store permits rate * window * overshoot + rateLimitSlack loads in any window. The ledger permits only rate * window
// loads. The difference allows for loads that start later than recorded, and for loads that a previous lease holder has
// started without reporting them. A LoadLedger is not safe for concurrent use.
type LoadLedger struct {
	window    time.Duration
	overshoot float64
	startedAt []time.Duration
}

// NewLoadLedger returns an empty ledger. The window is the one of the store's rate limit; overshoot is the factor by which
// the store's limit exceeds the nominal rate.
func NewLoadLedger(window time.Duration, overshoot float64) *LoadLedger {
	return &LoadLedger{window: window, overshoot: overshoot}
}

// RecordStart records that a load starts now.
func (l *LoadLedger) RecordStart(now time.Duration) { l.startedAt = append(l.startedAt, now) }

// Reschedule changes the recorded start of a load from recordedAt to now. It does nothing if no load is recorded at recordedAt.
func (l *LoadLedger) Reschedule(recordedAt, now time.Duration) {
	if i := slices.Index(l.startedAt, recordedAt); i >= 0 {
		l.startedAt[i] = now
	}
}

// Ages returns the time since the start of each load in the window, in the order in which the loads were recorded.
func (l *LoadLedger) Ages(now time.Duration) []time.Duration {
	l.removeExpired(now)
	ages := make([]time.Duration, len(l.startedAt))
	for i, at := range l.startedAt {
		ages[i] = now - at
	}
	return ages
}

// Available returns the number of loads that may start now under a rate limit in loads per second.
func (l *LoadLedger) Available(now time.Duration, loadsPerSecond float64) int {
	l.removeExpired(now)
	recent := 0
	for _, at := range l.startedAt {
		if now-at < burstWindow {
			recent++
		}
	}
	inWindow := l.windowLimit(loadsPerSecond) - len(l.startedAt)
	inBurst := l.burstLimit(loadsPerSecond) - recent
	return max(min(inWindow, inBurst), 0)
}

// AssumeUnreported records the loads that a previous lease holder may have started without reporting them. It takes the time
// lastReportAt of that holder's last report and the time until at which its lease had ended. It records the maximum number of
// loads that the holder could have started in between, at the time until, minus the loads that the store permits in addition
// to those of a ledger.
//
// Without these records, a new lease holder could start a full window of loads right after its predecessor has done the same,
// and exceed the store's limit.
func (l *LoadLedger) AssumeUnreported(lastReportAt, until time.Duration, loadsPerSecond float64) {
	unused := l.storeLimit(loadsPerSecond) - l.windowLimit(loadsPerSecond)
	bursts := int(math.Ceil(float64(max(until-lastReportAt, 0)) / float64(burstWindow)))
	unreported := bursts * l.burstLimit(loadsPerSecond)
	for range max(min(unreported, l.windowLimit(loadsPerSecond))-unused, 0) {
		l.startedAt = append(l.startedAt, until)
	}
}

// AssumeFullWindow records the loads that a previous lease holder may have started if none of its reports has been received.
func (l *LoadLedger) AssumeFullWindow(until time.Duration, loadsPerSecond float64) {
	l.AssumeUnreported(until-l.window, until, loadsPerSecond)
}

// windowLimit returns the number of loads that the ledger permits in a window.
func (l *LoadLedger) windowLimit(loadsPerSecond float64) int {
	return max(int(loadsPerSecond*l.window.Seconds()), 1)
}

// burstLimit returns the number of loads that the ledger permits within burstWindow.
func (l *LoadLedger) burstLimit(loadsPerSecond float64) int {
	return int(math.Ceil(loadsPerSecond*burstFactor*burstWindow.Seconds())) + 1
}

// storeLimit returns the number of loads that the store permits in any window.
func (l *LoadLedger) storeLimit(loadsPerSecond float64) int {
	return int(math.Floor(loadsPerSecond*l.window.Seconds()*l.overshoot)) + rateLimitSlack
}

// removeExpired removes the loads that started before the window.
func (l *LoadLedger) removeExpired(now time.Duration) {
	l.startedAt = slices.DeleteFunc(l.startedAt, func(at time.Duration) bool { return now-at > l.window })
}

// ConcurrentLoads returns the number of simultaneous loads that the store serves at full speed: the number of loads that the
// rate limit permits during a load of loadSeconds. It is at least 1.
func ConcurrentLoads(loadsPerSecond, loadSeconds float64) int {
	return int(math.Max(math.Ceil(loadsPerSecond*loadSeconds), 1))
}
