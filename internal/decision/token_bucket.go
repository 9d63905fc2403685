package decision

import (
	"time"
)

// bucket meters what a tenant may ask for within its share.
type tokenBucket struct {
	rate, level, capacity float64
	minCapacity           float64 // of most, whatever the rate
	at                    time.Duration
	usage                 Usage
	fallbackRate          float64       // the rate from
	rateUntil             time.Duration // then on; 0 for no end
}

// newBucket makes a bucket that holds some seconds of its rate, and a few more for chance. It starts with next
// to nothing: a tier that starts on more than it can do must not fill up before that is known.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, level: tenantStartTokens, capacity: tenantBurstBase + rate*burst, at: now}
}

// allot sets a bucket's rate until a time, and the one from then on; saved counts at most for that of now.
func (b *tokenBucket) setRate(now time.Duration, rate, floor float64, until time.Duration, least float64) {
	b.spend(now, 0)
	b.rate, b.fallbackRate, b.rateUntil, b.minCapacity = rate, floor, until, least
	b.capacity = least + rate*tenantBurstSeconds
	b.level = min(b.level, b.capacity)
}

// lapse ends a rate whose time is over, from when it was: whoever looks late, as after a stall, finds no more than that.
func (b *tokenBucket) expireRate(now time.Duration) {
	if b.rateUntil == 0 || now < b.rateUntil {
		return
	}
	until := max(b.rateUntil, b.at)
	b.level = min(b.capacity, b.level+b.rate*(until-b.at).Seconds())
	b.rate, b.capacity, b.at, b.rateUntil = b.fallbackRate, b.minCapacity+b.fallbackRate*tenantBurstSeconds, until, 0
	b.level = min(b.level, b.capacity)
}

// take takes n out, if they are there.
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

// spend takes n out, on credit where they are not there: as much as it can hold.
func (b *tokenBucket) spend(now time.Duration, n float64) {
	b.expireRate(now)
	b.level = max(min(b.capacity, b.level+b.rate*(now-b.at).Seconds())-n, -b.capacity)
	b.at = now
}

// hold sets what a bucket holds.
func (b *tokenBucket) setLevel(now time.Duration, level float64) {
	b.level, b.at = min(max(level, -b.capacity), b.capacity), now
}
