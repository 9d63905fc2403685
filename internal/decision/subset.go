package decision

import (
	"math"
	"slices"
)

// count notes which endpoints are in this instance's subset, and with what part of their weight. Many
// instances that each call every endpoint fill its connection table with idle connections, and know nothing
// of any. The subsets tile a ring of the listed weights by ordinal, so that together they reach each endpoint
// in proportion to its weight, few as one instance's endpoints are; an instance that has isolated some goes
// on along the ring. Endpoints that leave are no part of it: when many left at once, their shares fell to the
// few that came after them.
func (b *Balancer) updateSubset() {
	b.checkWeights()
	b.subsetStale = false
	for _, e := range b.subset {
		e.subsetWeight = 0
	}
	b.subset = b.subset[:0]
	total, n := 0.0, 0.0
	for _, e := range b.listed {
		if e.state != stateDraining {
			total += b.weight(e)
			n++
		}
	}
	even := min(max(callersPerEndpoint*n/float64(b.settings.Instances), minSubset), n)
	b.subsetSize = min(max(even, b.demandedSubset), n)
	need := total * b.subsetSize / n
	_, at := math.Modf(float64(b.position) * even / n)
	at *= total
	eps := total * 1e-9
	for i := 0; need > eps && i < 2*len(b.listed); i++ {
		e := b.listed[i%len(b.listed)]
		if e.state == stateDraining {
			continue
		}
		w := b.weight(e)
		if at > w-eps {
			at -= w
			continue
		}
		take := min(w-max(at, 0)-e.subsetWeight, need)
		at = 0
		if take < eps {
			continue
		}
		if e.subsetWeight == 0 {
			b.subset = append(b.subset, e)
		}
		e.subsetWeight += take
		if e.state <= stateSlowStart {
			need -= take
		}
	}
	sortByID(b.subset)
}

// mostWeight is more than any weight can be: with one that cannot, a list tells nothing of sizes.
const maxListedWeight = 1e6

// weigh notes, where weights or endpoints are others than before, whether the listed weights are all such as can be, and tell endpoints apart.
func (b *Balancer) checkWeights() {
	if !b.weightsChanged {
		return
	}
	b.weightsChanged = false
	apart := func(e *endpoint) bool { return e.weight != b.listed[0].weight }
	none := func(e *endpoint) bool { return !(e.weight > 0 && e.weight <= maxListedWeight) }
	b.weighted = slices.ContainsFunc(b.listed, apart) && !slices.ContainsFunc(b.listed, none)
}

// scatter is an instance's place among all: numbers that follow each other lie far apart, in steps of the golden
// section. Instances of one hall are numbered in a row; when callers came to that hall, their subsets, side by
// side on the ring, filled up one part of a tier.
func ringPosition(ordinal, instances int) int {
	step := max(int(0.618034*float64(instances)), 1)
	for gcd(step, instances) != 1 {
		step++
	}
	return ordinal % instances * step % instances
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
