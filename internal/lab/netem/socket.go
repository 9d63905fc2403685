package netem

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// Socket is a listening socket, which several processes may share; the first to accept gets a
// connection.
type Socket struct {
	machine *Machine
	address *net.TCPAddr
	queue   chan *connection
	closed  chan struct{} // by Close
	once    sync.Once
	// Its backlog counts as full; the network's mutex guards it.
	backlogFull bool
}

// Bind creates a listening socket of a machine at an address that is not in use; port 0 is any.
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

// Address is the address it listens at.
func (s *Socket) Address() string { return s.address.String() }

// SetBacklogFull has new connections to the socket never be established, as with a full backlog, or
// ends that.
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
			case l := <-s.queue:
				l.ends[1].reset()
			default:
				return
			}
		}
	})
	return nil
}

// Listener is a process's handle of a socket: to close it ends accepting in this process only.
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
			return nil, l.fault(net.ErrClosed)
		default:
		}
		select {
		case <-l.closed:
		case <-l.socket.closed:
			return nil, l.fault(net.ErrClosed)
		case got := <-l.socket.queue:
			if c := newConn(got.ends[1], l.process); c != nil {
				return c, nil
			}
			got.ends[1].reset()
		}
	}
}

func (l *listener) fault(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Addr: l.socket.address, Err: err}
}

func (l *listener) Addr() net.Addr { return l.socket.address }

func (l *listener) Close() error {
	l.process.unregister(l)
	l.kill()
	return nil
}

func (l *listener) kill() { l.once.Do(func() { close(l.closed) }) }
