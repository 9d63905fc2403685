package http1

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dykering/internal/core"
)

// stage is how far the request has come that a caller's connection is to bring.
type stage int

const (
	mute     stage = iota // new, and has said nothing
	idle                  // its last request is answered
	reading               // some of a request has come
	busy                  // a request has been read
	relaying              // a long answer is on its way
	leaving               // it has had its last answer, and is read until its caller closes it
	stages
)

// caller is a connection from a caller. One goroutine reads it at a time.
type caller struct {
	net.Conn
	callers *callers
	stage   stage // callers.mu guards these
	at      *list.Element
	began   time.Time // when the request that it brings began, or its connection, or its rest
	over    bool      // it came when there was no room
	passing passing   // the long body or answer that is on its way; nil for none
	input   []byte    // what the process before has read of it

	heard   atomic.Int64  // when something last came, in Unix nanoseconds
	paced   bool          // a body is read: its pace is watched
	credit  time.Duration // how long the body may make no progress
	stopped atomic.Bool   // nobody wants the rest of the body
	asked   atomic.Bool   // the body's reading is to stop, and may go on
	cut     atomic.Bool   // what has not come whole is waited for no longer
	offered atomic.Bool   // to a successor that has not taken it, and may have a copy of the socket until it ends
}

// passing is what can be passed on to the successor while it is on its way.
type passing interface{ interrupt() }

// callers bounds the connections from callers. Accepting never waits: a connection in the backlog may already
// hold a request.
type callers struct {
	net.Listener
	most int

	mu     sync.Mutex
	open   int
	stages [stages]list.List // of *caller, the longest in its stage first
	moved  [stages]uint64    // connections that have come so far
	newest time.Time         // when the last connection came
}

const (
	// stallAfter is how long part of a request may bring nothing more before its connection is in the way of
	// others. A slow caller goes on writing; one of a crowd writes once.
	stallAfter = 700 * time.Millisecond
	// bodyPace is what a caller should send of a body, in bytes a second. Who falls behind has bodyCredit at the
	// start, and what it was ahead, up to bodyAhead.
	bodyPace   = 48 << 10
	bodyCredit = 2 * time.Second
	bodyAhead  = 2 * time.Second
	// bodyChance is for what has come while its reader could not run.
	bodyChance = 200 * time.Millisecond
)

// accept takes the next connection in. It is never one that finds no room.
func (cs *callers) accept() (*caller, error) {
	for {
		raw, err := cs.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: raw, callers: cs, began: time.Now()}
		if cs.admit(c) {
			return c, nil
		}
		raw.Close()
	}
}

// close ends accepting. It does not wait for an accept that hangs: whether a socket blocks is shared with all processes
// that have it, and one that hands it to another (as os/exec does with its ExtraFiles) makes it block for all. What such
// an accept still brings is served, or passed on, as what came before.
func (cs *callers) close() {
	closed := make(chan struct{})
	go func() {
		cs.Listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(stopPoll):
	}
}

// admit makes room for a connection. Those that have said nothing go first, then those that are over, then idle ones,
// whose clients may send what crosses that on another, then those whose request takes long to come. If there are none,
// the new one's request is turned away, for to cut it off would lose it.
func (cs *callers) admit(c *caller) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.newest = c.began
	if cs.open >= cs.most && !cs.makeRoom(c.began) {
		if cs.open >= cs.most+core.ExcessSockets {
			return false
		}
		c.over = true
	}
	cs.open++
	c.at = cs.stages[mute].PushBack(c)
	cs.moved[mute]++
	return true
}

// adopt takes a connection of the process before in, if there is room.
func (cs *callers) adopt(c *caller) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open >= cs.most {
		return false
	}
	cs.newest = c.began
	cs.open++
	c.stage = c.resting(nil)
	c.at = cs.stages[c.stage].PushBack(c)
	return true
}

// resting is the stage of a connection on which nothing is owed: one of which a request, or some of it, has been read
// already is in nobody's way, though nothing of it shows at its socket.
func (c *caller) resting(r *bufio.Reader) stage {
	if len(c.input) == 0 && (r == nil || r.Buffered() == 0) {
		return idle
	}
	c.heard.Store(time.Now().UnixNano())
	return reading
}

