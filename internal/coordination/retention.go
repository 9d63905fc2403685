package coordination

import "time"

// Retention determines the age of the history by sampling the revisions of the groups at the head. It is volatile and belongs
// to one member. As a new head starts without samples, it keeps the history for longer than necessary, but never for less.
type Retention struct {
	// keep is the minimum time for which an event is kept.
	keep time.Duration
	// samples are the recorded revisions, the oldest first.
	samples []revisionSample
}

// revisionSample has the revisions of all groups at one time.
type revisionSample struct {
	at        time.Duration
	revisions map[string]uint64
}

// NewRetention returns a Retention without samples.
func NewRetention(keep time.Duration) *Retention { return &Retention{keep: keep} }

// Reset drops all samples. The caller calls it while the member is not the head.
func (r *Retention) Reset() { r.samples = nil }

// Sample records the current revisions of the groups. It returns the revisions by group up to which the history is older than
// the time to keep it, or nil if there is nothing to drop.
func (r *Retention) Sample(now time.Duration, state *State) (floors map[string]uint64) {
	sample := revisionSample{at: now, revisions: map[string]uint64{}}
	for iterator := state.groups.Iterator(); !iterator.Done(); {
		name, g, _ := iterator.Next()
		sample.revisions[name] = g.revision
	}
	r.samples = append(r.samples, sample)
	for len(r.samples) > 0 && now-r.samples[0].at > r.keep {
		floors = r.samples[0].revisions
		r.samples = r.samples[1:]
	}
	return withoutReachedFloors(floors, state)
}

// withoutReachedFloors returns the floors that are above the current floors of their groups, or nil if there are none.
func withoutReachedFloors(floors map[string]uint64, state *State) map[string]uint64 {
	var rising map[string]uint64
	for name, floor := range floors {
		if g, known := state.groups.Get(name); known && floor > g.floor {
			if rising == nil {
				rising = map[string]uint64{}
			}
			rising[name] = floor
		}
	}
	return rising
}
