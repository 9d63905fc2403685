package netem

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
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

// kind is what a segment is.
type kind int

const (
	data kind = iota
	finished
	rst
)

// segment is what is under way.
type segment struct {
	what kind
	b    []byte
	at   time.Time // when it comes
	lost bool      // until its link is whole
}

// stream is one direction of a connection: what is under way and what has come and is not read.
type stream struct {
	mu      sync.Mutex
	limit   int
	held    int // bytes
	segs    []segment
	over    bool          // whoever reads has gone
	changed chan struct{} // closed when anything changes
}

func newStream(limit int) *stream { return &stream{limit: limit, changed: make(chan struct{})} }

func (s *stream) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add puts a segment on its way. A reset overtakes nothing that has come, and what follows it is nowhere.
func (s *stream) add(g segment, delay time.Duration, bandwidth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	now := time.Now()
	g.at = now.Add(delay)
	if k := len(s.segs); k > 0 {
		last := s.segs[k-1]
		if last.what == rst {
			return
		}
		if last.at.After(g.at) {
			g.at = last.at
		}
		g.lost = g.lost || last.lost // in order
	}
	if bandwidth > 0 {
		g.at = g.at.Add(time.Duration(len(g.b)) * time.Second / time.Duration(bandwidth))
	}
	s.held += len(g.b)
	s.segs = append(s.segs, g)
	s.change()
}

// release has what was lost come after all, where its link is whole.
func (s *stream) release(delay time.Duration, lost func() bool) {
	if lost() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(delay)
	for i := range s.segs {
		if s.segs[i].lost {
			s.segs[i].lost, s.segs[i].at = false, at
		}
	}
	s.change()
}

// close drops all: nobody reads any more.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over, s.segs, s.held = true, nil, 0
	s.change()
}

func (s *stream) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held > 0 && len(s.segs) > 0 && s.segs[0].what == data && s.come(s.segs[0])
}

func (s *stream) come(g segment) bool { return !g.lost && !g.at.After(time.Now()) }

// room is how much more may be sent.
func (s *stream) room() (n int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return 1, s.changed // it goes nowhere
	}
	return s.limit - s.held, s.changed
}

// look reads what has come into b, or only looks where take is false. With nothing there it tells when to look again;
// next is zero where only a change can bring anything.
func (s *stream) look(b []byte, take bool) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A reset is seen at once when it comes, whatever has not been read before it.
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && s.come(s.segs[k-1]) {
		return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
	}
	for len(s.segs) > 0 && n < len(b) {
		g := &s.segs[0]
		if !s.come(*g) {
			break
		}
		if g.what == finished {
			if n == 0 {
				return 0, time.Time{}, nil, io.EOF
			}
			break
		}
		if g.what == rst {
			break
		}
		k := copy(b[n:], g.b)
		if n += k; !take {
			return n, time.Time{}, nil, nil
		}
		if s.held -= k; k < len(g.b) {
			g.b = g.b[k:]
		} else {
			s.segs = s.segs[1:]
		}
	}
	if n > 0 {
		s.change() // there is room
		return n, time.Time{}, nil, nil
	}
	if len(s.segs) > 0 && !s.segs[0].lost {
		next = s.segs[0].at
	}
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && !s.segs[k-1].lost && (next.IsZero() || s.segs[k-1].at.Before(next)) {
		next = s.segs[k-1].at
	}
	return 0, next, s.changed, syscall.EAGAIN
}

// ending tells whether the stream's end has come, whatever stands unread before it, and else when it will.
func (s *stream) ending() (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := len(s.segs); k > 0 && s.segs[k-1].what != data {
		last := s.segs[k-1]
		switch {
		case !s.come(last) && !last.lost:
			next = last.at
		case !s.come(last):
		case last.what == rst:
			return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
		default:
			return 0, time.Time{}, nil, io.EOF
		}
	}
	return 0, next, s.changed, syscall.EAGAIN
}

// Conn is a process's handle of a connection's end.
type Conn struct {
	end     *end
	process *Process

	mu      sync.Mutex
	closed  bool
	read    time.Time // deadlines
	write   time.Time
	changed chan struct{} // closed when these change
	armed   time.Time     // when it is woken; the network's wakes' mutex guards it
}

// newConn makes a handle; nil where the process has ended.
func newConn(e *end, p *Process) *Conn {
	c := &Conn{end: e, process: p, changed: make(chan struct{})}
	e.mu.Lock()
	e.refs++
	e.mu.Unlock()
	if !p.own(c) {
		return nil
	}
	return c
}

// give makes another process's handle of what a handle has: what passing a descriptor is.
func (c *Conn) give(p *Process) *Conn { return newConn(c.end, p) }

func (c *Conn) state() (closed bool, read, write time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, c.read, c.write, c.changed
}

func (c *Conn) fault(op string, err error) error {
	if errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// passed tells whether a deadline has, and until when to wait else.
func passed(deadline, next time.Time) (until time.Time, over bool) {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return deadline, true
	}
	if next.IsZero() || !deadline.IsZero() && deadline.Before(next) {
		return deadline, false
	}
	return next, false
}

