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

// seat is where the processes of an instance serve.
type seat struct {
	g       *ground
	machine *netem.Machine
	socket  *netem.Socket
	dir     string
	started int
}

func (s *seat) Address() string { return s.socket.Address() }

func (s *seat) Dir() string { return s.dir }

func (s *seat) Close() { s.socket.Close() }

func (s *seat) Shared() bool { return s.g.shared }

// accepting stands for the descriptor of the socket that a process inherits.
var accepting = -1

// Start starts a process of the program on this socket.
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
	under, listener := s.sockets(b)
	if b.server, err = http1.NewOn(under, c, zap.New(core)); err != nil {
		return nil, err
	}
	s.g.mu.Lock()
	s.g.live[b] = true
	s.g.mu.Unlock()
	s.g.brokers.Go(func() { s.run(b, listener) })
	return b, nil
}

// sockets gives what a process listens on and dials by; Options.Wrong may change both.
func (s *seat) sockets(b *broker) (http1.Network, net.Listener) {
	listener := b.process.Listener(s.socket)
	if !s.g.shared {
		listener = served{listener, s.socket, s.g}
	}
	under := network{s.g, b.process}
	if s.g.o.Wrong != nil {
		return s.g.o.Wrong(under, listener)
	}
	return under, listener
}

// run serves until the process ends, and notes what it still holds then.
func (s *seat) run(b *broker, listener net.Listener) {
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
