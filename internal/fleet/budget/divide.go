package budget

import (
	"cmp"
	"math"
	"slices"
)

// Claim is one holder's claim to a pool.
type Claim struct {
	Weight float64 // Weight is the holder's share weight; it is above 0.
	Demand float64 // Demand is the rate that the holder would spend.
	Held   float64 // Held is the holder's present share.
}

// hysteresis is the fraction of a share that a change has to exceed to take effect, so that noise in the demand does not
// change the shares.
const hysteresis = 0.1

// Divide returns the share of each claim in a pool by weighted max-min fairness: each holder receives its demand if the
// pool suffices, and otherwise the unsatisfied holders share the rest by weight. The surplus that no holder demands is
// divided half by demand, because a higher demand varies by more, and half by weight, so that a holder without demand can
// start to spend. The shares add up to at most the pool.
func Divide(pool float64, claims []Claim) []float64 {
	shares, remaining := maxMinShares(pool, claims)
	addSurplus(shares, claims, remaining)
	keepSimilarShares(shares, claims, pool)
	return shares
}

func (c *Claim) demand() float64 { return max(c.Demand, 0) }

// maxMinShares serves the claims in ascending order of demand per weight, because the part of its fair share that a claim
// does not need goes to the later claims. It returns the remainder of the pool too.
func maxMinShares(pool float64, claims []Claim) (shares []float64, remaining float64) {
	shares = make([]float64, len(claims))
	order := make([]int, len(claims))
	weight := 0.0
	for i, claim := range claims {
		order[i] = i
		weight += claim.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(claims[a].demand()/claims[a].Weight, claims[b].demand()/claims[b].Weight), cmp.Compare(a, b))
	})
	remaining = pool
	for _, i := range order {
		fair := remaining * claims[i].Weight / weight
		shares[i] = min(claims[i].demand(), fair)
		remaining -= shares[i]
		weight -= claims[i].Weight
	}
	return shares, max(remaining, 0)
}

// addSurplus adds to the shares the part of the pool that no holder demands.
func addSurplus(shares []float64, claims []Claim, surplus float64) {
	weight, demand := 0.0, 0.0
	for i := range claims {
		weight += claims[i].Weight
		demand += claims[i].demand()
	}
	for i := range claims {
		fraction := claims[i].Weight / weight
		if demand > 0 {
			fraction = (fraction + claims[i].demand()/demand) / 2
		}
		shares[i] += surplus * fraction
	}
}

// keepSimilarShares replaces a new share by the present one if they are similar and the pool allows it.
func keepSimilarShares(shares []float64, claims []Claim, pool float64) {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	for i, claim := range claims {
		isSimilar := math.Abs(claim.Held-shares[i]) <= hysteresis*shares[i]
		if isSimilar && sum-shares[i]+claim.Held <= pool {
			sum += claim.Held - shares[i]
			shares[i] = claim.Held
		}
	}
}
