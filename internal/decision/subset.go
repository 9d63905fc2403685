package decision

import (
	"math"
	"slices"
)

// updateSubset selects the endpoints of this instance's subset, and the part of their weight that belongs to
// it. If many instances called every endpoint, idle connections would fill the connection tables of the
// endpoints, and no instance would get enough answers from any endpoint to judge it.
//
// The endpoints form a ring in which each takes up its weight. The subsets are segments of that ring, placed
// by the positions of the instances, so that together they reach each endpoint in proportion to its weight.
// An instance whose segment contains ejected endpoints extends it along the ring. Draining endpoints are not
// on the ring: otherwise, when many leave at the same time, their load falls on the few endpoints that follow
// them.
func (b *Balancer) updateSubset() {
	b.checkWeights()
	b.subsetStale = false
	for _, e := range b.subset {
		e.subsetWeight = 0
	}
	b.subset = b.subset[:0]
	totalWeight, endpoints := 0.0, 0.0
	for _, e := range b.listed {
		if e.state != stateDraining {
			totalWeight += b.weight(e)
			endpoints++
		}
	}
	evenSize := min(max(callersPerEndpoint*endpoints/float64(b.settings.Instances), minSubset), endpoints)
	b.subsetSize = min(max(evenSize, b.demandedSubset), endpoints)
	needed := totalWeight * b.subsetSize / endpoints
	_, skip := math.Modf(float64(b.position) * evenSize / endpoints)
	skip *= totalWeight // weight on the ring before the segment of this instance
	rounding := totalWeight * 1e-9
	for i := 0; needed > rounding && i < 2*len(b.listed); i++ {
		e := b.listed[i%len(b.listed)]
		if e.state == stateDraining {
			continue
		}
		weight := b.weight(e)
		if skip > weight-rounding {
			skip -= weight
			continue
		}
		taken := min(weight-max(skip, 0)-e.subsetWeight, needed)
		skip = 0
		if taken < rounding {
			continue
		}
		if e.subsetWeight == 0 {
			b.subset = append(b.subset, e)
		}
		e.subsetWeight += taken
		if e.state <= stateSlowStart {
			needed -= taken
		}
	}
	sortByID(b.subset)
}

// checkWeights updates hasListedWeights after a change of weights or endpoints: whether all listed weights
// are plausible and not all of them are equal.
func (b *Balancer) checkWeights() {
	if !b.weightsChanged {
		return
	}
	b.weightsChanged = false
	differs := func(e *endpoint) bool { return e.weight != b.listed[0].weight }
	isImplausible := func(e *endpoint) bool { return !(e.weight > 0 && e.weight <= maxListedWeight) }
	b.hasListedWeights = slices.ContainsFunc(b.listed, differs) && !slices.ContainsFunc(b.listed, isImplausible)
}

// ringPosition returns the position of an instance on the ring. Consecutive ordinals are spread out in steps
// of the golden ratio. Instances of one zone have consecutive ordinals: if their subsets were adjacent on the
// ring, callers that move to that zone would overload one part of the tier.
func ringPosition(ordinal, instances int) int {
	step := max(int(0.618034*float64(instances)), 1)
	for gcd(step, instances) != 1 {
		step++
	}
	return ordinal % instances * step % instances
}

// gcd returns the greatest common divisor of two positive integers.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
