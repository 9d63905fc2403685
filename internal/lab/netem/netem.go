package netem

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the properties of the network. The zero value has neither latency nor limits.
type Options struct {
	// One way.
	Latency time.Duration
	// The most that is added to the latency.
	Jitter time.Duration
	// Bytes per second of a connection, each way; 0 for no limit.
	Bandwidth int
	// Unread bytes that a connection holds each way; 0 for 256 KiB.
	Buffer int
	// Connections that a listening socket holds unaccepted; 0 for 4,096.
	Backlog int
	// Connections that a machine holds at a time; 0 for no limit.
	MaxConnections int
	// Time of a machine's cores for each connection that is established.
	Handshake time.Duration
	// Seed of the jitter.
	Seed uint64
}

const (
	defaultBuffer  = 256 << 10
	defaultBacklog = 4096
	// synRetryInterval is when a lost SYN is sent again first; each further interval is twice as long
	// (Linux: tcp(7), TCP_TIMEOUT_INIT).
	synRetryInterval = time.Second
)

// Network is an emulated network. Its mutex guards machines and sockets; connections have mutexes
// of their own.
type Network struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	machines map[string]*Machine
	sockets  map[string]*Socket // that listen, by address
	ports    int
	// Nil for none.
	partition   func(from, to *Machine) bool
	connections map[*connection]bool
	wakes       wakeTimer
}

// New creates a network.
func New(o Options) *Network {
	if o.Buffer == 0 {
		o.Buffer = defaultBuffer
	}
	if o.Backlog == 0 {
		o.Backlog = defaultBacklog
	}
	return &Network{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), machines: map[string]*Machine{},
		sockets: map[string]*Socket{}, ports: 1024, connections: map[*connection]bool{},
		wakes: wakeTimer{sooner: make(chan struct{}, 1), closed: make(chan struct{})},
	}
}

// Close ends the network: no deadline passes on it any more.
func (n *Network) Close() { close(n.wakes.closed) }

// Machine is a machine. Its processes share its connection table, its cores and its links.
type Machine struct {
	Name string
	Zone int
	net  *Network
	// Open connections; the network's mutex guards this and busyUntil.
	connections int
	// Until when handshakes occupy its cores.
	busyUntil time.Time
}

// Machine returns the machine of a name, which it creates on first use.
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

// SetPartition loses all packets from one machine to another for which lost reports true; nil heals
// all links. What a connection sends meanwhile arrives once its link is healed, as TCP retransmits
// it.
func (n *Network) SetPartition(lost func(from, to *Machine) bool) {
	n.mu.Lock()
	n.partition = lost
	all := make([]*connection, 0, len(n.connections))
	for l := range n.connections {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, l := range all {
		for _, e := range l.ends {
			e.input.release(n.delay(), func() bool { return n.isLost(e.peer().machine, e.machine) })
		}
	}
}

func (n *Network) isLost(from, to *Machine) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition != nil && n.partition(from, to)
}

// delay draws the transit time of a packet.
func (n *Network) delay() time.Duration {
	if n.options.Jitter == 0 {
		return n.options.Latency
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Latency + time.Duration(n.random.Int64N(int64(n.options.Jitter)))
}

// Process is a process on a machine. Everything that it opens ends with it.
type Process struct {
	*Machine
	mu      sync.Mutex
	dead    chan struct{}
	handles map[killable]bool
	killed  bool
}

type killable interface{ kill() }

// Start starts a process on a machine.
func (m *Machine) Start() *Process {
	return &Process{Machine: m, dead: make(chan struct{}), handles: map[killable]bool{}}
}

// Kill ends a process at once, as SIGKILL does: its connections are reset, and it receives and
// sends nothing more. Its goroutines may go on without effect.
func (p *Process) Kill() {
	p.mu.Lock()
	if p.killed {
		p.mu.Unlock()
		return
	}
	p.killed = true
	close(p.dead)
	all := make([]killable, 0, len(p.handles))
	for h := range p.handles {
		all = append(all, h)
	}
	p.mu.Unlock()
	for _, h := range all {
		h.kill()
	}
}

// OpenConnections is the number of connections that a process has open.
func (p *Process) OpenConnections() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.handles {
		if _, ok := h.(*Conn); ok {
			n++
		}
	}
	return n
}

// Dead is closed when the process was killed.
func (p *Process) Dead() <-chan struct{} { return p.dead }

// register has a handle end with the process; it reports false if that has ended already.
func (p *Process) register(h killable) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.killed {
		p.handles[h] = true
	}
	return !p.killed
}

func (p *Process) unregister(h killable) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.handles, h)
}

// Port is a port number that was not used before.
func (n *Network) Port() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return n.ports
}
