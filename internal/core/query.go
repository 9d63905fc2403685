package core

import (
	"context"
	"errors"
)

// errLoopClosed is returned by queries to a closed loop.
var errLoopClosed = errors.New("core: the event loop is closed")

// query runs compute in the loop's goroutine and waits for its value. It returns the zero value if the loop is closed.
func query[T any](l *Loop, compute func() T) T {
	value, _ := queryContext(context.Background(), l, compute)
	return value
}

// queryContext is like query, but stops waiting when the context is done, because the event queue may be long. The error is
// that of the context, or errLoopClosed.
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
