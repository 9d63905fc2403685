package systemdemo

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	lockName    = "demo-lock"
	firstHolder = "alice"
	nextHolder  = "bob"
	// callPause is the time between two calls of a caller.
	callPause = 50 * time.Millisecond
	// renewals is the number of renewals by the first holder. renewalsPerHold is the number of renewals during one hold time.
	renewals        = 3
	renewalsPerHold = 4
	// handOverTimeout is the time within which the next holder must get the lock.
	handOverTimeout = 20 * time.Second
)

// coordination is the part of the demo with a lock, a number and a watch. It uses the coordination service as clients do.
type coordination struct {
	coordinator Coordinator
	hold        time.Duration                         // hold time of the lock
	logStep     func(format string, arguments ...any) // prints a step
	killHead    func() error                          // kills the head of the chain
}

// play lets one caller acquire a lock and stop renewing it, and another caller take the lock over, while the head of the chain is
// killed. Meanwhile other callers draw numbers, put keys and watch them. It returns ErrNotServed if the control processes do not
// serve coordination.
func (c *coordination) play(ctx context.Context) error {
	if _, err := retry(ctx, func() (uint64, error) { return c.coordinator.NextNumber(ctx, numberName) }); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout+10*c.hold)
	defer cancel()
	handedOver := make(chan struct{}) // closed when the lock has been handed over
	all, ctx := errgroup.WithContext(ctx)
	all.Go(func() error { return c.drawNumbers(ctx, handedOver) })
	all.Go(func() error { return c.putAndWatch(ctx, handedOver) })
	all.Go(func() error {
		defer close(handedOver)
		return c.handOverLock(ctx)
	})
	return all.Wait()
}

// handOverLock lets the lock expire at the first holder, who stops renewing it, and be acquired by the next holder.
func (c *coordination) handOverLock(ctx context.Context) error {
	first, err := c.acquire(ctx, firstHolder)
	if err != nil {
		return err
	}
	c.logStep("%s takes the lock, with fencing token %d", firstHolder, first)
	renewed, err := c.keepLock(ctx, first)
	if err != nil {
		return err
	}
	c.logStep("%s has renewed it %d times, and %s was refused it; now %s stops renewing", firstHolder, renewals, nextHolder, firstHolder)
	if err := c.killHead(); err != nil {
		return err
	}
	second, err := c.awaitLock(ctx, nextHolder)
	if err != nil {
		return err
	}
	took := time.Since(renewed)
	if took < c.hold {
		return errors.Errorf("%s got the lock %v after the renewal by %s for %v", nextHolder, took, firstHolder, c.hold)
	}
	if second <= first {
		return errors.Errorf("fencing token %d is not above the former holder's %d", second, first)
	}
	c.logStep("%s gets the lock with fencing token %d, %v after the last renewal for %v", nextHolder, second, round(took), c.hold)
	if _, err := c.renew(ctx, first); !errors.Is(err, ErrLockLost) {
		return errors.Errorf("renewal by the former holder: %v, expected %v", err, ErrLockLost)
	}
	c.logStep("%s learns that it has lost the lock", firstHolder)
	_, err = retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.coordinator.ReleaseLock(ctx, lockName, nextHolder, second)
	})
	return errors.Wrap(err, "release")
}

// keepLock lets the first holder renew the lock several times while the next holder asks for it in vain. It returns the time at which
// the last renewal was sent.
func (c *coordination) keepLock(ctx context.Context, token uint64) (renewed time.Time, err error) {
	for range renewals {
		if renewed, err = c.renew(ctx, token); err != nil {
			return renewed, errors.Wrap(err, "renewal by the holder")
		}
		if _, err := c.acquire(ctx, nextHolder); !errors.Is(err, ErrLockHeld) {
			return renewed, errors.Errorf("%s asks for a lock that %s holds: %v, expected %v", nextHolder, firstHolder, err, ErrLockHeld)
		}
		pause(ctx, c.hold/renewalsPerHold)
	}
	return renewed, nil
}

func (c *coordination) acquire(ctx context.Context, holder string) (uint64, error) {
	return retry(ctx, func() (uint64, error) { return c.coordinator.AcquireLock(ctx, lockName, holder, c.hold) })
}

// renew renews the lock for the first holder. It returns the sending time of the last attempt, from which the hold time counts.
func (c *coordination) renew(ctx context.Context, token uint64) (sent time.Time, err error) {
	return retry(ctx, func() (time.Time, error) {
		sent := time.Now()
		return sent, c.coordinator.RenewLock(ctx, lockName, firstHolder, token, c.hold)
	})
}

// awaitLock requests the lock until it is granted.
func (c *coordination) awaitLock(ctx context.Context, holder string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for {
		token, err := c.acquire(ctx, holder)
		if !errors.Is(err, ErrLockHeld) {
			return token, errors.Wrapf(err, "%s waits for the lock", holder)
		}
		if !pause(ctx, callPause) {
			return 0, errors.Errorf("%s did not get the lock within %v", holder, handOverTimeout)
		}
	}
}

// retry repeats a call until it has a definite answer or the context ends.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	for {
		result, err := call()
		if !errors.Is(err, ErrUnavailable) || !pause(ctx, callPause) {
			return result, err
		}
	}
}

// pause waits for the duration. It returns false if the context ends meanwhile.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func round(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
