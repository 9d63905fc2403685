package placement

import (
	"math"
	"time"
)

// Ledger keeps account of the loads of weights that have begun, so that they stay below the store's ceiling in every
// window.
type Ledger struct {
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

// NewLedger makes a ledger for a window.
func NewLedger(window time.Duration, overshoot float64) *Ledger {
	return &Ledger{window: window, overshoot: overshoot}
}

// Begin notes a load.
func (l *Ledger) Begin(now time.Duration) { l.begun = append(l.begun, now) }

// Delay notes that a load which was noted before begins only now.
func (l *Ledger) Delay(noted, now time.Duration) {
	for i, at := range l.begun {
		if at == noted {
			l.begun[i] = now
			return
		}
	}
}

// Ages tells how long ago the loads of the window began.
func (l *Ledger) Ages(now time.Duration) []time.Duration {
	l.forget(now)
	ages := make([]time.Duration, len(l.begun))
	for i, at := range l.begun {
		ages[i] = now - at
	}
	return ages
}

// Assume notes as many loads as a predecessor may have begun between the time at which its ledger was last heard of and
// the time at which it must have stopped, less those that the ceiling leaves beyond what is used of it.
func (l *Ledger) Assume(heard, until time.Duration, perS float64) {
	slack := l.ceiling(perS) - l.most(perS)
	unheard := int(math.Ceil(float64(max(until-heard, 0))/float64(paceWindow))) * l.pace(perS)
	for range max(min(unheard, l.most(perS))-slack, 0) {
		l.begun = append(l.begun, until)
	}
}

// AssumeMost notes as many loads as a predecessor may have begun of which nothing is known.
func (l *Ledger) AssumeMost(until time.Duration, perS float64) {
	l.Assume(until-l.window, until, perS)
}

// most is how many loads are begun in a window: what the ceiling allows beyond stays free for those that begin later than
// they are noted.
func (l *Ledger) most(perS float64) int {
	return max(int(perS*l.window.Seconds()), 1)
}

// pace is how many loads are begun in a short window.
func (l *Ledger) pace(perS float64) int {
	return int(math.Ceil(perS*paceShare*paceWindow.Seconds())) + 1
}

func (l *Ledger) ceiling(perS float64) int {
	return int(math.Floor(perS*l.window.Seconds()*l.overshoot)) + ceilingSlack
}

// forget drops the loads that no window counts any more.
func (l *Ledger) forget(now time.Duration) {
	kept := l.begun[:0]
	for _, at := range l.begun {
		if now-at <= l.window {
			kept = append(kept, at)
		}
	}
	l.begun = kept
}

// Room is how many loads may begin now.
func (l *Ledger) Room(now time.Duration, perS float64) int {
	l.forget(now)
	lately := 0
	for _, at := range l.begun {
		if now-at < paceWindow {
			lately++
		}
	}
	return max(min(l.most(perS)-len(l.begun), l.pace(perS)-lately), 0)
}

// AtOnce is how many loads the store carries at full speed: as many as it allows to begin while one takes its time.
func AtOnce(perS, loadSeconds float64) int {
	return int(math.Max(math.Ceil(perS*loadSeconds), 1))
}
