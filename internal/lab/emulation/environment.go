package emulation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"dykering/internal/lab/netem"
	"dykering/internal/lab/real"
	"dykering/internal/lab/scenario"
)

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
		return slices.ContainsFunc(s.InjectedFaults, func(t scenario.InjectedFault) bool { return t.Kind == what })
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
