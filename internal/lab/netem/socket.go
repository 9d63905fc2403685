package netem

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// Socket is a listening socket, which several processes may share. Each connection goes to the process
// that accepts it first.
type Socket struct {
	machine *Machine
	address *net.TCPAddr
	// The backlog: connections that no process has accepted yet.
	queue chan *connection
	// Closed by Close.
	closed chan struct{}
	once   sync.Once
	// The backlog counts as full. The network's mutex guards this.
	backlogFull bool
}

// Bind creates a listening socket of a machine at an address that is not in use. Port 0 selects an
// unused port.
func (m *Machine) Bind(address string) (*Socket, error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	n := m.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port == 0 {
		n.ports++
		at.Port = n.ports
	}
	if n.sockets[at.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	s := &Socket{machine: m, address: at, queue: make(chan *connection, n.options.Backlog), closed: make(chan struct{})}
	n.sockets[at.String()] = s
	return s, nil
}

// Address returns the address at which the socket listens.
func (s *Socket) Address() string { return s.address.String() }

// SetBacklogFull starts or ends a state in which no new connection to the socket is established, as with
// a full backlog.
func (s *Socket) SetBacklogFull(on bool) {
	s.machine.net.mu.Lock()
	defer s.machine.net.mu.Unlock()
	s.backlogFull = on
}

// Close closes the socket for all processes, and resets the connections in its backlog.
func (s *Socket) Close() error {
	s.once.Do(func() {
		n := s.machine.net
		n.mu.Lock()
		delete(n.sockets, s.address.String())
		n.mu.Unlock()
		close(s.closed)
		for {
			select {
			case c := <-s.queue:
				c.ends[1].reset()
			default:
				return
			}
		}
	})
	return nil
}

// Listener returns a process's handle of a socket. Its Close ends accepting in this process only.
func (p *Process) Listener(s *Socket) net.Listener {
	l := &listener{socket: s, process: p, closed: make(chan struct{})}
	p.register(l)
	return l
}

type listener struct {
	socket  *Socket
	process *Process
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		select {
		case <-l.closed:
			return nil, l.opError(net.ErrClosed)
		default:
		}
		select {
		case <-l.closed:
		case <-l.socket.closed:
			return nil, l.opError(net.ErrClosed)
		case accepted := <-l.socket.queue:
			if c := newConn(accepted.ends[1], l.process); c != nil {
				return c, nil
			}
			accepted.ends[1].reset()
		}
	}
}

func (l *listener) opError(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Addr: l.socket.address, Err: err}
}

func (l *listener) Addr() net.Addr { return l.socket.address }

func (l *listener) Close() error {
	l.process.unregister(l)
	l.kill()
	return nil
}

func (l *listener) kill() { l.once.Do(func() { close(l.closed) }) }
