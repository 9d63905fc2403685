package core

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Stopping is final: no later drain, resume or endpoint list leaves it. A drain can be resumed before.
func TestStoppingIsFinal(t *testing.T) {
	l := newLifecycle(zap.NewNop())
	check := func(step string, ready, canServe bool) {
		t.Helper()
		if l.IsReady() != ready || l.CanServe() != canServe {
			t.Errorf("%s: ready %v, can serve %v", step, l.IsReady(), l.CanServe())
		}
	}
	check("new", false, false)
	l.Resume()
	l.Drain()
	l.Resume()
	check("drained and resumed without a list", false, false)
	_, _, changed := l.Now()
	l.listReceived()
	<-changed
	check("with a list", true, true)
	l.Drain()
	l.listReceived()
	check("draining", false, true)
	l.Resume()
	check("resumed", true, true)
	l.Drain()
	l.Stop(time.Now(), time.Now())
	l.Resume()
	l.Drain()
	l.Resume()
	l.listReceived()
	check("stopping", false, false)
}
