package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"dykering/internal/core"
)

// upstreamConn is a connection to an endpoint; it carries one attempt at a time.
type upstreamConn struct {
	net.Conn
	core.Idle
	reader    *bufio.Reader // of what Read gives
	readAhead []byte        // what another process has read of it
	endpoint  *core.Endpoint
	readLimit int // bytes that may still be read
}

func newUpstreamConn(raw net.Conn, to *core.Endpoint) *upstreamConn {
	c := &upstreamConn{Conn: raw, endpoint: to}
	c.reader = bufio.NewReader(c)
	return c
}

// Read never brings more than was allowed: an endpoint may go on without end.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if len(c.readAhead) > 0 {
		n := copy(b, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	if c.readLimit <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readLimit)])
	c.readLimit -= n
	return n, err
}

// Alive tells whether an idle connection can carry a request: its peer has neither closed it nor sent what
// nobody asked for.
func (c *upstreamConn) Alive() bool {
	n, peek := peekConn(c.Conn)
	if n > 0 {
		c.endpoint.SentBeyond()
	}
	return n < 0 && (peek == syscall.EAGAIN || peek == syscall.EINTR)
}

// awaitReadable waits for something to read, or the end, for a while. It is false with no error when neither has come. To look
// at a socket takes its pending error away: a read that follows would find the end where there was a reset, so the error
// that is met here is the one that counts.
func (c *upstreamConn) awaitReadable(until time.Time) (came bool, err error) {
	if c.reader.Buffered() > 0 || !canPeek(c.Conn) {
		return true, nil
	}
	c.SetReadDeadline(until)
	err = awaitInput(c.Conn)
	c.SetReadDeadline(time.Time{})
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	}
	return false, err
}
