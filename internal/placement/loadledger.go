package placement

import (
	"math"
	"time"
)

// LoadLedger keeps account of the loads of weights that have begun, so that they stay below the store's ceiling in every
// window.
type LoadLedger struct {
	window    time.Duration
	overshoot float64 // by which the ceiling may be passed
	begun     []time.Duration
}

const (
	// ceilingSlack is how many loads any window may have beyond the ceiling.
	ceilingSlack = 3
	// paceWindow and paceShare bound how many loads begin in a short time: a successor that has not heard of the last ones
	// assumes no more than that.
	paceWindow = time.Second
	paceShare  = 1.2
)

// NewLoadLedger makes a ledger for a window.
func NewLoadLedger(window time.Duration, overshoot float64) *LoadLedger {
	return &LoadLedger{window: window, overshoot: overshoot}
}

// Begin notes a load.
func (l *LoadLedger) RecordStart(now time.Duration) { l.begun = append(l.begun, now) }

// Delay notes that a load which was noted before begins only now.
func (l *LoadLedger) Reschedule(noted, now time.Duration) {
	for i, at := range l.begun {
		if at == noted {
			l.begun[i] = now
			return
		}
	}
}

// Ages tells how long ago the loads of the window began.
func (l *LoadLedger) Ages(now time.Duration) []time.Duration {
	l.forget(now)
	ages := make([]time.Duration, len(l.begun))
	for i, at := range l.begun {
		ages[i] = now - at
	}
	return ages
}

// AssumeUnreported notes as many loads as a predecessor may have begun between the time at which its ledger was last heard of and
// the time at which it must have stopped, less those that the ceiling leaves beyond what is used of it.
func (l *LoadLedger) AssumeUnreported(heard, until time.Duration, perS float64) {
	slack := l.ceiling(perS) - l.most(perS)
	unheard := int(math.Ceil(float64(max(until-heard, 0))/float64(paceWindow))) * l.pace(perS)
	for range max(min(unheard, l.most(perS))-slack, 0) {
		l.begun = append(l.begun, until)
	}
}

// AssumeFullWindow notes as many loads as a predecessor may have begun of which nothing is known.
func (l *LoadLedger) AssumeFullWindow(until time.Duration, perS float64) {
	l.AssumeUnreported(until-l.window, until, perS)
}

// most is how many loads are begun in a window: what the ceiling allows beyond stays free for those that begin later than
// they are noted.
func (l *LoadLedger) most(perS float64) int {
	return max(int(perS*l.window.Seconds()), 1)
}

// pace is how many loads are begun in a short window.
func (l *LoadLedger) pace(perS float64) int {
	return int(math.Ceil(perS*paceShare*paceWindow.Seconds())) + 1
}

func (l *LoadLedger) ceiling(perS float64) int {
	return int(math.Floor(perS*l.window.Seconds()*l.overshoot)) + ceilingSlack
}

// forget drops the loads that no window counts any more.
func (l *LoadLedger) forget(now time.Duration) {
	kept := l.begun[:0]
	for _, at := range l.begun {
		if now-at <= l.window {
			kept = append(kept, at)
		}
	}
	l.begun = kept
}

// Room is how many loads may begin now.
func (l *LoadLedger) Available(now time.Duration, perS float64) int {
	l.forget(now)
	lately := 0
	for _, at := range l.begun {
		if now-at < paceWindow {
			lately++
		}
	}
	return max(min(l.most(perS)-len(l.begun), l.pace(perS)-lately), 0)
}

// ConcurrentLoads is how many loads the store carries at full speed: as many as it allows to begin while one takes its time.
func ConcurrentLoads(perS, loadSeconds float64) int {
	return int(math.Max(math.Ceil(perS*loadSeconds), 1))
}
