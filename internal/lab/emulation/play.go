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
	// late is by how much limits are longer than in the decisions' engine: an answer is on its way for some latencies.
	late = 20 * time.Millisecond
	// readyFor and endFor are how long a broker may take until it can serve, and until it has ended.
	readyFor = 5 * time.Second
	endFor   = 30 * time.Second
	poll     = time.Millisecond
	// lookEvery is how often, in virtual time, a run looks at whether it is called off.
	lookEvery = 100 * time.Millisecond
	// mostLog is how much of a broker's log is kept for an error, in bytes.
	mostLog = 2000
	// letGoFor is how long a core that has ended may take to let go of its connections.
	letGoFor = 20 * time.Millisecond
	// settleFor is how long what a run has left may take to end: clients' and servers' goroutines and the last timers.
	settleFor = time.Minute
)

// Options say how a scenario is played.
type Options struct {
	Dir     string // for configurations
	Network netem.Options
	// KillAt says, of each step of a handover before it is taken (netem.Exchange), whether the process that passes on, or
	// the one that takes, is killed there. Nil for never.
	KillAt func(step string) (from, to bool)
	// Look is told each LookEvery, since the start, of the stages in which something is in a broker (http1's Stages).
	Look      func(at time.Duration, stages []string)
	LookEvery time.Duration
	// Stuck is told of the stacks of a run whose time has stood still for StuckFor of the wall's: something in it neither
	// waits nor ends. Nil panics, as such a run cannot be ended.
	Stuck    func(stacks string)
	StuckFor time.Duration // 0 for 30 s
	// Wrong changes what a broker stands on, for brokers that are to do what they must not. Nil for none.
	Wrong func(http1.Network, net.Listener) (http1.Network, net.Listener)
}

// Bubble runs f in a bubble of virtual time, and returns when all of its goroutines have ended.
type Bubble func(f func())

// Play plays a scenario with a seed in a bubble. The context's end is looked for ten times in a virtual second.
func Play(ctx context.Context, in Bubble, s *scenario.Scenario, seed uint64, o Options) (r *model.Result, err error) {
	if len(s.NetworkFaults) > 0 || s.Broker.Fleet {
		return nil, errors.New("fleet and fault: the gossip between brokers is played by the engine real only")
	}
	defer func() {
		if fault := recover(); fault != nil {
			// synctest's word for goroutines that wait for what nobody does any more.
			r, err = nil, fmt.Errorf("goroutines are left: %v", fault)
		}
	}()
	var moved atomic.Int64
	stopped := make(chan struct{})
	defer close(stopped)
	go o.guard(&moved, stopped)
	in(func() {
		inside, stop := context.WithCancelCause(context.Background()) // the outer one's channel is of no bubble
		defer stop(nil)
		over := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() {
			for ctx.Err() == nil {
				moved.Add(1)
				select {
				case <-over:
					return
				case <-time.After(lookEvery):
				}
			}
			stop(context.Cause(ctx))
		})
		g := newGround(s, o)
		if o.Look != nil {
			//nolint:contextcheck // the outer context belongs to no bubble
			watch.Go(func() { g.look(over) })
		}
		//nolint:contextcheck // the outer context belongs to no bubble; its end is passed on by stop
		r, err = real.PlayOn(inside, g, s, seed, late)
		g.close()
		close(over)
		watch.Wait()
		for range settleFor / time.Second {
			moved.Add(1)
			time.Sleep(time.Second)
		}
		if err == nil {
			err = g.leaks()
		}
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
	}
	if r != nil { // also of a run that has left something behind
		r.Engine = "whole"
	}
	return r, err
}

const stuckFor = 30 * time.Second

// guard watches that a run's time goes on.
func (o Options) guard(moved *atomic.Int64, stopped <-chan struct{}) {
	patience := cmp.Or(o.StuckFor, stuckFor)
	for last := int64(-1); ; {
		select {
		case <-stopped:
			return
		case <-time.After(patience):
		}
		now := moved.Load()
		if now == last {
			text := make([]byte, 1<<20)
			text = text[:runtime.Stack(text, true)]
			if o.Stuck == nil {
				panic(fmt.Sprintf("the run's time has stood still for %v:\n%s", patience, text))
			}
			o.Stuck(string(text))
			return
		}
		last = now
	}
}
