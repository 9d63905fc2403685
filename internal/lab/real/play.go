package real

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dykering/internal/decision"
	"dykering/internal/lab/model"
	"dykering/internal/lab/scenario"
)

const (
	// slack is added to the time limits of the checker. Events between processes are observed late, also
	// because one machine runs all of the processes.
	slack = 100 * time.Millisecond
	// maxInstances is the largest number of broker processes that one machine plays.
	maxInstances = 64
	// memoryMB and sockets are the configured limits of a process. A process uses half of them and
	// leaves the rest to a successor on its socket.
	memoryMB, sockets = 256, 8192
)

// Options configure how a scenario is played.
type Options struct {
	// The command that starts a broker.
	Command []string
	// The directory of logs and configurations. It is kept after the run.
	Dir string
}

// scenarioRun is one run of a scenario on an environment. Only the clock's goroutine uses its fields, except
// for failed, ctx and goroutines.
type scenarioRun struct {
	*wallClock
	world       *model.World
	environment Environment
	instances   []*instance
	servers     map[int]*server
	requests    map[decision.RequestID]*pendingRequest
	// How late events may be observed.
	lateness time.Duration
	// Carries the first error, which ends the run.
	failed chan error
	ctx    context.Context
	// All goroutines but the clock's.
	goroutines sync.WaitGroup
	// Nil if the scenario has no fleet.
	fleet *fleet
	// Discoveries that a "reload" fault replaced.
	movedDiscoveries []*Discovery
	// Selects the requests on which clients misbehave.
	behaviorRandom *rand.Rand
}

// Play plays a scenario with a seed on the host's sockets. It takes some seconds longer than the
// scenario, to start and stop processes, and leaves no process behind.
func Play(ctx context.Context, s *scenario.Scenario, seed uint64, o Options) (_ *model.Result, err error) {
	if err := checkPlayable(s); err != nil {
		return nil, err
	}
	r, err := PlayOn(ctx, hostNetwork{o}, s, seed, slack)
	if err == nil {
		r.Engine = "real"
	}
	return r, err
}

// PlayOn plays a scenario on an environment. The argument late is how late events may be observed there.
func PlayOn(
	ctx context.Context, e Environment, s *scenario.Scenario, seed uint64, late time.Duration,
) (_ *model.Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	run := &scenarioRun{
		wallClock: newWallClock(), environment: e, lateness: late, failed: make(chan error, 1), ctx: ctx,
		servers: map[int]*server{}, requests: map[decision.RequestID]*pendingRequest{},
	}
	defer func() {
		stop()
		run.tearDown()
	}()
	run.behaviorRandom = model.Stream(seed, "manners", 0)
	run.world = model.New(s, seed, run, run, run, late)
	if s.Broker.Fleet {
		if run.fleet, err = newFleet(run, seed); err != nil {
			return nil, err
		}
	}
	for _, sv := range run.world.Servers {
		if err := run.listenAt(sv); err != nil {
			return nil, err
		}
	}
	for i := range run.world.Instances {
		// The lowest tier starts first, so that a server is used only after the instance that it calls
		// can serve.
		if err := run.addInstance(run.world.Instances[len(run.world.Instances)-1-i]); err != nil {
			return nil, err
		}
	}
	for _, in := range run.instances {
		if err := in.process.Ready(ctx); err != nil {
			return nil, err
		}
	}
	run.began = time.Now()
	end := run.world.Start()
	if run.fleet != nil {
		run.goroutines.Go(func() { run.fleet.play(ctx, s.NetworkFaults) })
	}
	if err := run.runUntil(ctx, end, run.world.IsFinished, run.failed); err != nil {
		return nil, err
	}
	r := run.world.Finish()
	if run.fleet != nil {
		if r.Views, err = run.fleet.views(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// checkPlayable returns an error for a scenario that only the engine in virtual time can play.
func checkPlayable(s *scenario.Scenario) error {
	n := s.Broker.Instances
	for _, b := range s.DownstreamTiers {
		n += b.Instances
	}
	if n > maxInstances {
		return fmt.Errorf("%d instances exceed the limit of %d on real sockets", n, maxInstances)
	}
	for i, t := range s.InjectedFaults {
		if t.Kind == "partition" {
			return fmt.Errorf("trouble[%d]: a partition is played in virtual time only; real sockets support vanish and zone", i)
		}
	}
	return nil
}

// fail ends the run with an error.
func (run *scenarioRun) fail(err error) {
	select {
	case run.failed <- err:
	default: // an earlier error is ending the run already
	}
}

// tearDown stops all processes at the same time, then servers, relay, discoveries and goroutines.
func (run *scenarioRun) tearDown() {
	var all sync.WaitGroup
	for _, i := range run.instances {
		i.client.CloseIdleConnections()
		for _, p := range i.processes {
			all.Go(p.Stop)
		}
	}
	all.Wait()
	for _, s := range run.servers {
		s.close()
	}
	if run.fleet != nil {
		run.fleet.relay.Close()
	}
	for _, d := range run.movedDiscoveries {
		d.Close()
	}
	for _, i := range run.instances {
		if i.discovery != nil {
			i.discovery.Close()
		}
		i.slot.Close()
	}
	select {
	case <-run.done:
	default:
		close(run.done) // runUntil was never called
	}
	run.goroutines.Wait()
}

// UpdateList implements model.Brokers: it passes a change of an instance's endpoint list to the
// instance's discovery.
func (run *scenarioRun) UpdateList(in *model.Instance, l decision.List) {
	i := run.instanceOf(in)
	if l.Kind == decision.FailedList {
		i.discovery.BreakWatches()
		return
	}
	for _, e := range l.Entries {
		i.discovery.AnnounceTarget(run.target(e))
	}
	if l.Kind == decision.FullList {
		for _, s := range in.Tier.Servers {
			if e := s.Entry(); e.State == decision.Departed {
				i.discovery.AnnounceTarget(run.target(e))
			}
		}
		i.discovery.Resume()
	}
}
