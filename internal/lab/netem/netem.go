// Package netem emulates a network and the processes on it within one process: connections with latency, bandwidth,
// buffers that fill, half-closes, resets and links that are cut, accept queues and connection tables that overflow,
// handshakes that cost a machine, listening sockets that several processes share, and processes that are killed and
// that pass open connections to each other. It goes by the time package alone, so that in a testing/synctest bubble
// all of it plays in virtual time.
package netem

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Options are what the network is like. The zero value is a network without latency or bounds.
type Options struct {
	Latency   time.Duration // one way
	Jitter    time.Duration // at most, beside
	Bandwidth int           // bytes a second of a connection, each way; 0 for no bound
	Buffer    int           // bytes that a connection takes each way and that are not read; 0 for 256 KiB
	Backlog   int           // connections that a listening socket holds unaccepted; 0 for 4,096
	Table     int           // connections that a machine holds at a time; 0 for no bound
	Handshake time.Duration // of a machine's cores for each connection that comes up
	Seed      uint64        // of the jitter
}

const (
	bufferDefault  = 256 << 10
	backlogDefault = 4096
	// synAgain is when a SYN that was lost is sent again the first time; each further wait is twice as long
	// (Linux: tcp(7), TCP_TIMEOUT_INIT).
	synAgain = time.Second
)

// Network is a network. Its machines and sockets belong to its mutex, what is on a connection to that connection's.
type Network struct {
	o Options

	mu       sync.Mutex
	rng      *rand.Rand
	machines map[string]*Machine
	sockets  map[string]*Socket // that listen, by address
	ports    int
	cut      func(from, to *Machine) bool // nil for none
	conns    map[*line]bool
	wakes    wakes
}

// New makes a network.
func New(o Options) *Network {
	if o.Buffer == 0 {
		o.Buffer = bufferDefault
	}
	if o.Backlog == 0 {
		o.Backlog = backlogDefault
	}
	return &Network{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), machines: map[string]*Machine{},
		sockets: map[string]*Socket{}, ports: 1024, conns: map[*line]bool{},
		wakes: wakes{sooner: make(chan struct{}, 1), closed: make(chan struct{})},
	}
}

// Close ends the network: no deadline passes on it any more.
func (n *Network) Close() { close(n.wakes.closed) }

// Machine is a machine; processes on it share its connection table, its cores and its fate when a link is cut.
type Machine struct {
	Name string
	Zone int
	net  *Network
	open int       // connections; the network's mutex guards these
	busy time.Time // until when its cores are taken by handshakes
}

// Machine is the machine of a name, made when it is first asked for.
func (n *Network) Machine(name string, zone int) *Machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.machines[name]
	if m == nil {
		m = &Machine{Name: name, Zone: zone, net: n}
		n.machines[name] = m
	}
	return m
}

// Cut loses what goes from one machine to another wherever lost says so; nil heals all. What a connection sends
// meanwhile comes once its link is whole again, as TCP sends it again.
func (n *Network) Cut(lost func(from, to *Machine) bool) {
	n.mu.Lock()
	n.cut = lost
	all := make([]*line, 0, len(n.conns))
	for l := range n.conns {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, l := range all {
		for _, e := range l.ends {
			e.in.release(n.delay(), func() bool { return n.lost(e.peer().machine, e.machine) })
		}
	}
}

func (n *Network) lost(from, to *Machine) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// delay draws how long a packet is under way.
func (n *Network) delay() time.Duration {
	if n.o.Jitter == 0 {
		return n.o.Latency
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.o.Latency + time.Duration(n.rng.Int64N(int64(n.o.Jitter)))
}

// Process is a process on a machine: what it opens ends with it.
type Process struct {
	*Machine
	mu      sync.Mutex
	dead    chan struct{}
	handles map[closer]bool
	killed  bool
}

type closer interface{ die() }

// Start starts a process on a machine.
func (m *Machine) Start() *Process {
	return &Process{Machine: m, dead: make(chan struct{}), handles: map[closer]bool{}}
}

// Kill ends a process at once, as SIGKILL does: its connections are reset, and it hears and says no more. What its
// goroutines still do comes to nothing.
func (p *Process) Kill() {
	p.mu.Lock()
	if p.killed {
		p.mu.Unlock()
		return
	}
	p.killed = true
	close(p.dead)
	all := make([]closer, 0, len(p.handles))
	for h := range p.handles {
		all = append(all, h)
	}
	p.mu.Unlock()
	for _, h := range all {
		h.die()
	}
}

// Holds is how many connections a process has open.
func (p *Process) Holds() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.handles {
		if _, ok := h.(*Conn); ok {
			n++
		}
	}
	return n
}

// Dead is closed when a process was killed.
func (p *Process) Dead() <-chan struct{} { return p.dead }

// own has something end with a process; false when it has ended already.
func (p *Process) own(h closer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.killed {
		p.handles[h] = true
	}
	return !p.killed
}

func (p *Process) disown(h closer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.handles, h)
}

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

// Dial makes a connection, as net.Dialer's DialContext does. Where nobody listens it is refused, where the socket is
// deaf, its queue full or the link cut it is tried again until the context ends.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		at, _ := net.ResolveTCPAddr("tcp4", address)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: at, Err: err}
	}
	for again := synAgain; ; again *= 2 {
		way, err := p.knock(address)
		if err == nil {
			if !wait(ctx, p.dead, way) {
				break
			}
			l, err := p.connect(address)
			if err != nil {
				return fail(err)
			}
			if l != nil {
				if c := newConn(l.ends[0], p); c != nil {
					return c, nil
				}
				l.ends[0].reset()
				break
			}
		}
		if !wait(ctx, p.dead, again) {
			break
		}
	}
	if err := context.Cause(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = os.ErrDeadlineExceeded
		}
		return fail(err)
	}
	return fail(net.ErrClosed)
}

// wait waits for a time; false when it ended before.
func wait(ctx context.Context, dead <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-dead:
	}
	return false
}

var errLost = errors.New("lost")

// knock is a SYN's way there and back: how long it takes, or that it is lost.
func (p *Process) knock(address string) (time.Duration, error) {
	n := p.net
	way := n.delay() + n.delay()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil {
		return way, nil
	}
	if s.deaf || len(s.queue) == cap(s.queue) || n.cut != nil && (n.cut(p.Machine, s.machine) || n.cut(s.machine, p.Machine)) {
		return 0, errLost
	}
	if n.o.Handshake > 0 {
		now := time.Now()
		if s.machine.busy.Before(now) {
			s.machine.busy = now
		}
		s.machine.busy = s.machine.busy.Add(n.o.Handshake)
		way += s.machine.busy.Sub(now)
	}
	return way, nil
}

// connect makes a connection to whoever listens now; none and no error where it is lost after all.
func (p *Process) connect(address string) (*line, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil || n.o.Table > 0 && s.machine.open >= n.o.Table {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	n.ports++
	from := &net.TCPAddr{IP: net.IPv4(10, byte(n.ports>>32), byte(n.ports>>24), byte(n.ports>>16)), Port: n.ports & 0xffff}
	l := newLine(n, p.Machine, s.machine, from, s.address)
	select {
	case s.queue <- l:
	default:
		return nil, nil
	}
	n.conns[l] = true
	p.Machine.open++
	s.machine.open++
	return l, nil
}

// gone takes a connection that both sides have ended out of the network.
func (n *Network) gone(l *line) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[l] {
		delete(n.conns, l)
		for _, e := range l.ends {
			e.machine.open--
		}
	}
}

// Port is a port number that nobody has had.
func (n *Network) Port() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return n.ports
}
