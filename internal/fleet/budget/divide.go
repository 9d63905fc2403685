// Package budget divides a whole among the brokers of a fleet, by leases: what each may spend beside a floor that is set
// aside for it, for how long, and when it may be given to another. It holds the division, the ledger of what was given,
// the grantor that decides and the holder that spends; it does no I/O and reads no clock. The package around it
// (budgets) replicates the ledger and carries the messages.
//
// The invariant, for each whole W: at every instant the floors and the leases that any holder may still spend add up to
// at most W. It holds through lost, late and repeated messages, cuts, stalls, crashes and changes of the grantor, while
// every clock runs at a rate between 1 - Drift and 1 + Drift of the true one.
package budget

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one holder asks for of one whole.
type Claim struct {
	Weight float64 // its part of what nobody asks for, and of what is short
	Demand float64 // what it would spend
	Held   float64 // what it has now
}

// keep is the share by which a part has to change to be given anew: parts follow demand, not its noise.
const keep = 0.1

// Divide gives each claim its part of a pool: as much as it asks for where there is enough, else equal parts by weight of
// what is short (max-min fairness). Of what nobody asks for half goes by demand, as who asks for more varies by more, and
// half by weight, so that who asks for nothing can begin. The parts add up to the pool or less.
func Divide(pool float64, claims []Claim) []float64 {
	parts := make([]float64, len(claims))
	order := make([]int, len(claims))
	left, weight, all := pool, 0.0, 0.0
	for i, c := range claims {
		order[i] = i
		weight += c.Weight
		all += max(c.Demand, 0)
	}
	want := func(i int) float64 { return max(claims[i].Demand, 0) }
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(want(a)/claims[a].Weight, want(b)/claims[b].Weight), cmp.Compare(a, b))
	})
	w := weight
	for _, i := range order { // those that ask for least by weight first: what they leave is the others'
		share := left * claims[i].Weight / w
		parts[i] = min(want(i), share)
		left -= parts[i]
		w -= claims[i].Weight
	}
	left = max(left, 0)
	for i, c := range claims {
		spare := c.Weight / weight
		if all > 0 {
			spare = (spare + want(i)/all) / 2
		}
		parts[i] += left * spare
	}
	// Hysteresis: who has nearly this much keeps it, where the sum allows that.
	sum := 0.0
	for _, p := range parts {
		sum += p
	}
	for i, c := range claims {
		if math.Abs(c.Held-parts[i]) <= keep*parts[i] && sum-parts[i]+c.Held <= pool {
			sum += c.Held - parts[i]
			parts[i] = c.Held
		}
	}
	return parts
}
