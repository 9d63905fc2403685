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

// environment implements real.Environment by an emulated network.
type environment struct {
	options  Options
	net      *netem.Network
	exchange netem.Exchange
	callers  *netem.Process
	// The platform holds the listening sockets for successive processes.
	shared bool

	mu sync.Mutex
	// The sockets of servers and discoveries by address.
	sockets map[string]*netem.Socket
	// The processes of servers and discoveries by machine name.
	hosts   map[string]*netem.Process
	brokers sync.WaitGroup
	live    map[*broker]bool
	// One error for each broker that ended, was not killed, and had not released its resources.
	leaks []error
}

// unreleased returns an error that names the resources that brokers have not released.
func (e *environment) unreleased() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(e.leaks...)
}

// kill kills the broker of a process, after the checker was told that the pending requests are lost.
func (e *environment) kill(p *netem.Process) {
	e.mu.Lock()
	var b *broker
	for candidate := range e.live {
		if candidate.process == p {
			b = candidate
		}
	}
	e.mu.Unlock()
	if b == nil {
		return
	}
	b.killOnce.Do(func() { close(b.killPending) })
	<-b.killAllowed // without holding mu, which the start of another process needs
	p.Kill()
	b.server.Loop().Close()
}

// observe reports the active phases of all brokers to Options.Observe until the run has ended.
func (e *environment) observe(ended <-chan struct{}) {
	began := time.Now()
	for {
		select {
		case <-ended:
			return
		case <-time.After(e.options.ObserveInterval):
		}
		e.mu.Lock()
		all := make([]*broker, 0, len(e.live))
		for b := range e.live {
			all = append(all, b)
		}
		e.mu.Unlock()
		for _, b := range all {
			e.options.Observe(time.Since(began), b.server.ActivePhases(&b.phases))
		}
	}
}

// newEnvironment creates the network. As on real sockets, the model adds a scenario's latency when an
// attempt arrives at a server. The scenario's connection limits and handshake costs are not played, but
// Options.Network can set them for all machines.
func newEnvironment(s *scenario.Scenario, o Options) *environment {
	injects := func(kind string) bool {
		return slices.ContainsFunc(s.InjectedFaults, func(t scenario.InjectedFault) bool { return t.Kind == kind })
	}
	e := &environment{
		options: o, shared: injects("handover") || !injects("stop"), net: netem.New(o.Network),
		sockets: map[string]*netem.Socket{}, hosts: map[string]*netem.Process{}, live: map[*broker]bool{},
	}
	if o.KillAt != nil {
		e.exchange.Step = func(step string, from, to *netem.Process) {
			if killPredecessor, killSuccessor := o.KillAt(step); killPredecessor {
				e.kill(from)
			} else if killSuccessor {
				e.kill(to)
			}
		}
	}
	e.callers = e.net.Machine("callers", 0).Start()
	return e
}

// close waits for the brokers, kills all other processes and closes the network.
func (e *environment) close() {
	e.brokers.Wait()
	e.callers.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.hosts {
		p.Kill()
	}
	for _, s := range e.sockets {
		s.Close()
	}
	e.net.Close()
}

func (e *environment) Listen(name string, zone int, address string) (net.Listener, error) {
	m := e.net.Machine(name, zone)
	if address == "" {
		address = e.newAddress()
	}
	s, err := m.Bind(address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.hosts[name]
	if p == nil {
		p = m.Start()
		e.hosts[name] = p
	}
	e.sockets[s.Address()] = s
	return exclusiveListener{p.Listener(s), s, e}, nil
}

// newAddress returns an address that is not in use.
func (e *environment) newAddress() string {
	n := e.net.Port()
	return fmt.Sprintf("127.%d.%d.1:%d", n>>8&0xff, n&0xff, 80)
}

func (e *environment) Blackhole(address string) (func(), error) {
	s, err := e.net.Machine("nobody", 0).Bind(address)
	if err != nil {
		return nil, err
	}
	s.SetBacklogFull(true)
	return func() { s.Close() }, nil
}

func (e *environment) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return e.callers.Dial(ctx, network, address)
}

func (e *environment) SetPartition(cut func(a, b string) bool) {
	if cut == nil {
		e.net.SetPartition(nil)
		return
	}
	e.net.SetPartition(func(from, to *netem.Machine) bool { return cut(from.Name, to.Name) })
}

func (e *environment) NewSlot(name string, zone int) (real.Slot, error) {
	dir := filepath.Join(e.options.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	m := e.net.Machine(name, zone)
	s, err := m.Bind(e.newAddress())
	if err != nil {
		return nil, err
	}
	return &slot{environment: e, machine: m, socket: s, dir: dir}, nil
}
