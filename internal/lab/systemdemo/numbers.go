package systemdemo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const numberName = "demo-number"

// drawNumbers draws numbers until the lock has been handed over. Each number must be above the previous one.
func (c *coordination) drawNumbers(ctx context.Context, handedOver <-chan struct{}) error {
	var count int
	var first, last uint64
	var longest time.Duration
	for !isClosed(handedOver) {
		began := time.Now()
		number, err := retry(ctx, func() (uint64, error) { return c.coordinator.NextNumber(ctx, numberName) })
		if err != nil {
			return errors.Wrap(err, "number")
		}
		if number <= last {
			return errors.Errorf("number %d was given after %d", number, last)
		}
		if count == 0 {
			first = number
		}
		count++
		last = number
		longest = max(longest, time.Since(began))
		pause(ctx, callPause)
	}
	c.logStep("%d numbers were drawn, rising from %d to %d; the longest wait was %v", count, first, last, round(longest))
	return nil
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
