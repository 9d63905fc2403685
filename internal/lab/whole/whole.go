// Package whole plays a scenario with the whole program in virtual time: each broker is an http1.Server as it ships, with
// its core, its discovery and its handover, on an emulated network in this process, round the laboratory's servers,
// callers, discoveries and checker that play on real sockets too (package real). Time is that of a testing/synctest
// bubble: it goes on when all goroutines wait, so that nothing is late for want of a processor.
package whole

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dykering/internal/config"
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
	if len(s.Faults) > 0 || s.Broker.Fleet {
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

// ground is an emulated network with brokers on it.
type ground struct {
	o        Options
	net      *netem.Network
	exchange netem.Exchange
	callers  *netem.Process
	shared   bool // listening sockets are held by the platform, for processes that follow each other

	mu      sync.Mutex
	sockets map[string]*netem.Socket // of servers and discoveries, by address
	hosts   map[string]*netem.Process
	brokers sync.WaitGroup
	live    map[*broker]bool
	held    []error // what brokers that ended in order had not given back
}

// leaks are what a run has left.
func (g *ground) leaks() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.held...)
}

// kill kills the broker that runs as a process, once the stage has excused what it has taken.
func (g *ground) kill(p *netem.Process) {
	g.mu.Lock()
	var b *broker
	for one := range g.live {
		if one.process == p {
			b = one
		}
	}
	g.mu.Unlock()
	if b == nil {
		return
	}
	b.dying.Do(func() { close(b.dies) })
	<-b.excused // not under the lock: the stage may be starting a process
	p.Kill()
	b.server.Loop().Close()
}

// look tells of what brokers are at, until a run is over.
func (g *ground) look(over <-chan struct{}) {
	began := time.Now()
	for {
		select {
		case <-over:
			return
		case <-time.After(g.o.LookEvery):
		}
		g.mu.Lock()
		all := make([]*broker, 0, len(g.live))
		for b := range g.live {
			all = append(all, b)
		}
		g.mu.Unlock()
		for _, b := range all {
			g.o.Look(time.Since(began), b.server.ActivePhases(&b.visited))
		}
	}
}

// newGround makes the network. A scenario's latency is drawn by the model when an attempt comes, as on real sockets; its
// servers' bounds on connections and prices of handshakes are not played here, but for what Options say of all machines.
func newGround(s *scenario.Scenario, o Options) *ground {
	has := func(what string) bool {
		return slices.ContainsFunc(s.Troubles, func(t scenario.Trouble) bool { return t.What == what })
	}
	g := &ground{o: o, shared: has("handover") || !has("stop"), net: netem.New(o.Network), sockets: map[string]*netem.Socket{}, hosts: map[string]*netem.Process{}, live: map[*broker]bool{}}
	if o.KillAt != nil {
		g.exchange.Step = func(step string, from, to *netem.Process) {
			if old, next := o.KillAt(step); old {
				g.kill(from)
			} else if next {
				g.kill(to)
			}
		}
	}
	g.callers = g.net.Machine("callers", 0).Start()
	return g
}

// close ends all that serves.
func (g *ground) close() {
	g.brokers.Wait()
	g.callers.Kill()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.hosts {
		p.Kill()
	}
	for _, s := range g.sockets {
		s.Close()
	}
	g.net.Close()
}

// served is a listener with which its socket ends, and that tells nobody else of it.
type served struct {
	net.Listener
	socket *netem.Socket
	g      *ground
}

func (l served) Close() error {
	l.socket.Close()
	return l.Listener.Close()
}

func (g *ground) Listen(name string, zone int, address string) (net.Listener, error) {
	m := g.net.Machine(name, zone)
	if address == "" {
		address = g.address()
	}
	s, err := m.Bind(address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.hosts[name]
	if p == nil {
		p = m.Start()
		g.hosts[name] = p
	}
	g.sockets[s.Address()] = s
	return served{p.Listener(s), s, g}, nil
}

// address is one that nobody has.
func (g *ground) address() string {
	n := g.net.Port()
	return fmt.Sprintf("127.%d.%d.1:%d", n>>8&0xff, n&0xff, 80)
}

func (g *ground) Deaf(address string) (func(), error) {
	s, err := g.net.Machine("nobody", 0).Bind(address)
	if err != nil {
		return nil, err
	}
	s.Deaf(true)
	return func() { s.Close() }, nil
}

func (g *ground) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return g.callers.Dial(ctx, network, address)
}

func (g *ground) Part(cut func(a, b string) bool) {
	if cut == nil {
		g.net.Cut(nil)
		return
	}
	g.net.Cut(func(from, to *netem.Machine) bool { return cut(from.Name, to.Name) })
}

