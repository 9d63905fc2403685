package netem

import (
	"net"
	"sync"
)

// connection is a connection of two ends.
type connection struct {
	net *Network
	// The dialling and the accepting end.
	ends [2]*end
}

// end is one side of a connection. Processes have handles of it; it ends when the last one is
// closed.
type end struct {
	connection *connection
	// Its index among the connection's ends.
	side    int
	machine *Machine
	addr    net.Addr
	// What arrives here.
	input *stream

	mu      sync.Mutex
	handles int
	// If false, a close is a reset.
	linger bool
	// Closed or reset here.
	closed bool
	// Nothing more is sent from here.
	finSent bool
}

func newConnection(n *Network, from, to *Machine, fromAddr, toAddr net.Addr) *connection {
	l := &connection{net: n}
	for i, m := range []*Machine{from, to} {
		l.ends[i] = &end{connection: l, side: i, machine: m, addr: []net.Addr{fromAddr, toAddr}[i], linger: true, input: newStream(n.options.Buffer)}
	}
	return l
}

func (e *end) peer() *end { return e.connection.ends[1-e.side] }

// send sends bytes, the end of the stream or a reset to the other side.
func (e *end) send(b []byte, what kind) {
	n := e.connection.net
	to := e.peer()
	to.input.add(segment{what: what, b: b, lost: n.isLost(e.machine, to.machine)}, n.delay(), n.options.Bandwidth)
}

// reset resets the connection from this side.
func (e *end) reset() { e.finish(true) }

// finish ends this side, in order or by a reset. Unread input turns a close into a reset, as on
// Linux (RFC 2525, 2.17).
func (e *end) finish(hard bool) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	hard = hard || !e.linger || e.input.unread()
	fin := e.finSent
	e.finSent = true
	e.mu.Unlock()
	switch {
	case hard:
		e.send(nil, rst)
	case !fin:
		e.send(nil, finished)
	}
	e.input.close()
	other := e.peer()
	other.mu.Lock()
	both := other.closed
	other.mu.Unlock()
	if both {
		e.connection.net.remove(e.connection)
	}
}

// releaseHandle releases one handle.
func (e *end) releaseHandle(hard bool) {
	e.mu.Lock()
	e.handles--
	last := e.handles == 0
	e.mu.Unlock()
	if last {
		e.finish(hard)
	}
}
