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
	// ceilingShare is the part of the ceiling that is used: what an order that was not answered has begun is counted as
	// well, but not when it did.
	ceilingShare = 0.9
	// ceilingSlack is how many loads any window may have beyond the ceiling.
	ceilingSlack = 3
)

// NewLedger makes a ledger for a window.
func NewLedger(window time.Duration, overshoot float64) *Ledger {
	return &Ledger{window: window, overshoot: overshoot}
}

// Begin notes a load.
func (l *Ledger) Begin(now time.Duration) { l.begun = append(l.begun, now) }

// Assume notes as many loads as a predecessor may have begun until a time, less those that the ceiling leaves beyond
// what it used.
func (l *Ledger) Assume(until time.Duration, perS float64) {
	most := l.most(perS)
	for range max(2*most-l.ceiling(perS), 0) {
		l.begun = append(l.begun, until)
	}
}

func (l *Ledger) most(perS float64) int {
	return int(math.Max(math.Floor(perS*l.window.Seconds()*ceilingShare), 1))
}

func (l *Ledger) ceiling(perS float64) int {
	return int(math.Floor(perS*l.window.Seconds()*l.overshoot)) + ceilingSlack
}

// Room is how many loads may begin now.
func (l *Ledger) Room(now time.Duration, perS float64) int {
	kept := l.begun[:0]
	for _, at := range l.begun {
		if now-at <= l.window {
			kept = append(kept, at)
		}
	}
	l.begun = kept
	return max(l.most(perS)-len(l.begun), 0)
}

// AtOnce is how many loads the store carries at full speed: as many as it allows to begin while one takes its time.
func AtOnce(perS, loadSeconds float64) int {
	return int(math.Max(math.Ceil(perS*loadSeconds), 1))
}
