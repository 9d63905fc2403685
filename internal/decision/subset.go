package decision

import (
	"math"
	"slices"
)

// updateSubset sets which endpoints are in this instance's subset, and with what part of their weight.
// Where many instances each call every endpoint, idle connections fill the endpoints' tables, and no
// instance learns much of any endpoint. The subsets tile a ring of the listed weights by the instances'
// positions, so that together they reach each endpoint in proportion to its weight; an instance that has
// ejected some goes on along the ring. Draining endpoints are not on the ring: when many left at once,
// their part fell to the few that came after them.
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
	skip *= totalWeight // weight on the ring before this instance's part
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

// checkWeights sets, when weights or endpoints have changed, whether the listed weights are all plausible
// and tell endpoints apart.
func (b *Balancer) checkWeights() {
	if !b.weightsChanged {
		return
	}
	b.weightsChanged = false
	apart := func(e *endpoint) bool { return e.weight != b.listed[0].weight }
	none := func(e *endpoint) bool { return !(e.weight > 0 && e.weight <= maxListedWeight) }
	b.hasListedWeights = slices.ContainsFunc(b.listed, apart) && !slices.ContainsFunc(b.listed, none)
}

// ringPosition is an instance's position on the ring: consecutive ordinals are scattered in steps of the
// golden section. Instances of one zone are numbered consecutively; when callers moved to that zone,
// subsets side by side on the ring overloaded one part of the tier.
func ringPosition(ordinal, instances int) int {
	step := max(int(0.618034*float64(instances)), 1)
	for gcd(step, instances) != 1 {
		step++
	}
	return ordinal % instances * step % instances
}

// gcd is the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
