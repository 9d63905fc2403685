package core

import (
	"context"
	"errors"
)

// errLoopClosed is the error of a query to a loop that has ended.
var errLoopClosed = errors.New("the core has ended")

// query has the loop compute a value and waits for it. It returns the zero value once the loop has ended.
func query[T any](l *Loop, compute func() T) T {
	value, _ := queryContext(context.Background(), l, compute)
	return value
}

// queryContext is query with a bound on the wait, as the queue of events may be long: it returns the context's error, or
// errLoopClosed.
func queryContext[T any](ctx context.Context, l *Loop, compute func() T) (T, error) {
	computed := make(chan T, 1)
	var zero T
	select {
	case l.events <- func() { computed <- compute() }:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.done:
		return zero, errLoopClosed
	}
	select {
	case value := <-computed:
		return value, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-l.done:
		return zero, errLoopClosed
	}
}
