// Package netem emulates a network and the processes on it within one process: connections with latency, bandwidth,
// buffers that fill, half-closes, resets and links that are cut, accept queues and connection tables that overflow,
// handshakes that cost a machine, listening sockets that several processes share, and processes that are killed and
// that pass open connections to each other. It goes by the time package alone, so that in a testing/synctest bubble
// all of it plays in virtual time.
package netem

import (
	"math/rand/v2"
	"sync"
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

// Port is a port number that nobody has had.
func (n *Network) Port() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return n.ports
}
