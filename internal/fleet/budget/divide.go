package budget

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one holder asks of a pool.
type Claim struct {
	Weight float64 // Weight is its share weight; it is above 0.
	Demand float64 // Demand is what it would spend.
	Held   float64 // Held is its present share.
}

// hysteresis is the fraction by which a share has to change to be granted anew: shares follow demand, not its noise.
const hysteresis = 0.1

// Divide returns the share of each claim in a pool: its demand where there is enough, else shares by weight of what is
// short (weighted max-min fairness). Of what nobody demands half goes by demand, as a holder with more demand varies by
// more, and half by weight, so that a holder without demand can begin. The shares add up to at most the pool.
func Divide(pool float64, claims []Claim) []float64 {
	shares, remaining := maxMinShares(pool, claims)
	addSurplus(shares, claims, remaining)
	keepSimilarShares(shares, claims, pool)
	return shares
}

func (c *Claim) demand() float64 { return max(c.Demand, 0) }

// maxMinShares grants the claims with the least demand by weight first, as what they leave is the others'. It returns
// what is left of the pool.
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

// addSurplus divides what nobody demands.
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

// keepSimilarShares leaves holders the share that they have where it is nearly the new one and the pool allows it.
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
