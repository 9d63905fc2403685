package connlimit

import (
	"container/list"
	"net"
	"runtime"
	"sync/atomic"
	"time"
)

// connPhase is the progress of the request that a connection carries.
type connPhase int

const (
	// No byte of the first request has been received.
	phaseNew connPhase = iota
	// A part of a head, or of a message, has been received.
	phaseHead
	// The head has been received, the body has not.
	phaseBody
	// The request has been received and is being answered.
	phaseServing
	// All requests are answered; no byte of the next one has been received.
	phaseIdle
	phaseCount
)

// writeTimeout bounds each write to a client.
const writeTimeout = 10 * time.Second

// Conn is a connection that a Listener has accepted.
type Conn struct {
	net.Conn
	listener *Listener

	// Guarded by Listener.mu.
	phase       connPhase
	since       time.Time     // when the connection entered its phase
	element     *list.Element // place in the list of the phase; nil once the connection is no longer tracked
	headWeight  int
	established bool // a process of the system has identified itself; see MessageReceived

	// serving is true in phaseServing, in which input is not tracked.
	serving atomic.Bool
	// bodyBytes counts the bytes that were received in phaseBody.
	bodyBytes atomic.Int64
	// writingSince is the start of the write in progress in Unix nanoseconds, or 0.
	writingSince atomic.Int64
	// writeLimit is the deadline of all writes in Unix nanoseconds, or 0.
	writeLimit atomic.Int64
}

// Read implements net.Conn. It fails if there is no room for the input.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.serving.Load() && !c.received(buffer[:n]) {
		c.Close()
		return 0, net.ErrClosed
	}
	if n == len(buffer) {
		// The client sends faster than the process reads. Without a pause its goroutine would run for a whole time slice, and with a
		// hundred such clients another one would wait for seconds.
		runtime.Gosched()
	}
	return n, err
}

// received records input. It returns false if there is no room for it.
func (c *Conn) received(input []byte) bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch c.phase {
	case phaseServing:
		return true
	case phaseBody:
		c.bodyBytes.Add(int64(len(input)))
		return true
	case phaseNew, phaseIdle:
		l.setPhase(c, phaseHead, now)
	}
	return l.admitHead(c, c.headWeight+l.limits.Weigh(input), now)
}

// Write implements net.Conn. It fails if the client does not read for writeTimeout, or at the write deadline.
func (c *Conn) Write(data []byte) (int, error) {
	now := time.Now()
	until := now.Add(writeTimeout)
	if limit := c.writeLimit.Load(); limit != 0 && limit < until.UnixNano() {
		until = time.Unix(0, limit)
	}
	c.Conn.SetWriteDeadline(until)
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(data)
}

// SetWriteDeadline implements net.Conn. The deadline holds for the request in progress. A write in progress is not affected.
func (c *Conn) SetWriteDeadline(until time.Time) error {
	if until.IsZero() {
		c.writeLimit.Store(0)
		return nil
	}
	c.writeLimit.Store(until.UnixNano())
	return nil
}

// CloseWrite closes the sending side of a TCP connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// SetLinger sets the linger option of a TCP connection.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// MessageReceived records that a complete message between processes was received: its memory is free again, and the connection is
// no longer evicted for a new one.
func (c *Conn) MessageReceived() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.established = true
	l.setHeadWeight(c, 0)
	l.setPhase(c, phaseIdle, time.Now())
}

// isBodySlow reports whether the body in phaseBody arrives more slowly than minBodyRate. The caller must hold Listener.mu.
func (c *Conn) isBodySlow(now time.Time) bool {
	due := (now.Sub(c.since) - stallTimeout).Seconds() * minBodyRate
	return due >= 0 && float64(c.bodyBytes.Load()) <= due
}

// isWriteBlocked reports whether a write has been in progress for a time.
func (c *Conn) isWriteBlocked(now time.Time, timeout time.Duration) bool {
	since := c.writingSince.Load()
	return since != 0 && now.UnixNano()-since >= timeout.Nanoseconds()
}