func (cs *callers) makeRoom(now time.Time) bool {
	for _, stage := range []stage{mute, leaving, idle} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			if c := at.Value.(*caller); !c.waiting() {
				cs.drop(c)
				return true
			}
		}
	}
	for at := cs.stages[reading].Front(); at != nil; at = at.Next() {
		if c := at.Value.(*caller); now.UnixNano()-c.heard.Load() > int64(stallAfter) && !c.waiting() {
			cs.drop(c)
			return true
		}
	}
	return false
}

// retire ends the connections that have been idle or mute for so long. It ends the wait for a request, not the
// connection: one that comes at this moment is read and served, so that no close crosses it.
func (cs *callers) retire(idleFor, muteFor time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	for stage, least := range map[stage]time.Duration{idle: idleFor, mute: muteFor} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			c := at.Value.(*caller)
			if now.Sub(c.began) < least {
				break // the others are younger
			}
			c.Conn.SetReadDeadline(now) // its goroutine closes it then
		}
	}
}

// waiting tells whether something has come that its handler has not yet been able to read.
func (c *caller) waiting() bool {
	n, _ := peekConn(c.Conn)
	return n > 0
}

// drop ends a connection; its handler sees that when it next reads.
func (cs *callers) drop(c *caller) {
	c.shut()
	cs.forget(c)
}

// shut closes a connection. Where another process may have a copy of its socket, that alone would tell the caller nothing,
// which would go on to send where nobody reads.
func (c *caller) shut() {
	if tcp, ok := c.Conn.(tcpConn); ok && c.offered.Load() {
		tcp.CloseWrite()
	}
	c.Conn.Close()
}

func (cs *callers) forget(c *caller) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.at = nil
		cs.open--
	}
}

// move notes how far a connection has come.
func (cs *callers) move(c *caller, to stage) {
	if c.at != nil {
		cs.stages[c.stage].Remove(c.at)
		c.stage = to
		c.at = cs.stages[to].PushBack(c)
		cs.moved[to]++
	}
}

// await waits until something has come, for a while. What has come when the wait ends is not left unread, even
// if the wait was ended by the connection's being retired.
func (c *caller) await(until time.Time) error {
	if len(c.input) > 0 {
		return nil
	}
	c.Conn.SetReadDeadline(until)
	err := awaitInput(c.Conn)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.waiting() {
		return nil
	}
	return err
}

// begin notes that a request begins, and tells how long its head may take.
func (c *caller) begin() (until time.Time, over bool) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	now := time.Now()
	until = now.Add(readTimeout)
	if first := c.began.Add(firstTimeout); c.stage == mute && first.Before(until) {
		until = first
	}
	c.heard.Store(now.UnixNano())
	c.callers.move(c, reading)
	return until, c.over
}

// rest notes that the request is answered; r is what has read it.
func (c *caller) rest(r *bufio.Reader) (until time.Time) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.began = time.Now()
	c.passing = nil
	c.callers.move(c, c.resting(r))
	return c.began.Add(idleTimeout)
}

// end ends the connection.
func (c *caller) end() {
	c.shut()
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.forget(c)
}

// pace begins to watch how fast a body comes.
func (c *caller) pace() {
	c.paced, c.credit = true, bodyCredit
	c.stopped.Store(false)
}

