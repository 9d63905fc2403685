package placement

import (
	"math"
	"slices"
	"time"
)

// LoadLedger is the accounting for the rate limit of the store that the weights of models are loaded from. It records when
// each load of the last window has started, and how many more may start.
//
// The store's limit is rate * window * overshoot + rateLimitSlack loads in any window. The ledger lets only rate * window
// loads start; the difference covers loads that start later than they were recorded, and loads that a predecessor has
// started without a successor's knowledge. It is not safe for concurrent use.
type LoadLedger struct {
	window    time.Duration
	overshoot float64
	startedAt []time.Duration
}

// NewLoadLedger returns an empty ledger for a window of the rate limit, and the factor by which the store's limit exceeds
// the nominal rate.
func NewLoadLedger(window time.Duration, overshoot float64) *LoadLedger {
	return &LoadLedger{window: window, overshoot: overshoot}
}

// RecordStart records that a load starts.
func (l *LoadLedger) RecordStart(now time.Duration) { l.startedAt = append(l.startedAt, now) }

// Reschedule records that a load which was recorded at one time starts only now. It does nothing if there is no such load.
func (l *LoadLedger) Reschedule(recordedAt, now time.Duration) {
	if i := slices.Index(l.startedAt, recordedAt); i >= 0 {
		l.startedAt[i] = now
	}
}

// Ages returns how long ago each load of the window has started, in the order in which they were recorded.
func (l *LoadLedger) Ages(now time.Duration) []time.Duration {
	l.removeExpired(now)
	ages := make([]time.Duration, len(l.startedAt))
	for i, at := range l.startedAt {
		ages[i] = now - at
	}
	return ages
}

// Available returns how many loads may start now, for a rate limit in loads a second.
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

// AssumeUnreported records, at the time until, as many loads as a predecessor may have started between its last report
// and until, when its lease had ended. The loads that the store's limit allows beyond what a ledger uses are subtracted.
//
// Without it a successor could start a full window of loads right after a predecessor that it was not informed of has done
// the same, and exceed the store's limit.
func (l *LoadLedger) AssumeUnreported(lastReportAt, until time.Duration, loadsPerSecond float64) {
	unused := l.storeLimit(loadsPerSecond) - l.windowLimit(loadsPerSecond)
	bursts := int(math.Ceil(float64(max(until-lastReportAt, 0)) / float64(burstWindow)))
	unreported := bursts * l.burstLimit(loadsPerSecond)
	for range max(min(unreported, l.windowLimit(loadsPerSecond))-unused, 0) {
		l.startedAt = append(l.startedAt, until)
	}
}

// AssumeFullWindow records as many loads as a predecessor may have started that has never reported any.
func (l *LoadLedger) AssumeFullWindow(until time.Duration, loadsPerSecond float64) {
	l.AssumeUnreported(until-l.window, until, loadsPerSecond)
}

// windowLimit is the number of loads that a ledger lets start in a window.
func (l *LoadLedger) windowLimit(loadsPerSecond float64) int {
	return max(int(loadsPerSecond*l.window.Seconds()), 1)
}

// burstLimit is the number of loads that a ledger lets start within burstWindow.
func (l *LoadLedger) burstLimit(loadsPerSecond float64) int {
	return int(math.Ceil(loadsPerSecond*burstFactor*burstWindow.Seconds())) + 1
}

// storeLimit is the number of loads that the store allows in any window.
func (l *LoadLedger) storeLimit(loadsPerSecond float64) int {
	return int(math.Floor(loadsPerSecond*l.window.Seconds()*l.overshoot)) + rateLimitSlack
}

// removeExpired removes the loads that have left the window.
func (l *LoadLedger) removeExpired(now time.Duration) {
	l.startedAt = slices.DeleteFunc(l.startedAt, func(at time.Duration) bool { return now-at > l.window })
}

// ConcurrentLoads is the number of loads that the store serves at full speed: as many as the rate limit lets start while
// one of a duration in seconds is in progress. It is at least 1.
func ConcurrentLoads(loadsPerSecond, loadSeconds float64) int {
	return int(math.Max(math.Ceil(loadsPerSecond*loadSeconds), 1))
}
