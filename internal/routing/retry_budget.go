package routing

import (
	"time"
)

// Budget bounds how often requests for a service are sent again, as a part of a bound for all sidecars together.
type Budget struct {
	window   time.Duration
	ratio    float64
	slack    float64
	sidecars int
	services map[string]*usage
}

const (
	budgetBuckets = 10
	// budgetMargin is left of the budget: sidecars and those who judge count in windows that begin at other moments.
	budgetMargin = 0.8
)

// usage counts in parts of a window; the newest is the last.
type usage struct {
	requests, repeats [budgetBuckets + 1]int
	bucket            int64
}

// NewBudget makes a budget.
func NewBudget(window time.Duration, ratio, slack float64) *Budget {
	return &Budget{window: window, ratio: ratio, slack: slack, services: map[string]*usage{}}
}

// SetSidecars tells how many sidecars share the budget.
func (b *Budget) SetSidecars(n int) { b.sidecars = n }

func (b *Budget) usage(now time.Duration, service string) *usage {
	u := b.services[service]
	if u == nil {
		u = &usage{}
		b.services[service] = u
	}
	bucket := int64(now / (b.window / budgetBuckets))
	for ; u.bucket < bucket; u.bucket++ {
		if bucket-u.bucket > budgetBuckets+1 {
			*u = usage{bucket: bucket}
			break
		}
		copy(u.requests[:], u.requests[1:])
		copy(u.repeats[:], u.repeats[1:])
		u.requests[budgetBuckets], u.repeats[budgetBuckets] = 0, 0
	}
	return u
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Duration, service string) {
	b.usage(now, service).requests[budgetBuckets]++
}

// Repeat takes one further sending from the budget; it is false where there is none left.
func (b *Budget) Repeat(now time.Duration, service string) bool {
	u := b.usage(now, service)
	requests, repeats := 0, 0
	for i := range u.requests {
		requests += u.requests[i]
		repeats += u.repeats[i]
	}
	own := b.slack / float64(max(b.sidecars, 1))
	if b.sidecars == 0 {
		own = 0 // how many share it is not known yet
	}
	if float64(repeats+1) > budgetMargin*(b.ratio*float64(requests)*budgetBuckets/(budgetBuckets+1)+own) {
		return false
	}
	u.repeats[budgetBuckets]++
	return true
}
