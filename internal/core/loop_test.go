package core

import (
	"context"
	"errors"
	"testing"

	"dykering/internal/decision"
)

// A loop that has ended blocks nobody, whatever is asked of it, and has stopped discovery and closed idle
// connections.
func TestClosedLoopBlocksNobody(t *testing.T) {
	b := newTestLoop(t, func(*Attempt, int) Result { return Result{Status: decision.NotSent} }, ready("s-1", 0))
	b.loop.Close()
	<-b.loop.done
	b.loop.Close()
	for range 2 * eventQueueSize { // more than the queue holds
		b.loop.Post(func() { t.Error("it still runs") })
	}
	if s := b.loop.Stats(); s.Calls != 0 || b.loop.ReserveConn() {
		t.Errorf("%+v", s)
	}
	if _, _, err := b.loop.Evidence(context.Background(), nil); !errors.Is(err, errLoopClosed) {
		t.Errorf("evidence of an ended loop: %v", err)
	}
}
