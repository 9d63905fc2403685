package decision

import (
	"time"
)

// tokenBucket limits events to a rate per second, and to a fallback rate after that rate has expired.
type tokenBucket struct {
	level        float64 // tokens at updatedAt; negative if tokens were taken on credit
	updatedAt    time.Duration
	rate         float64       // tokens per second
	rateUntil    time.Duration // time when rate expires; 0 if it does not
	fallbackRate float64       // tokens per second from rateUntil on
	capacity     float64       // maximum number of tokens
	minCapacity  float64       // part of capacity that is independent of the rate
	usage        Usage
}

// newTokenBucket returns the bucket of a tenant. Its capacity is burstSeconds of the rate and a few tokens
// more for random bursts. It starts nearly empty: an instance that starts on an overloaded tier must not
// admit a full burst before it has detected the overload.
func newTokenBucket(now time.Duration, rate, burstSeconds float64) tokenBucket {
	capacity := tenantBurstBase + rate*burstSeconds
	return tokenBucket{rate: rate, level: tenantStartTokens, capacity: capacity, updatedAt: now}
}

// setRate sets a rate that is valid until the given time, and the fallback rate from then on. Tokens that are
// in the bucket remain, up to the capacity at the new rate.
func (b *tokenBucket) setRate(
	now time.Duration, rate, fallback float64, until time.Duration, minCapacity float64,
) {
	b.spend(now, 0)
	b.rate, b.fallbackRate, b.rateUntil, b.minCapacity = rate, fallback, until, minCapacity
	b.capacity = minCapacity + rate*tenantBurstSeconds
	b.level = min(b.level, b.capacity)
}

// expireRate changes to the fallback rate as of the time when the rate expired, even if it is called later,
// for example after the process was suspended.
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

// take takes n tokens if the bucket contains them, and reports whether it did. It also counts the usage.
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

// spend takes n tokens, on credit if the bucket does not contain them, down to a level of minus the capacity.
func (b *tokenBucket) spend(now time.Duration, n float64) {
	b.expireRate(now)
	b.level = max(min(b.capacity, b.level+b.rate*(now-b.updatedAt).Seconds())-n, -b.capacity)
	b.updatedAt = now
}

// setLevel sets the number of tokens, within the limits of the bucket.
func (b *tokenBucket) setLevel(now time.Duration, level float64) {
	b.level, b.updatedAt = min(max(level, -b.capacity), b.capacity), now
}
