package client

import (
	"context"
	"math/rand/v2"
	"time"
)

// firstPause is the upper bound of the pause after the first failed attempt. The bound doubles with each further attempt.
const firstPause = 10 * time.Millisecond

// backoff returns a random pause before an attempt. Attempt 0 has no pause. The upper bound doubles with each further attempt
// up to a maximum; the pause is at least half of the bound.
func backoff(attempt int, maximum time.Duration) time.Duration {
	if attempt == 0 {
		return 0
	}
	bound := firstPause
	for range attempt - 1 {
		if bound >= maximum {
			break
		}
		bound *= 2
	}
	bound = min(bound, maximum)
	return randomBetween(bound/2, bound)
}

// randomBetween returns a random duration from minimum up to maximum.
func randomBetween(minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return minimum + rand.N(maximum-minimum)
}

// sleep waits for a pause. It returns the context's error if the context ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
