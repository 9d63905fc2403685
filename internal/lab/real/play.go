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
	// slack is by how much time limits are longer than in virtual time: what happens between two processes is seen
	// late, and one machine plays all of them.
	slack = 100 * time.Millisecond
	// mostInstances is how many processes one machine plays.
	mostInstances = 64
	// A process is told that it has these, and half of them for itself, as its socket is held for a successor.
	memoryMB, sockets = 256, 8192
)

// Options say how a scenario is played.
type Options struct {
	Command []string // of the broker
	Dir     string   // for logs and configurations; it stays
}

// stage plays a scenario on real sockets. What is not said otherwise belongs to the clock's goroutine.
type stage struct {
	*wall
	w         *model.World
	ground    Ground
	instances []*instance
	servers   map[int]*server
	tries     map[decision.RequestID]*try
	late      time.Duration
	failed    chan error // the first ends the run
	ctx       context.Context
	work      sync.WaitGroup // all goroutines but the clock's
	fleet     *fleet         // nil without one
	moved     []*Discovery   // that brokers were told to leave
	manners   *rand.Rand     // what callers do
}

// Play plays a scenario with a seed on real sockets. It ends by itself within the scenario's time and some seconds for
// the start and the end of processes, and leaves none behind.
func Play(ctx context.Context, s *scenario.Scenario, seed uint64, o Options) (_ *model.Result, err error) {
	if err := playable(s); err != nil {
		return nil, err
	}
	r, err := PlayOn(ctx, kernel{o}, s, seed, slack)
	if err == nil {
		r.Engine = "real"
	}
	return r, err
}

// PlayOn plays a scenario on a ground. Late is how late what happens may be seen there.
func PlayOn(ctx context.Context, g Ground, s *scenario.Scenario, seed uint64, late time.Duration) (_ *model.Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	st := &stage{
		wall: newWall(), ground: g, late: late, servers: map[int]*server{}, tries: map[decision.RequestID]*try{},
		failed: make(chan error, 1), ctx: ctx,
	}
	defer func() {
		stop()
		st.tearDown()
	}()
	st.manners = model.Stream(seed, "manners", 0)
	st.w = model.New(s, seed, st, st, st, late)
	if s.Broker.Fleet {
		if st.fleet, err = newFleet(st, seed); err != nil {
			return nil, err
		}
	}
	for _, sv := range st.w.Servers {
		if err := st.listen(sv); err != nil {
			return nil, err
		}
	}
	for i := range st.w.Instances {
		// The lowest tier first: a server is used once its own instance can serve.
		if err := st.begin(st.w.Instances[len(st.w.Instances)-1-i]); err != nil {
			return nil, err
		}
	}
	for _, in := range st.instances {
		if err := in.process.Ready(ctx); err != nil {
			return nil, err
		}
	}
	st.began = time.Now()
	end := st.w.Start()
	if st.fleet != nil {
		st.work.Go(func() { st.fleet.play(ctx, s.NetworkFaults) })
	}
	if err := st.run(ctx, end, st.w.IsFinished, st.failed); err != nil {
		return nil, err
	}
	r := st.w.Finish()
	if st.fleet != nil {
		if r.Views, err = st.fleet.views(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// playable names what only virtual time can play.
func playable(s *scenario.Scenario) error {
	n := s.Broker.Instances
	for _, b := range s.DownstreamTiers {
		n += b.Instances
	}
	if n > mostInstances {
		return fmt.Errorf("%d instances are more than the %d that one machine plays on real sockets", n, mostInstances)
	}
	for i, t := range s.InjectedFaults {
		if t.Kind == "partition" {
			return fmt.Errorf("trouble[%d]: a partition between some and others is played in virtual time only; vanish and zone are played here", i)
		}
	}
	return nil
}

// fail ends the run.
func (st *stage) fail(err error) {
	select {
	case st.failed <- err:
	default: // it ends already
	}
}

// tearDown ends all that was started: processes first, all beside each other.
func (st *stage) tearDown() {
	var all sync.WaitGroup
	for _, i := range st.instances {
		i.client.CloseIdleConnections()
		for _, p := range i.all {
			all.Go(p.End)
		}
	}
	all.Wait()
	for _, s := range st.servers {
		s.close()
	}
	if st.fleet != nil {
		st.fleet.relay.Close()
	}
	for _, d := range st.moved {
		d.Close()
	}
	for _, i := range st.instances {
		if i.places != nil {
			i.places.Close()
		}
		i.seat.Close()
	}
	select {
	case <-st.done:
	default:
		close(st.done) // it never ran
	}
	st.work.Wait()
}

// Hear is the Brokers', as are the methods below.
func (st *stage) UpdateList(in *model.Instance, l decision.List) {
	i := st.of(in)
	if l.Kind == decision.FailedList {
		i.places.BreakOff()
		return
	}
	for _, e := range l.Entries {
		i.places.TellTarget(st.target(e))
	}
	if l.Kind == decision.FullList {
		for _, s := range in.Tier.Servers {
			if e := s.Entry(); e.State == decision.Departed {
				i.places.TellTarget(st.target(e))
			}
		}
		i.places.Resume()
	}
}
