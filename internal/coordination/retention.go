package coordination

import "time"

// Retention is since when the head has seen each group at a revision, so that history is dropped by its age. It is volatile
// and belongs to one member: a new head keeps the history for longer, never for shorter.
type Retention struct {
	// keep is how long an event is kept at least.
	keep time.Duration
	// samples are the revisions of the groups at some times, the oldest first.
	samples []revisionSample
}

type revisionSample struct {
	at        time.Duration
	revisions map[string]uint64
}

// NewRetention returns the retention of a member that has seen nothing yet.
func NewRetention(keep time.Duration) *Retention { return &Retention{keep: keep} }

// Reset forgets what was seen. It is called while the member is not the head.
func (r *Retention) Reset() { r.samples = nil }

// Sample notes the revisions of the groups, and returns those up to which the history is older than the time to keep it; nil
// for none.
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

// withoutReachedFloors returns the floors that are above those of the state; nil for none.
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
