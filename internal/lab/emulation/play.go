package emulation

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"dykering/internal/http1"
	"dykering/internal/lab/model"
	"dykering/internal/lab/netem"
	"dykering/internal/lab/real"
	"dykering/internal/lab/scenario"
)

const (
	// lateness is added to the time limits of the simulator: an answer takes some latencies to arrive.
	lateness = 20 * time.Millisecond
	// readyTimeout and stopTimeout limit how long a broker may take until it can serve, and until it
	// has stopped.
	readyTimeout = 5 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = time.Millisecond
	// cancellationCheckInterval is how often, in virtual time, a run checks its context.
	cancellationCheckInterval = 100 * time.Millisecond
	// maxLogExcerpt is the length of the end of a broker's log that is kept for an error, in bytes.
	maxLogExcerpt = 2000
	// releaseTimeout is how long a broker that has ended may take to release its connections.
	releaseTimeout = 20 * time.Millisecond
	// settleTime is how long the remaining goroutines and timers of a run may take to end.
	settleTime = time.Minute
)

// Options configure how a scenario is played.
type Options struct {
	// Where configurations are written.
	Dir     string
	Network netem.Options
	// KillAt reports, before each step of a handover (netem.Exchange), whether the predecessor or the
	// successor is killed there. Nil for never.
	KillAt func(step string) (from, to bool)
	// Observe receives, at each ObserveInterval since the start, the phases that are active in a
	// broker.
	Observe         func(at time.Duration, stages []string)
	ObserveInterval time.Duration
	// OnStuck receives the stacks of a run whose time has not advanced for StuckTimeout of real time:
	// something in it neither waits nor ends. If it is nil the run panics, as it cannot be ended.
	OnStuck func(stacks string)
	// 0 for 30 s.
	StuckTimeout time.Duration
	// WrapNetwork replaces the network and the listener of a broker, for tests with faulty brokers.
	// Nil for none.
	WrapNetwork func(http1.Network, net.Listener) (http1.Network, net.Listener)
}

// Bubble runs f in a bubble of virtual time, and returns when all of its goroutines have ended.
type Bubble func(f func())

// Play plays a scenario with a seed in a bubble. The context is checked ten times in a virtual
// second.
func Play(ctx context.Context, in Bubble, s *scenario.Scenario, seed uint64, o Options) (r *model.Result, err error) {
	if len(s.NetworkFaults) > 0 || s.Broker.Fleet {
		return nil, errors.New("fleet and fault: the gossip between brokers is played by the engine real only")
	}
	defer func() {
		if fault := recover(); fault != nil {
			// synctest panics where goroutines wait for what will never happen.
			r, err = nil, fmt.Errorf("goroutines are left: %v", fault)
		}
	}()
	var moved atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go o.guard(&moved, stopped)
	in(func() {
		inside, stop := context.WithCancelCause(context.Background()) // the outer context's channel belongs to no bubble
		defer stop(nil)
		over := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() {
			for ctx.Err() == nil {
				moved.Add(1)
				select {
				case <-over:
					return
				case <-time.After(cancellationCheckInterval):
				}
			}
			stop(context.Cause(ctx))
		})
		g := newEnvironment(s, o)
		if o.Observe != nil {
			//nolint:contextcheck // the outer context belongs to no bubble
			watch.Go(func() { g.observe(over) })
		}
		//nolint:contextcheck // the outer context belongs to no bubble; its end is passed on by stop
		r, err = real.PlayOn(inside, g, s, seed, lateness)
		g.close()
		close(over)
		watch.Wait()
		for range settleTime / time.Second {
			moved.Add(1)
			time.Sleep(time.Second)
		}
		if err == nil {
			err = g.unreleased()
		}
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
	}
	if r != nil { // also of a run that has not released everything
		r.Engine = "whole"
	}
	return r, err
}

const defaultStuckTimeout = 30 * time.Second

// guard watches that the time of a run advances.
func (o Options) guard(moved *atomic.Int64, stopped <-chan struct{}) {
	timeout := cmp.Or(o.StuckTimeout, defaultStuckTimeout)
	for last := int64(-1); ; {
		select {
		case <-stopped:
			return
		case <-time.After(timeout):
		}
		now := moved.Load()
		if now == last {
			text := make([]byte, 1<<20)
			text = text[:runtime.Stack(text, true)]
			if o.OnStuck == nil {
				panic(fmt.Sprintf("the run's time has stood still for %v:\n%s", timeout, text))
			}
			o.OnStuck(string(text))
			return
		}
		last = now
	}
}