// rest waits for a change of the handle or of a stream, or until a moment; the zero time is none.
func (c *Conn) rest(mine, stream <-chan struct{}, until time.Time) {
	if !until.IsZero() {
		c.end.line.net.wakes.arm(c, until)
	}
	select {
	case <-mine:
	case <-stream:
	}
}

// poke has whoever waits look again.
func (c *Conn) poke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// take reads, or waits until something can be read.
func (c *Conn) take(b []byte, take bool) (int, error) {
	return c.wait(func() (int, time.Time, <-chan struct{}, error) { return c.end.in.look(b, take) })
}

// wait waits until a look at the stream tells something.
func (c *Conn) wait(look func() (n int, next time.Time, changed <-chan struct{}, err error)) (int, error) {
	for {
		closed, deadline, _, mine := c.state()
		if closed {
			return 0, c.fault("read", net.ErrClosed)
		}
		if _, over := passed(deadline, time.Time{}); over {
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		}
		n, next, changed, err := look()
		if !errors.Is(err, syscall.EAGAIN) {
			if err != nil {
				err = c.fault("read", err)
			}
			return n, err
		}
		until, _ := passed(deadline, next)
		c.rest(mine, changed, until)
	}
}

// Read reads.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	return c.take(b, true)
}

// Await waits until a read would not, and tells its error.
func (c *Conn) Await() error {
	var b [1]byte
	_, err := c.take(b[:], false)
	return err
}

// AwaitEnd waits until the peer has closed its side or reset the connection, whatever stands unread before that.
func (c *Conn) AwaitEnd() error {
	_, err := c.wait(c.end.in.ending)
	return err
}

// Ended tells whether it has, or this side has closed.
func (c *Conn) Ended() bool {
	closed, _, _, _ := c.state()
	_, _, _, err := c.end.in.ending()
	return closed || !errors.Is(err, syscall.EAGAIN)
}

// Peek tells how many bytes of one are there; EAGAIN says none, and 0 without an error the end.
func (c *Conn) Peek() (int, error) {
	var b [1]byte
	closed, _, _, _ := c.state()
	if closed {
		return -1, net.ErrClosed
	}
	n, _, _, err := c.end.in.look(b[:], false)
	if errors.Is(err, io.EOF) {
		return 0, nil
	}
	if err != nil {
		return -1, err
	}
	return n, nil
}

// Write writes. It waits while the buffers are full.
func (c *Conn) Write(b []byte) (n int, err error) {
	to := c.end.peer()
	for n < len(b) {
		closed, _, deadline, mine := c.state()
		c.end.mu.Lock()
		fin := c.end.fin
		c.end.mu.Unlock()
		if closed || fin {
			return n, c.fault("write", net.ErrClosed)
		}
		if _, over := passed(deadline, time.Time{}); over {
			return n, c.fault("write", os.ErrDeadlineExceeded)
		}
		if k, _, _, err := c.end.in.look(make([]byte, 1), false); k == 0 && err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EAGAIN) {
			return n, c.fault("write", os.NewSyscallError("write", syscall.ECONNRESET))
		}
		room, changed := to.in.room()
		if room <= 0 {
			until, _ := passed(deadline, time.Time{})
			c.rest(mine, changed, until)
			continue
		}
		to.mu.Lock()
		gone := to.over
		to.mu.Unlock()
		if gone {
			// What comes to a closed socket is answered with a reset, a way there and back later.
			c.end.in.add(segment{what: rst}, 2*c.end.line.net.delay(), 0)
			return len(b), nil
		}
		k := min(room, len(b)-n)
		c.end.send(append([]byte(nil), b[n:n+k]...), data)
		n += k
	}
	return n, nil
}

// CloseWrite ends what is sent, and goes on reading.
func (c *Conn) CloseWrite() error {
	c.end.mu.Lock()
	done := c.end.fin
	c.end.fin = true
	c.end.mu.Unlock()
	if !done {
		c.end.send(nil, finished)
	}
	return nil
}

// SetLinger with 0 makes Close a reset.
func (c *Conn) SetLinger(sec int) error {
	c.end.mu.Lock()
	defer c.end.mu.Unlock()
	c.end.linger = sec != 0
	return nil
}

// Close closes the handle, and with the last one the connection.
func (c *Conn) Close() error {
	if !c.shut() {
		return c.fault("close", net.ErrClosed)
	}
	c.process.disown(c)
	c.end.drop(false)
	return nil
}

// die is the end of its process.
func (c *Conn) die() {
	if c.shut() {
		c.end.drop(true)
	}
}

// shut ends the handle, once.
func (c *Conn) shut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	close(c.changed)
	c.changed = make(chan struct{})
	return true
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

// LocalAddr is the address of this end.
func (c *Conn) LocalAddr() net.Addr  { return c.end.addr }

// RemoteAddr is the address of the other end.
func (c *Conn) RemoteAddr() net.Addr { return c.end.peer().addr }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets when a read times out; the zero time is never.
func (c *Conn) SetReadDeadline(t time.Time) error  { return c.set(&c.read, t) }

// SetWriteDeadline sets when a write times out; the zero time is never.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(&c.write, t) }

func (c *Conn) set(which *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	*which = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}
