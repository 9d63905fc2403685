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
	// lateness is added to the time limits of the checker, since an answer arrives several network
	// latencies after it was sent.
	lateness = 20 * time.Millisecond
	// readyTimeout is how long a broker may take from its start until it can serve.
	readyTimeout = 5 * time.Second
	// stopTimeout is how long a broker may take to end after SIGTERM.
	stopTimeout = 30 * time.Second
	// pollInterval is how often Ready checks whether a broker can serve.
	pollInterval = time.Millisecond
	// cancellationCheckInterval is how often, in virtual time, a run checks its context.
	cancellationCheckInterval = 100 * time.Millisecond
	// maxLogExcerpt is how many bytes of the end of a broker's log are kept for an error.
	maxLogExcerpt = 2000
	// releaseTimeout is how long a broker that has ended may take to release its connections.
	releaseTimeout = 20 * time.Millisecond
	// settleTime is how long the remaining goroutines and timers of a run may take to end.
	settleTime = time.Minute
)

// Options configure how a scenario is played.
type Options struct {
	// The directory in which configurations are written.
	Dir     string
	Network netem.Options
	// KillAt is called before each step of a handover (netem.Exchange.Step) and reports whether the
	// predecessor or the successor is killed there. If it is nil, no process is killed.
	KillAt func(step string) (predecessor, successor bool)
	// Observe is called for each broker at each ObserveInterval with the time since the start and the
	// phases that are active in the broker. It may be nil.
	Observe         func(at time.Duration, stages []string)
	ObserveInterval time.Duration
	// OnStuck is called with the stacks of all goroutines when virtual time has not advanced for
	// StuckTimeout of real time, because a goroutine neither waits nor ends. If it is nil, the process
	// panics, since such a run cannot be ended.
	OnStuck func(stacks string)
	// The timeout for OnStuck; 0 for 30 s.
	StuckTimeout time.Duration
	// WrapNetwork replaces the network and the listener of a broker, for tests with faulty brokers. It
	// may be nil.
	WrapNetwork func(http1.Network, net.Listener) (http1.Network, net.Listener)
}

// Bubble runs f in a testing/synctest bubble and returns when all of its goroutines have ended.
type Bubble func(f func())

// Play plays a scenario with a seed in a bubble. It checks the context every 100 ms of virtual time.
func Play(ctx context.Context, in Bubble, s *scenario.Scenario, seed uint64, o Options) (r *model.Result, err error) {
	if len(s.NetworkFaults) > 0 || s.Broker.Fleet {
		return nil, errors.New("broker.fleet and fault: only the engine real plays the gossip between brokers")
	}
	defer func() {
		if panicked := recover(); panicked != nil {
			// synctest panics if all remaining goroutines of the bubble are blocked for ever.
			r, err = nil, fmt.Errorf("the run ended with goroutines that are still blocked: %v", panicked)
		}
	}()
	var ticks atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go o.watchProgress(&ticks, stopped)
	in(func() {
		// A separate context, since goroutines in the bubble cannot wait on a channel from outside.
		inside, stop := context.WithCancelCause(context.Background())
		defer stop(nil)
		ended := make(chan struct{})
		var watchers sync.WaitGroup
		watchers.Go(func() {
			for ctx.Err() == nil {
				ticks.Add(1)
				select {
				case <-ended:
					return
				case <-time.After(cancellationCheckInterval):
				}
			}
			stop(context.Cause(ctx))
		})
		emulated := newEnvironment(s, o)
		if o.Observe != nil {
			//nolint:contextcheck // the outer context belongs to no bubble
			watchers.Go(func() { emulated.observe(ended) })
		}
		//nolint:contextcheck // the outer context belongs to no bubble; its end is passed on by stop
		r, err = real.PlayOn(inside, emulated, s, seed, lateness)
		emulated.close()
		close(ended)
		watchers.Wait()
		for range settleTime / time.Second {
			ticks.Add(1)
			time.Sleep(time.Second)
		}
		if err == nil {
			err = emulated.unreleased()
		}
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
	}
	if r != nil { // also for a run that has not released all resources
		r.Engine = "whole"
	}
	return r, err
}

const defaultStuckTimeout = 30 * time.Second

// watchProgress checks in real time that the virtual time of a run advances, which ticks shows.
func (o Options) watchProgress(ticks *atomic.Int64, stopped <-chan struct{}) {
	timeout := cmp.Or(o.StuckTimeout, defaultStuckTimeout)
	for last := int64(-1); ; {
		select {
		case <-stopped:
			return
		case <-time.After(timeout):
		}
		now := ticks.Load()
		if now == last {
			stacks := make([]byte, 1<<20)
			stacks = stacks[:runtime.Stack(stacks, true)]
			if o.OnStuck == nil {
				panic(fmt.Sprintf("the virtual time of the run has not advanced for %v:\n%s", timeout, stacks))
			}
			o.OnStuck(string(stacks))
			return
		}
		last = now
	}
}
