package real

import (
	"context"
	"time"

	"dykering/internal/lab/model"
)

// maxPendingActions limits the actions that wait for the clock's goroutine.
const maxPendingActions = 4096

// wallClock is a world's clock in real time. The world belongs to the goroutine of run.
type wallClock struct {
	began time.Time
	// The scheduled time of the running action; 0 while a posted action runs.
	eventTime time.Duration
	events    model.EventQueue
	actions   chan func()
	// Closed when run has ended.
	done chan struct{}
}

func newWallClock() *wallClock {
	return &wallClock{began: time.Now(), actions: make(chan func(), maxPendingActions), done: make(chan struct{})}
}

// Now is the time on the world's clock. During an action it is the time the action was scheduled
// for, so that a coarse timer does not delay what follows from it and clients do not offer less and
// less.
func (c *wallClock) Now() time.Duration {
	if c.eventTime > 0 {
		return c.eventTime
	}
	return c.elapsed()
}

// elapsed is the world's time by the machine's clock.
func (c *wallClock) elapsed() time.Duration { return model.Origin + time.Since(c.began) }

// After runs an action when a duration has passed.
func (c *wallClock) After(d time.Duration, action func()) { c.events.Add(c.Now()+max(d, 0), action) }

// at converts a time of the world's clock to one of the machine's.
func (c *wallClock) at(moment time.Duration) time.Time { return c.began.Add(moment - model.Origin) }

// post runs an action on the clock's goroutine, unless that has ended. It may be called by any
// goroutine.
func (c *wallClock) post(action func()) {
	select {
	case c.actions <- action:
	case <-c.done:
	}
}

// run runs actions when they are due, until a time, until finished reports true, until the context
// ends or until an error is received.
func (c *wallClock) run(ctx context.Context, until time.Duration, finished func() bool, failed <-chan error) error {
	defer close(c.done)
	for {
		for at, ok := c.events.Next(); ok && at <= c.elapsed(); at, ok = c.events.Next() {
			var action func()
			c.eventTime, action = c.events.Pop()
			action()
			c.eventTime = 0
		}
		next := until
		if at, ok := c.events.Next(); ok {
			next = min(next, at)
		}
		if c.elapsed() >= until || finished() {
			return nil
		}
		timer := time.NewTimer(time.Until(c.at(next))) // not reset: see netem's wakes
		select {
		case <-timer.C:
		case action := <-c.actions:
			action()
		case err := <-failed:
			timer.Stop()
			return err
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}
