package real

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"dykering/internal/lab/loopback"
)

// Environment provides the network and the broker processes for a scenario. It is implemented by the
// host's sockets with one process per broker, and by an emulated network with all brokers in one
// process (package emulation). The names and zones in its methods are those of the machines.
type Environment interface {
	// Listen creates the listener of a server or a discovery. An empty address selects a new one;
	// otherwise the address is the one that the server or discovery had before.
	Listen(name string, zone int, address string) (net.Listener, error)
	// Blackhole leaves new connections to an address without a handshake until end is called. Nobody
	// may listen at the address.
	Blackhole(address string) (end func(), err error)
	// NewSlot creates the slot of an instance of the broker.
	NewSlot(name string, zone int) (Slot, error)
	// Dial opens the connection of a client.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// SetPartition drops all traffic between each two machines for whose names cut reports true. A nil
	// cut ends the partition. The environment may call cut at any time.
	SetPartition(cut func(a, b string) bool)
}

// Slot holds the address and the directory that the successive processes of one instance share.
type Slot interface {
	// Address returns the address to which clients connect.
	Address() string
	// Dir returns the directory of the instance's files.
	Dir() string
	// Start starts a process with the platform's configuration file and, unless empty, the operator's.
	// It does not wait until the process can serve.
	Start(file, operator string) (Broker, error)
	// Shared reports whether the platform holds the listening socket for successive processes.
	// Otherwise each process creates its own.
	Shared() bool
	Close()
}

// Broker controls one process of the broker.
type Broker interface {
	// Ready waits until the process can serve.
	Ready(context.Context) error
	// Stop sends SIGTERM and kills the process if it does not end in time.
	Stop()
	Kill()
	// Done is closed when the process has ended.
	Done() <-chan struct{}
	// Drain starts or ends a drain through the control address of the process.
	Drain(on bool) error
	// Reload makes the process read its configuration files again (SIGHUP).
	Reload() error
	// Failure returns an error with the given text and the end of the process's log.
	Failure(text string) error
}

// hostNetwork is the Environment on the host's sockets.
type hostNetwork struct{ options Options }

func (h hostNetwork) Listen(_ string, _ int, address string) (net.Listener, error) {
	if address == "" {
		return loopback.Listen()
	}
	return loopback.Relisten(address)
}

func (h hostNetwork) Blackhole(address string) (func(), error) {
	backlog, err := newFullBacklog(address)
	if err != nil {
		return nil, err
	}
	return backlog.close, nil
}

func (h hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

// SetPartition does nothing, because checkPlayable refuses scenarios with a partition.
func (h hostNetwork) SetPartition(func(a, b string) bool) {}

func (h hostNetwork) NewSlot(name string, _ int) (Slot, error) {
	dir := filepath.Join(h.options.Dir, name)
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
	return &heldSocket{command: h.options.Command, dir: dir, address: l.Addr().String(), socket: socket}, nil
}

// heldSocket is the Slot on the host: the laboratory holds the listening socket, and each process of
// the instance inherits it.
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

// tcpConn lists the methods that connections of both environments have in addition to net.Conn.
type tcpConn interface {
	CloseWrite() error
	SetLinger(sec int) error
}

// discoveryName returns the name of the machine on which an instance's discovery runs.
func discoveryName(instance string) string { return fmt.Sprint("discovery of ", instance) }
