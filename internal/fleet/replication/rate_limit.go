package replication

import "time"

// burstSeconds is the size of the bucket, as the number of seconds in which it fills up.
const burstSeconds = 2

// tokenBucket limits the rate of sent bytes. Only the goroutine that owns the store uses it.
type tokenBucket struct {
	rate      float64 // bytes per second
	available float64
	updatedAt time.Time
}

func newTokenBucket(rate float64) tokenBucket {
	return tokenBucket{rate: rate, available: burstSeconds * rate}
}

// take reports whether a number of bytes may be sent now, and if so takes them from the bucket.
func (b *tokenBucket) take(now time.Time, bytes int) bool {
	if !b.updatedAt.IsZero() {
		b.available = min(b.available+b.rate*now.Sub(b.updatedAt).Seconds(), burstSeconds*b.rate)
	}
	b.updatedAt = now
	if b.available < float64(bytes) {
		return false
	}
	b.available -= float64(bytes)
	return true
}
