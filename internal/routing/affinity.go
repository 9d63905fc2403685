package routing

import (
	"hash/fnv"
	"slices"
)

// preferredPerAffinity is how many endpoints the requests of one affinity are drawn to while these are not behind others. One
// would be crowded, more would cache the same beginning at too many. Half or double: not measured.
const preferredPerAffinity = 2

// preferredEndpoints are the endpoints that rank highest for an affinity, the highest first.
func preferredEndpoints(available []*Endpoint, affinity uint64) []*Endpoint {
	var preferred []*Endpoint
	for range min(preferredPerAffinity, len(available)) {
		var next *Endpoint
		var nextRank uint64
		for _, e := range available {
			rank := affinityRank(affinity, e.ID)
			if (next == nil || rank > nextRank) && !slices.Contains(preferred, e) {
				next, nextRank = e, rank
			}
		}
		preferred = append(preferred, next)
	}
	return preferred
}

// affinityRank is the rendezvous hash of an endpoint for an affinity. It is equal at every proxy, so that all of them prefer
// the same endpoints without agreeing on them.
func affinityRank(affinity uint64, id string) uint64 {
	hash := fnv.New64a()
	var key [8]byte
	for i := range key {
		key[i] = byte(affinity >> (8 * i))
	}
	hash.Write(key[:])
	hash.Write([]byte(id))
	return avalanche(hash.Sum64())
}

// avalanche is the finalizer of MurmurHash3. FNV leaves the last bytes of its input in few bits; ranks must be even.
func avalanche(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
