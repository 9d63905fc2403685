package core

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Stopping is final, and a drain before it ends in it.
func TestStoppingIsFinal(t *testing.T) {
	f := newLifecycle(zap.NewNop())
	check := func(step string, ready, canServe bool) {
		t.Helper()
		if f.IsReady() != ready || f.CanServe() != canServe {
			t.Errorf("%s: ready %v, can serve %v", step, f.IsReady(), f.CanServe())
		}
	}
	check("new", false, false)
	f.Resume()
	f.Drain()
	f.Resume()
	check("drained and resumed without a list", false, false)
	_, _, changed := f.Now()
	f.listReceived()
	<-changed
	check("with a list", true, true)
	f.Drain()
	f.listReceived()
	check("draining", false, true)
	f.Resume()
	check("back", true, true)
	f.Drain()
	f.Stop(time.Now(), time.Now())
	f.Resume()
	f.Drain()
	f.Resume()
	f.listReceived()
	check("stopping", false, false)
}
