package emulation

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"dykering/internal/config"
	"dykering/internal/http1"
	"dykering/internal/lab/netem"
	"dykering/internal/lab/real"
)

// exclusiveListener is a listener whose Close also closes the socket.
type exclusiveListener struct {
	net.Listener
	socket      *netem.Socket
	environment *environment
}

func (l exclusiveListener) Close() error {
	l.socket.Close()
	return l.Listener.Close()
}

// slot implements real.Slot on a machine of the emulated network.
type slot struct {
	environment *environment
	machine     *netem.Machine
	socket      *netem.Socket
	dir         string
	// The number of processes that were started.
	started int
}

func (s *slot) Address() string { return s.socket.Address() }

func (s *slot) Dir() string { return s.dir }

func (s *slot) Close() { s.socket.Close() }

func (s *slot) Shared() bool { return s.environment.shared }

// inheritedDescriptor is the value of config.Config.Accept for a process that inherits its listening
// socket. No descriptor is opened by it.
var inheritedDescriptor = -1

// Start starts a broker on the slot's socket.
func (s *slot) Start(file, _ string) (real.Broker, error) {
	c, err := config.Load(func(name string) string {
		if name == "BALANCER_CONFIG" {
			return file
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	if s.environment.shared {
		c.Accept, c.Handover = &inheritedDescriptor, s.dir
	} else if s.started > 0 {
		s.socket.Close() // the process that created the socket has ended
		if s.socket, err = s.machine.Bind(s.socket.Address()); err != nil {
			return nil, err
		}
	}
	s.started++
	b := &broker{
		name: fmt.Sprintf("%s, process %d", s.machine.Name, s.started), process: s.machine.Start(),
		signals: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), done: make(chan struct{}),
		killPending: make(chan struct{}), killAllowed: make(chan struct{}),
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&b.log), zap.WarnLevel)
	network, listener := s.networkAndListener(b)
	if b.server, err = http1.NewOn(network, c, zap.New(core)); err != nil {
		return nil, err
	}
	s.environment.mu.Lock()
	s.environment.live[b] = true
	s.environment.mu.Unlock()
	s.environment.brokers.Go(func() { s.run(b, listener) })
	return b, nil
}

// networkAndListener returns the network and the listener of a process, which Options.WrapNetwork may
// replace.
func (s *slot) networkAndListener(b *broker) (http1.Network, net.Listener) {
	listener := b.process.Listener(s.socket)
	if !s.environment.shared {
		listener = exclusiveListener{listener, s.socket, s.environment}
	}
	plain := network{s.environment, b.process}
	if s.environment.options.WrapNetwork != nil {
		return s.environment.options.WrapNetwork(plain, listener)
	}
	return plain, listener
}

// run serves until the process ends, and records the resources that the process has not released
// releaseTimeout later.
func (s *slot) run(b *broker, listener net.Listener) {
	defer close(b.done)
	defer func() {
		s.environment.mu.Lock()
		delete(s.environment.live, b)
		s.environment.mu.Unlock()
	}()
	b.err = b.server.Run(listener, b.signals, b.reloads)
	select {
	case <-b.process.Dead():
	default:
		time.Sleep(releaseTimeout)
		if bytes, conns := b.server.BufferedBytes(), b.process.OpenConnections(); bytes != 0 || conns > 0 {
			s.environment.mu.Lock()
			s.environment.leaks = append(s.environment.leaks,
				fmt.Errorf("%s ended without releasing %d bytes of bodies and %d connections", b.name, bytes, conns))
			s.environment.mu.Unlock()
		}
	}
	b.process.Kill() // closes the connections that the process has left open
	if !s.environment.shared {
		listener.Close()
	}
}

// network implements http1.Network for a process.
type network struct {
	environment *environment
	process     *netem.Process
}

func (n network) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	return n.process.Dial(ctx, "tcp", address)
}

func (n network) Receive(dir, name string) (http1.Receiver, error) {
	r, err := n.environment.exchange.Receive(n.process, dir, name)
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (n network) FindSuccessor(dir, name string, _ http1.Receiver) (http1.Successor, error) {
	successor, err := n.environment.exchange.Find(n.process, dir, name)
	if err != nil {
		return nil, err
	}
	return successor, nil
}
