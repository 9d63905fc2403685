package routing

import (
	"hash/fnv"
	"slices"
)

// preferredPerAffinity is the number of endpoints that requests of one affinity prefer as long as those are not more loaded
// than others. A single endpoint would be overloaded by a popular affinity; with more, too many endpoints would cache the
// same prompt prefix.
const preferredPerAffinity = 2

// preferredEndpoints returns the endpoints with the highest rank for an affinity, in descending order of rank.
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

// affinityRank returns the rendezvous hash of an endpoint for an affinity. Every proxy computes the same rank, so all proxies
// prefer the same endpoints without coordination.
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

// avalanche applies the finalizer of MurmurHash3, which spreads every input bit over the whole hash. FNV alone lets the last
// bytes of its input affect only a few bits, so the ranks would not be uniformly distributed.
func avalanche(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