// Read reads. Of a body, time that the caller takes counts, and time that passes until more is wanted does not.
func (c *caller) Read(b []byte) (n int, err error) {
	if len(c.input) > 0 {
		n := copy(b, c.input)
		c.input = c.input[n:]
		return n, nil
	}
	for {
		began := time.Now()
		if c.paced {
			c.Conn.SetReadDeadline(began.Add(c.credit))
		}
		if c.cut.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.paced {
			if c.stopped.Load() {
				return 0, errStopped
			}
			if c.asked.Load() {
				return 0, errAsked
			}
		}
		n, err = c.Conn.Read(b)
		if n > 0 {
			c.heard.Store(time.Now().UnixNano())
		}
		if c.paced {
			c.credit = min(c.credit-time.Since(began)+time.Duration(n)*time.Second/bodyPace, bodyAhead)
		}
		if c.paced && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.asked.Load() {
			return 0, errAsked
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.stopped.Load() || !c.waiting() {
			return n, err
		}
		if c.credit = max(c.credit, bodyChance); !c.paced {
			c.Conn.SetReadDeadline(time.Now().Add(bodyChance))
		}
	}
}

var (
	errStopped = errors.New("the rest of the body is not wanted")
	errAsked   = errors.New("the reading of the body is to stop for a moment")
)

// stop ends the reading of a body from another goroutine.
func (c *caller) stop() {
	c.stopped.Store(true)
	c.Conn.SetReadDeadline(time.Now())
}

// linger lets a caller that may still be sending read its answer: to close while something is unread would
// take the answer from it.
func (c *caller) linger() {
	c.callers.mu.Lock()
	c.callers.move(c, leaving)
	c.callers.mu.Unlock()
	tcp, ok := c.Conn.(tcpConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	tcp.SetReadDeadline(time.Now().Add(lingerFor))
	io.Copy(io.Discard, tcp) // whatever ends it
}

// lingerFor is how long a caller may take to read the answer that was the last on its connection.
const lingerFor = 500 * time.Millisecond

// served notes that a request has come whole, and tells how many connections stand idle beside its own.
func (c *caller) served() (idles int) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.callers.move(c, busy)
	return c.callers.stages[idle].Len()
}

// relays notes that a long answer is on its way.
func (c *caller) relays(l *relay) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.passing = l
	c.callers.move(c, relaying)
}

// passes notes what is on its way on the connection, that can be passed on.
func (c *caller) passes(p passing) {
	c.callers.mu.Lock()
	defer c.callers.mu.Unlock()
	c.passing = p
}

// interrupt asks for all long bodies and answers to be passed on.
func (cs *callers) interrupt() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range []stage{busy, relaying} {
		for at := cs.stages[stage].Front(); at != nil; at = at.Next() {
			if p := at.Value.(*caller).passing; p != nil {
				p.interrupt()
			}
		}
	}
}

// onlyAnswers tells whether nothing but answers is on its way, or has just been.
func (cs *callers) onlyAnswers() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == cs.stages[relaying].Len()+cs.stages[busy].Len()+cs.stages[leaving].Len()
}

// quietFor tells whether no connection is open and none has come for a while.
func (cs *callers) quietFor(d time.Duration) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open == 0 && time.Since(cs.newest) >= d
}

// cutOff has those answered at once, with a refusal, who are in the middle of a request when the process ends. Their
// connections end as after any last answer: to close them would take back what crosses the close.
func (cs *callers) cutOff() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for at := cs.stages[reading].Front(); at != nil; at = at.Next() {
		c := at.Value.(*caller)
		c.cut.Store(true)
		c.Conn.SetReadDeadline(time.Now())
	}
}

// closeAll ends the connections in some stages, whose callers are owed nothing: they have not brought a whole request.
func (cs *callers) closeAll(in ...stage) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, stage := range in {
		for cs.stages[stage].Len() > 0 {
			cs.drop(cs.stages[stage].Front().Value.(*caller))
		}
	}
}

// awaitInput waits until a connection has something to read or has ended, without reading it. It ends with the
// connection's read deadline.
func awaitInput(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.Await()
	}
	return awaitSocket(c, func(uintptr) bool { return true })
}

// awaitEnd waits until the peer of a connection has gone, whatever it sent before that stands unread. It ends with the
// connection's read deadline.
func awaitEnd(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.AwaitEnd()
	}
	if err := awaitSocket(c, hungUp); err != nil {
		return err
	}
	return io.EOF
}

// hungUp tells whether a socket's peer has closed its side, or reset it, whatever stands unread.
func hungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// awaitSocket waits until a socket has ended with nothing unread, or something stands unread and that is enough.
func awaitSocket(c net.Conn, enough func(fd uintptr) bool) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	n, fault := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, fault = peek(fd)
		return fault != syscall.EAGAIN && fault != syscall.EINTR && (n <= 0 || enough(fd))
	})
	switch {
	case err != nil:
		return err
	case fault != nil:
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("recvfrom", fault)}
	case n == 0:
		return io.EOF
	}
	return nil
}
