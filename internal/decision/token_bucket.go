package decision

import (
	"time"
)

// tokenBucket meters events at a rate a second, with a fallback rate after a time.
type tokenBucket struct {
	level        float64 // tokens now; negative on credit
	updatedAt    time.Duration
	rate         float64       // tokens a second
	rateUntil    time.Duration // end of rate; 0 for none
	fallbackRate float64       // from rateUntil on
	capacity     float64       // tokens at the most
	minCapacity  float64       // part of capacity that does not depend on the rate
	usage        Usage
}

// newTokenBucket makes a bucket with a capacity of some seconds of its rate and a few tokens more for
// chance. It starts nearly empty: a tier that starts overloaded must not be filled with a full burst before
// that is known.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, level: tenantStartTokens, capacity: tenantBurstBase + rate*burst, updatedAt: now}
}

// setRate sets a rate until a time, and the one from then on. What was saved before counts up to the
// capacity at the new rate.
func (b *tokenBucket) setRate(now time.Duration, rate, fallback float64, until time.Duration, minCapacity float64) {
	b.spend(now, 0)
	b.rate, b.fallbackRate, b.rateUntil, b.minCapacity = rate, fallback, until, minCapacity
	b.capacity = minCapacity + rate*tenantBurstSeconds
	b.level = min(b.level, b.capacity)
}

// expireRate changes to the fallback rate at the time when that was due, however late it is called, as
// after a stall.
func (b *tokenBucket) expireRate(now time.Duration) {
	if b.rateUntil == 0 || now < b.rateUntil {
		return
	}
	until := max(b.rateUntil, b.updatedAt)
	b.level = min(b.capacity, b.level+b.rate*(until-b.updatedAt).Seconds())
	b.rate, b.rateUntil, b.updatedAt = b.fallbackRate, 0, until
	b.capacity = b.minCapacity + b.rate*tenantBurstSeconds
	b.level = min(b.level, b.capacity)
}

// take takes n tokens if they are there, and counts the usage.
func (b *tokenBucket) take(now time.Duration, n float64) bool {
	b.spend(now, 0)
	b.usage.Asked++
	if b.level < n {
		return false
	}
	b.level -= n
	b.usage.WithinQuota++
	return true
}

// spend takes n tokens, on credit where they are not there, down to minus the capacity.
func (b *tokenBucket) spend(now time.Duration, n float64) {
	b.expireRate(now)
	b.level = max(min(b.capacity, b.level+b.rate*(now-b.updatedAt).Seconds())-n, -b.capacity)
	b.updatedAt = now
}

// setLevel sets the number of tokens, within what the bucket can hold.
func (b *tokenBucket) setLevel(now time.Duration, level float64) {
	b.level, b.updatedAt = min(max(level, -b.capacity), b.capacity), now
}
