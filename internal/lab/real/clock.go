package real

import (
	"context"
	"time"

	"dykering/internal/lab/model"
)

// mostPosts bounds what waits for the clock's goroutine.
const mostPosts = 4096

// wall is the wall's time, for a world that belongs to the goroutine of run.
type wall struct {
	began time.Time
	event time.Duration // when what happens now was to happen; 0 for what others post
	heap  model.EventQueue
	posts chan func()
	done  chan struct{} // closed when run has ended
}

func newWall() *wall {
	return &wall{began: time.Now(), posts: make(chan func(), mostPosts), done: make(chan struct{})}
}

// Now is the time on the world's clock. While something happens it is when that was to happen: what is late by a
// timer's coarseness makes nothing later that follows from it, or callers would ask less and less.
func (c *wall) Now() time.Duration {
	if c.event > 0 {
		return c.event
	}
	return c.real()
}

func (c *wall) real() time.Duration { return model.Origin + time.Since(c.began) }

// After has something happen when a time has passed.
func (c *wall) After(d time.Duration, do func()) { c.heap.Add(c.Now()+max(d, 0), do) }

// at is a moment of the world's clock on the wall's.
func (c *wall) at(moment time.Duration) time.Time { return c.began.Add(moment - model.Origin) }

// post has the clock's goroutine do something, unless it has ended. It may be called by any other.
func (c *wall) post(do func()) {
	select {
	case c.posts <- do:
	case <-c.done:
	}
}

// run does what is to happen, when it is to happen, until a moment, until over says so, the
// context's end or an error.
func (c *wall) run(ctx context.Context, until time.Duration, over func() bool, failed <-chan error) error {
	defer close(c.done)
	for {
		for at, ok := c.heap.Next(); ok && at <= c.real(); at, ok = c.heap.Next() {
			var do func()
			c.event, do = c.heap.Pop()
			do()
			c.event = 0
		}
		next := until
		if at, ok := c.heap.Next(); ok {
			next = min(next, at)
		}
		if c.real() >= until || over() {
			return nil
		}
		timer := time.NewTimer(time.Until(c.at(next))) // not reset: see netem's wakes
		select {
		case <-timer.C:
		case do := <-c.posts:
			do()
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
