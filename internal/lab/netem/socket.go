package netem

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// Socket is a listening socket, that several processes may share; whoever accepts first has a connection.
type Socket struct {
	machine *Machine
	address *net.TCPAddr
	queue   chan *line
	closed  chan struct{} // by Close
	once    sync.Once
	deaf    bool // its queue is full; the network's mutex guards it
}

// Bind makes a listening socket of a machine at an address that nobody listens on; port 0 is any.
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
	s := &Socket{machine: m, address: at, queue: make(chan *line, n.o.Backlog), closed: make(chan struct{})}
	n.sockets[at.String()] = s
	return s, nil
}

// Address is where it listens.
func (s *Socket) Address() string { return s.address.String() }

// Deaf has new connections to a socket never come up, as where its backlog is full, or ends that.
func (s *Socket) Deaf(on bool) {
	s.machine.net.mu.Lock()
	defer s.machine.net.mu.Unlock()
	s.deaf = on
}

// Close ends the socket for all, and resets what waits in its queue.
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

// Listener is a process's copy of a socket: to close it ends this process's accepting alone.
func (p *Process) Listener(s *Socket) net.Listener {
	l := &listener{socket: s, process: p, closed: make(chan struct{})}
	p.own(l)
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
	l.process.disown(l)
	l.die()
	return nil
}

func (l *listener) die() { l.once.Do(func() { close(l.closed) }) }
