package replication

import "time"

// burstSeconds is for how many seconds unused rate is saved up.
const burstSeconds = 2

// tokenBucket limits the bytes that are sent. The owner of the store uses it.
type tokenBucket struct {
	rate      float64 // bytes per second
	available float64
	updatedAt time.Time
}

func newTokenBucket(rate float64) tokenBucket {
	return tokenBucket{rate: rate, available: burstSeconds * rate}
}

// take reports whether so many bytes may be sent now, and spends them.
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
