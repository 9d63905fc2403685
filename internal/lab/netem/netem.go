package netem

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the properties of the network. With the zero value packets take no time, bandwidth and
// connections are unlimited, and buffers and backlogs have their default sizes.
type Options struct {
	// The transit time of a packet one way, without jitter.
	Latency time.Duration
	// The upper bound of the random time that is added to the latency.
	Jitter time.Duration
	// Bytes per second of a connection in each direction; 0 for no limit.
	Bandwidth int
	// The number of unread bytes that a connection holds in each direction; 0 for 256 KiB.
	Buffer int
	// The number of unaccepted connections that a listening socket holds; 0 for 4,096.
	Backlog int
	// The number of connections that a machine holds at a time; 0 for no limit.
	MaxConnections int
	// The time of the accepting machine's cores for each established connection.
	Handshake time.Duration
	// The seed of the jitter.
	Seed uint64
}

const (
	defaultBuffer  = 256 << 10
	defaultBacklog = 4096
	// synRetryInterval is the time until a lost SYN is sent again. Each further interval is twice as long
	// (on Linux TCP_TIMEOUT_INIT).
	synRetryInterval = time.Second
)

// Network is an emulated network. Its mutex guards the machines and sockets. Connections have their own
// mutexes.
type Network struct {
	options Options

	mu       sync.Mutex
	random   *rand.Rand
	machines map[string]*Machine
	// The listening sockets by address.
	sockets map[string]*Socket
	// The last port number that was assigned.
	ports int
	// Reports whether packets between two machines are lost; nil without a partition.
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
		wakes: wakeTimer{earlier: make(chan struct{}, 1), closed: make(chan struct{})},
	}
}

// Close stops the wake timer. Deadlines and arrival times then wake nobody any more.
func (n *Network) Close() { close(n.wakes.closed) }

// Machine is a machine of the network. Its processes share its connection table, cores and links.
type Machine struct {
	Name string
	Zone int
	net  *Network
	// The number of open connections. The network's mutex guards this and busyUntil.
	connections int
	// The time until which handshakes occupy the cores.
	busyUntil time.Time
}

// Machine returns the machine with a name, and creates it on the first call.
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

// SetPartition drops all packets from one machine to another for which lost reports true. A nil function
// ends the partition. The bytes that a connection sends meanwhile arrive when its machines are connected
// again, since TCP retransmits them.
func (n *Network) SetPartition(lost func(from, to *Machine) bool) {
	n.mu.Lock()
	n.partition = lost
	all := make([]*connection, 0, len(n.connections))
	for c := range n.connections {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		for _, e := range c.ends {
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

// Process is a process on a machine. A kill closes all of its connections, listeners and receivers.
type Process struct {
	*Machine
	mu      sync.Mutex
	dead    chan struct{}
	handles map[killable]bool
	killed  bool
}

// killable is a handle of a process, which ends with the process.
type killable interface{ kill() }

// Start starts a process on a machine.
func (m *Machine) Start() *Process {
	return &Process{Machine: m, dead: make(chan struct{}), handles: map[killable]bool{}}
}

// Kill ends a process at once, as SIGKILL does. Its connections are reset, and it neither receives nor
// sends anything more. Its goroutines may continue without any effect.
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

// OpenConnections returns the number of connections that a process has open.
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

// register adds a handle that a kill of the process closes. It reports false if the process was killed
// already.
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

// Port returns a port number that was not used before.
func (n *Network) Port() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return n.ports
}
