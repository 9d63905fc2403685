package netem

import (
	"net"
	"sync"
)

// line is a connection: two ends.
type line struct {
	net  *Network
	ends [2]*end // who dialled, and who accepted
}

// end is one side of a connection. Processes have it by handles; with the last one closed it ends.
type end struct {
	line    *line
	n       int // of the line's ends
	machine *Machine
	addr    net.Addr
	in      *stream // what comes here

	mu     sync.Mutex
	refs   int
	linger bool // false: a close is a reset
	over   bool // closed or reset here
	fin    bool // nothing more is sent from here
}

func newLine(n *Network, from, to *Machine, fromAddr, toAddr net.Addr) *line {
	l := &line{net: n}
	for i, m := range []*Machine{from, to} {
		l.ends[i] = &end{line: l, n: i, machine: m, addr: []net.Addr{fromAddr, toAddr}[i], linger: true, in: newStream(n.o.Buffer)}
	}
	return l
}

func (e *end) peer() *end { return e.line.ends[1-e.n] }

// send has a segment, the end of the stream or a reset come to the other side in its time.
func (e *end) send(b []byte, what kind) {
	n := e.line.net
	to := e.peer()
	to.in.add(segment{what: what, b: b, lost: n.lost(e.machine, to.machine)}, n.delay(), n.o.Bandwidth)
}

// reset ends the connection here, and tells the other side.
func (e *end) reset() { e.finish(true) }

// finish ends this side, with a reset or in order. Unread input makes an end a reset, as on Linux (RFC 2525, 2.17).
func (e *end) finish(hard bool) {
	e.mu.Lock()
	if e.over {
		e.mu.Unlock()
		return
	}
	e.over = true
	hard = hard || !e.linger || e.in.unread()
	fin := e.fin
	e.fin = true
	e.mu.Unlock()
	switch {
	case hard:
		e.send(nil, rst)
	case !fin:
		e.send(nil, finished)
	}
	e.in.close()
	other := e.peer()
	other.mu.Lock()
	both := other.over
	other.mu.Unlock()
	if both {
		e.line.net.gone(e.line)
	}
}

// drop lets go of one handle.
func (e *end) drop(hard bool) {
	e.mu.Lock()
	e.refs--
	last := e.refs == 0
	e.mu.Unlock()
	if last {
		e.finish(hard)
	}
}