func (g *ground) Seat(name string, zone int) (real.Seat, error) {
	dir := filepath.Join(g.o.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	m := g.net.Machine(name, zone)
	s, err := m.Bind(g.address())
	if err != nil {
		return nil, err
	}
	return &seat{g: g, machine: m, socket: s, dir: dir}, nil
}

// seat is where the processes of an instance serve.
type seat struct {
	g       *ground
	machine *netem.Machine
	socket  *netem.Socket
	dir     string
	started int
}

func (s *seat) Address() string { return s.socket.Address() }
func (s *seat) Dir() string     { return s.dir }
func (s *seat) Close()          { s.socket.Close() }
func (s *seat) Shared() bool    { return s.g.shared }

// accepting stands for the descriptor of the socket that a process inherits.
var accepting = -1

func (s *seat) Start(file, _ string) (real.Broker, error) {
	c, err := config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return file
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	if s.g.shared {
		c.Accept, c.Handover = &accepting, s.dir
	} else if s.started > 0 {
		s.socket.Close() // with the process that made it
		if s.socket, err = s.machine.Bind(s.socket.Address()); err != nil {
			return nil, err
		}
	}
	s.started++
	b := &broker{
		name: fmt.Sprintf("%s, process %d", s.machine.Name, s.started), process: s.machine.Start(),
		signals: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), ended: make(chan struct{}),
		dies: make(chan struct{}), excused: make(chan struct{}),
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&b.log), zap.WarnLevel)
	listener := b.process.Listener(s.socket)
	if !s.g.shared {
		listener = served{listener, s.socket, s.g}
	}
	var under http1.Network = network{s.g, b.process}
	if s.g.o.Wrong != nil {
		under, listener = s.g.o.Wrong(under, listener)
	}
	if b.server, err = http1.NewOn(under, c, zap.New(core)); err != nil {
		return nil, err
	}
	s.g.mu.Lock()
	s.g.live[b] = true
	s.g.mu.Unlock()
	s.g.brokers.Go(func() {
		defer close(b.ended)
		defer func() {
			s.g.mu.Lock()
			delete(s.g.live, b)
			s.g.mu.Unlock()
		}()
		b.err = b.server.Run(listener, b.signals, b.reloads)
		select {
		case <-b.process.Dead():
		default:
			time.Sleep(letGoFor)
			if bytes, conns := b.server.BufferedBytes(), b.process.Holds(); bytes != 0 || conns > 0 {
				s.g.mu.Lock()
				s.g.held = append(s.g.held, fmt.Errorf("%s ended and held %d bytes of bodies, %d connections", b.name, bytes, conns))
				s.g.mu.Unlock()
			}
		}
		b.process.Kill() // what a process leaves open ends with it
		if !s.g.shared {
			listener.Close()
		}
	})
	return b, nil
}

// network is what a process has of a ground.
type network struct {
	g *ground
	p *netem.Process
}

func (n network) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	return n.p.Dial(ctx, "tcp", address)
}

func (n network) Receive(dir, name string) (http1.Receiver, error) {
	r, err := n.g.exchange.Receive(n.p, dir, name)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (n network) FindSuccessor(dir, name string, _ http1.Receiver) (http1.Successor, error) {
	h, err := n.g.exchange.Find(n.p, dir, name)
	if err != nil {
		return nil, err
	}
	return h, nil
}

// broker is a process of the broker.
type broker struct {
	name    string
	process *netem.Process
	server  *http1.Server
	signals chan os.Signal
	reloads chan os.Signal
	log     tail
	visited http1.PhaseCounts // by look
	dying   sync.Once
	dies    chan struct{} // closed when other than the stage is about to kill it
	pardon  sync.Once
	excused chan struct{} // closed once the stage knows
	ended   chan struct{}
	err     error // with which it ended
}

func (b *broker) Ready(ctx context.Context) error {
	for end := time.Now().Add(readyFor); !b.server.CanServe(); {
		select {
		case <-b.ended:
			return b.Fault("ended before it could serve")
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(poll):
		}
		if time.Now().After(end) {
			return b.Fault(fmt.Sprintf("could not serve within %v", readyFor))
		}
	}
	return nil
}

func (b *broker) End() {
	select {
	case b.signals <- syscall.SIGTERM:
	default: // it has one
	}
	select {
	case <-b.ended:
	case <-time.After(endFor):
		b.Kill()
	}
}

func (b *broker) Kill() {
	b.process.Kill()
	b.server.Loop().Close()
	<-b.ended
}

// Stall has the broker's loop stand still for a while. What its other goroutines do goes on meanwhile, and crosses it.
func (b *broker) Stall(lasts time.Duration) {
	end := time.Now().Add(lasts) // two at a time are no longer than the one that ends last
	b.server.Loop().Post(func() { time.Sleep(time.Until(end)) })
}

func (b *broker) Drain(on bool) error {
	if on {
		b.server.Drain()
	} else {
		b.server.Resume()
	}
	return nil
}

func (b *broker) Reload() error {
	select {
	case b.reloads <- syscall.SIGHUP:
	default: // one is to come that reads what is there now
	}
	return nil
}

// Dies is closed when other than the stage is about to kill it, which waits for Excused.
func (b *broker) Dies() <-chan struct{} { return b.dies }

func (b *broker) Excused() { b.pardon.Do(func() { close(b.excused) }) }

func (b *broker) Ended() <-chan struct{} { return b.ended }

func (b *broker) Fault(text string) error {
	return fmt.Errorf("%s %s (%w); its log ends with:\n%s", b.name, text, b.err, b.log.String())
}

// tail keeps the end of a log.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	t.text = t.text[max(len(t.text)-mostLog, 0):]
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}
