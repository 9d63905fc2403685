package core

import (
	"context"
	"errors"
	"testing"

	"dykering/internal/decision"
)

// Methods of a closed loop return without blocking. Posted events are dropped, and queries return zero values or
// errLoopClosed.
func TestClosedLoopBlocksNobody(t *testing.T) {
	tl := newTestLoop(t, func(*Attempt, int) Result { return Result{Status: decision.NotSent} }, ready("s-1", 0))
	tl.loop.Close()
	<-tl.loop.done
	tl.loop.Close()
	for range 2 * eventQueueSize { // more than the queue holds
		tl.loop.Post(func() { t.Error("an event was handled after Close") })
	}
	if s := tl.loop.Stats(); s.Calls != 0 || tl.loop.ReserveConn() {
		t.Errorf("a closed loop has calls or reserves connections: %+v", s)
	}
	if _, _, err := tl.loop.Evidence(context.Background(), nil); !errors.Is(err, errLoopClosed) {
		t.Errorf("Evidence of a closed loop: %v, want errLoopClosed", err)
	}
}
