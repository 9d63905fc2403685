package real

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"dykering/internal/lab/loopback"
)

// Environment provides what a scenario is played on: the sockets of the host with one process per
// broker, or an emulated network with all of them in one process (package emulation). Names and
// zones are those of the machines.
type Environment interface {
	// Listen listens for a server or a discovery, at an address that it had before or, if that is
	// empty, at a new one.
	Listen(name string, zone int, address string) (net.Listener, error)
	// Blackhole has connections to an address that nobody listens on never be established, until end
	// is called.
	Blackhole(address string) (end func(), err error)
	// NewSlot creates the place where an instance of the broker serves, one process after another.
	NewSlot(name string, zone int) (Slot, error)
	// Dial makes connections of clients.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// SetPartition drops all traffic between two machines for which cut reports true, by their names;
	// nil ends that. The function may be called at any time.
	SetPartition(cut func(a, b string) bool)
}

// Slot is what the processes of one instance share.
type Slot interface {
	// Address is where clients connect, and Dir is for the instance's files.
	Address() string
	Dir() string
	// Start starts a process with the platform's configuration file and, unless empty, the operator's.
	// It does not wait until the process can serve.
	Start(file, operator string) (Broker, error)
	// Shared reports whether the platform holds the listening socket for successive processes; else
	// each process creates its own.
	Shared() bool
	Close()
}

// Broker is a process of the broker.
type Broker interface {
	// Ready waits until it can serve.
	Ready(context.Context) error
	// Stop sends SIGTERM and kills the process if that has no effect in time.
	Stop()
	Kill()
	Done() <-chan struct{}
	// Drain starts or ends a drain at the operators' address.
	Drain(on bool) error
	// Reload sends SIGHUP.
	Reload() error
	// Failure returns an error with the end of the process's log.
	Failure(text string) error
}

// hostNetwork is the environment of the host's sockets.
type hostNetwork struct{ options Options }

func (g hostNetwork) Listen(_ string, _ int, address string) (net.Listener, error) {
	if address == "" {
		return loopback.Listen()
	}
	return loopback.Relisten(address)
}

func (g hostNetwork) Blackhole(address string) (func(), error) {
	h, err := newFullBacklog(address)
	if err != nil {
		return nil, err
	}
	return h.close, nil
}

func (g hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// SetPartition does nothing: scenarios with a partition are refused here (see checkPlayable).
func (g hostNetwork) SetPartition(func(a, b string) bool) {}

func (g hostNetwork) NewSlot(name string, _ int) (Slot, error) {
	dir := filepath.Join(g.options.Dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	l, err := loopback.Listen()
	if err != nil {
		return nil, err
	}
	defer l.Close() // the duplicated descriptor stays open
	socket, err := l.File()
	if err != nil {
		return nil, err
	}
	return &heldSocket{command: g.options.Command, dir: dir, address: l.Addr().String(), socket: socket}, nil
}

// heldSocket is a listening socket that is held for the processes of an instance.
type heldSocket struct {
	command      []string
	dir, address string
	socket       *os.File
}

func (s *heldSocket) Address() string { return s.address }
func (s *heldSocket) Dir() string     { return s.dir }
func (s *heldSocket) Close()          { s.socket.Close() }
func (s *heldSocket) Shared() bool    { return true }

func (s *heldSocket) Start(file, operator string) (Broker, error) {
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

// tcpConn is what the connections of either environment provide beside net.Conn.
type tcpConn interface {
	CloseWrite() error
	SetLinger(sec int) error
}

// discoveryName is the name of the machine on which an instance's discovery runs.
func discoveryName(instance string) string { return fmt.Sprint("discovery of ", instance) }
