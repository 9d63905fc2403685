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

// environment is an emulated network with brokers on it.
type environment struct {
	options  Options
	net      *netem.Network
	exchange netem.Exchange
	callers  *netem.Process
	// Listening sockets are held by the platform for successive processes.
	shared bool

	mu sync.Mutex
	// Sockets of servers and discoveries, by address.
	sockets map[string]*netem.Socket
	hosts   map[string]*netem.Process
	brokers sync.WaitGroup
	live    map[*broker]bool
	// What brokers that ended in order had not released.
	leaks []error
}

// unreleased returns the resources that brokers have not released.
func (g *environment) unreleased() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return errors.Join(g.leaks...)
}

// kill kills the broker that runs as a process, once the stage has excused its requests.
func (g *environment) kill(p *netem.Process) {
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
	b.killOnce.Do(func() { close(b.killPending) })
	<-b.killAllowed // without the lock, since the stage may be starting a process
	p.Kill()
	b.server.Loop().Close()
}

// observe reports the active phases of all brokers, until a run is over.
func (g *environment) observe(over <-chan struct{}) {
	began := time.Now()
	for {
		select {
		case <-over:
			return
		case <-time.After(g.options.ObserveInterval):
		}
		g.mu.Lock()
		all := make([]*broker, 0, len(g.live))
		for b := range g.live {
			all = append(all, b)
		}
		g.mu.Unlock()
		for _, b := range all {
			g.options.Observe(time.Since(began), b.server.ActivePhases(&b.phases))
		}
	}
}

// newEnvironment creates the network. As on real sockets, the model draws a scenario's latency when
// an attempt arrives; limits on the connections of servers and costs of handshakes are not played
// here, except those that Options set for all machines.
func newEnvironment(s *scenario.Scenario, o Options) *environment {
	injects := func(kind string) bool {
		return slices.ContainsFunc(s.InjectedFaults, func(t scenario.InjectedFault) bool { return t.Kind == kind })
	}
	g := &environment{options: o, shared: injects("handover") || !injects("stop"), net: netem.New(o.Network), sockets: map[string]*netem.Socket{}, hosts: map[string]*netem.Process{}, live: map[*broker]bool{}}
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

// close stops everything that serves.
func (g *environment) close() {
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

func (g *environment) Listen(name string, zone int, address string) (net.Listener, error) {
	m := g.net.Machine(name, zone)
	if address == "" {
		address = g.newAddress()
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
	return exclusiveListener{p.Listener(s), s, g}, nil
}

// newAddress is an address that is not in use.
func (g *environment) newAddress() string {
	n := g.net.Port()
	return fmt.Sprintf("127.%d.%d.1:%d", n>>8&0xff, n&0xff, 80)
}

func (g *environment) Blackhole(address string) (func(), error) {
	s, err := g.net.Machine("nobody", 0).Bind(address)
	if err != nil {
		return nil, err
	}
	s.SetBacklogFull(true)
	return func() { s.Close() }, nil
}

func (g *environment) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return g.callers.Dial(ctx, network, address)
}

func (g *environment) SetPartition(cut func(a, b string) bool) {
	if cut == nil {
		g.net.SetPartition(nil)
		return
	}
	g.net.SetPartition(func(from, to *netem.Machine) bool { return cut(from.Name, to.Name) })
}

func (g *environment) NewSlot(name string, zone int) (real.Slot, error) {
	dir := filepath.Join(g.options.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	m := g.net.Machine(name, zone)
	s, err := m.Bind(g.newAddress())
	if err != nil {
		return nil, err
	}
	return &slot{environment: g, machine: m, socket: s, dir: dir}, nil
}
