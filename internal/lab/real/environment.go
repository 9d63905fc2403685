package real

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"dykering/internal/lab/loopback"
)

// Ground is what a scenario is played on: the kernel's sockets with a process for each broker, or an emulated network
// with all of them in one process (package whole). Names and zones are those of the machines that things run on.
type Ground interface {
	// Listen listens for a server or a discovery, at an address that it had before or, where that is empty, at its own.
	Listen(name string, zone int, address string) (net.Listener, error)
	// Deaf has connections to an address that nobody listens at any more never come up, until its end.
	Deaf(address string) (end func(), err error)
	// Seat is where an instance of the broker serves, one process after another.
	Seat(name string, zone int) (Seat, error)
	// Dial makes connections of callers.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// Part loses all that goes between two machines where cut says so, by their names. It may be asked at any time.
	Part(cut func(a, b string) bool)
}

// Seat is what the processes of an instance share.
type Seat interface {
	// Address is where callers connect, and Dir is for the instance's files.
	Address() string
	Dir() string
	// Start starts a process with the platform's file and, unless that is empty, the operator's. It does not wait until
	// that can serve.
	Start(file, operator string) (Broker, error)
	// Shared tells whether the platform holds the socket for processes that follow each other; else each makes its own.
	Shared() bool
	Close()
}

// Broker is a process of the broker.
type Broker interface {
	Ready(context.Context) error // waits until it can serve
	End()                        // with SIGTERM and, if it does not heed that, by force
	Kill()
	Ended() <-chan struct{}
	Drain(on bool) error     // at the second address
	Reload() error           // SIGHUP
	Fault(text string) error // says what it did, with the end of its log
}

// kernel is the kernel's ground.
type kernel struct{ o Options }

func (g kernel) Listen(_ string, _ int, address string) (net.Listener, error) {
	if address == "" {
		return loopback.Listen()
	}
	return loopback.ListenAgain(address)
}

func (g kernel) Deaf(address string) (func(), error) {
	h, err := dig(address)
	if err != nil {
		return nil, err
	}
	return h.close, nil
}

func (g kernel) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// Part does nothing: what is played on sockets has no partition (see playable).
func (g kernel) Part(func(a, b string) bool) {}

func (g kernel) Seat(name string, _ int) (Seat, error) {
	dir := filepath.Join(g.o.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	defer l.Close() // the descriptor below stays
	socket, err := l.File()
	if err != nil {
		return nil, err
	}
	return &seat{command: g.o.Command, dir: dir, address: l.Addr().String(), socket: socket}, nil
}

// seat is a socket that is held for an instance's processes.
type seat struct {
	command      []string
	dir, address string
	socket       *os.File
}

func (s *seat) Address() string { return s.address }
func (s *seat) Dir() string     { return s.dir }
func (s *seat) Close()          { s.socket.Close() }
func (s *seat) Shared() bool    { return true }

func (s *seat) Start(file, operator string) (Broker, error) {
	command := s.command
	if operator != "" {
		command = append(append([]string(nil), command...), "--operator", operator)
	}
	p, err := Launch{Command: command, File: file, Socket: s.socket, Dir: s.dir, Log: filepath.Join(s.dir, "log")}.Start()
	if err != nil {
		return nil, err
	}
	return p, nil
}

// tcpConn is what a connection of either ground can do beside net.Conn.
type tcpConn interface {
	CloseWrite() error
	SetLinger(sec int) error
}

// discoveryName is what the machine of an instance's discovery is called.
func discoveryName(instance string) string { return fmt.Sprint("discovery of ", instance) }
