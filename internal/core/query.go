package core

import (
	"context"
	"errors"
)

// errEnded is the word of a loop that has ended.
var errLoopClosed = errors.New("the core has ended")

// ask has the loop answer something, or gives up with ctx or the loop's end: the loop may have a long queue, or none.
func ask[T any](ctx context.Context, l *Loop, look func() T) (T, error) {
	got := make(chan T, 1)
	var none T
	select {
	case l.events <- func() { got <- look() }:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, errLoopClosed
	}
	select {
	case x := <-got:
		return x, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, errLoopClosed
	}
}
