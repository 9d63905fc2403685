package netem

import (
	"net"
	"sync"
)

// connection is an established connection between two machines.
type connection struct {
	net *Network
	// The dialling and the accepting end.
	ends [2]*end
}

// end is one side of a connection. Processes refer to it by handles (Conn). It is closed when the last
// handle is closed.
type end struct {
	connection *connection
	// The index of this end in connection.ends.
	side    int
	machine *Machine
	addr    net.Addr
	// The stream from the peer to this end.
	input *stream

	mu sync.Mutex
	// The number of open handles.
	handles int
	// If false, a close sends a reset.
	linger bool
	// This side was closed or has sent a reset.
	closed bool
	// This side has sent the end of its stream.
	finSent bool
}

func newConnection(n *Network, from, to *Machine, fromAddr, toAddr net.Addr) *connection {
	c := &connection{net: n}
	addresses := []net.Addr{fromAddr, toAddr}
	for i, m := range []*Machine{from, to} {
		c.ends[i] = &end{connection: c, side: i, machine: m, addr: addresses[i], linger: true, input: newStream(n.options.Buffer)}
	}
	return c
}

func (e *end) peer() *end { return e.connection.ends[1-e.side] }

// send sends bytes, the end of the stream or a reset to the other side.
func (e *end) send(b []byte, kind segmentKind) {
	n := e.connection.net
	to := e.peer()
	to.input.add(segment{kind: kind, bytes: b, lost: n.isLost(e.machine, to.machine)}, n.delay(), n.options.Bandwidth)
}

// reset resets the connection from this side.
func (e *end) reset() { e.finish(true) }

// finish closes this side, with a FIN or with a reset. Unread input turns the FIN into a reset, as on
// Linux (RFC 2525, section 2.17).
func (e *end) finish(withReset bool) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	withReset = withReset || !e.linger || e.input.unread()
	alreadySent := e.finSent
	e.finSent = true
	e.mu.Unlock()
	switch {
	case withReset:
		e.send(nil, rst)
	case !alreadySent:
		e.send(nil, fin)
	}
	e.input.close()
	peer := e.peer()
	peer.mu.Lock()
	peerClosed := peer.closed
	peer.mu.Unlock()
	if peerClosed {
		e.connection.net.remove(e.connection)
	}
}

// releaseHandle releases one handle and finishes the end with the last one.
func (e *end) releaseHandle(withReset bool) {
	e.mu.Lock()
	e.handles--
	last := e.handles == 0
	e.mu.Unlock()
	if last {
		e.finish(withReset)
	}
}
