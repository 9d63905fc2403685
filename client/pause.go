package client

import (
	"context"
	"math/rand/v2"
	"time"
)

// firstPause is the longest pause after the first failed attempt; it doubles with each further one.
const firstPause = 10 * time.Millisecond

// backoff returns a random pause before an attempt, the first of which is number 0 and has none. Its bound doubles up to
// a maximum.
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

// between returns a random duration from least up to most.
func randomBetween(minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return minimum + rand.N(maximum-minimum)
}

// sleep waits, or returns the context's error once it ends.
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
