package real

import (
	"context"
	"time"

	"dykering/internal/lab/model"
)

// maxPendingActions is the number of posted actions that the clock's goroutine buffers. A further post
// blocks.
const maxPendingActions = 4096

// wallClock is the clock of a model.World in real time. Only the goroutine of runUntil uses the world.
type wallClock struct {
	began time.Time
	// The scheduled time of the running action; 0 while a posted action runs.
	eventTime time.Duration
	events    model.EventQueue
	actions   chan func()
	// Closed when runUntil returns.
	done chan struct{}
}

func newWallClock() *wallClock {
	return &wallClock{began: time.Now(), actions: make(chan func(), maxPendingActions), done: make(chan struct{})}
}

// Now returns the time on the world's clock. During a scheduled action it returns the time for which
// the action was scheduled. A late timer then does not delay the events that the action schedules, and
// the offered load does not fall over time.
func (c *wallClock) Now() time.Duration {
	if c.eventTime > 0 {
		return c.eventTime
	}
	return c.elapsed()
}

// elapsed returns the world's time as read from the machine's clock.
func (c *wallClock) elapsed() time.Duration { return model.Origin + time.Since(c.began) }

// After schedules an action to run when a duration has passed.
func (c *wallClock) After(d time.Duration, action func()) { c.events.Add(c.Now()+max(d, 0), action) }

// at converts a time on the world's clock to a time on the machine's clock.
func (c *wallClock) at(moment time.Duration) time.Time { return c.began.Add(moment - model.Origin) }

// post runs an action on the clock's goroutine and drops it if runUntil has returned. Any goroutine may
// call it.
func (c *wallClock) post(action func()) {
	select {
	case c.actions <- action:
	case <-c.done:
	}
}

// runUntil executes actions when they are due. It returns at the time until, when finished reports true,
// when the context ends, or with the error that it receives from failed.
func (c *wallClock) runUntil(ctx context.Context, until time.Duration, finished func() bool, failed <-chan error) error {
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
		// A new timer each time: within synctest, Reset makes the runtime search the whole heap of the
		// bubble's timers.
		timer := time.NewTimer(time.Until(c.at(next)))
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
