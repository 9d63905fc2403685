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

// conn is a connection to an endpoint; it carries one attempt at a time.
type conn struct {
	net.Conn
	core.Idle
	reader *bufio.Reader // of what Read gives
	input  []byte        // what another process has read of it
	to     *core.Endpoint
	left   int // bytes that may still be read
}

func newConn(raw net.Conn, to *core.Endpoint) *conn {
	c := &conn{Conn: raw, to: to}
	c.reader = bufio.NewReader(c)
	return c
}

// Read never brings more than was allowed: an endpoint may go on without end.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.input) > 0 {
		n := copy(b, c.input)
		c.input = c.input[n:]
		return n, nil
	}
	if c.left <= 0 {
		return 0, errTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// Alive tells whether an idle connection can carry a request: its peer has neither closed it nor sent what
// nobody asked for.
func (c *conn) Alive() bool {
	n, peek := peekConn(c.Conn)
	if n > 0 {
		c.to.SentBeyond()
	}
	return n < 0 && (peek == syscall.EAGAIN || peek == syscall.EINTR)
}

// awaits waits for something to read, or the end, for a while. It is false with no error when neither has come. To look
// at a socket takes its pending error away: a read that follows would find the end where there was a reset, so the error
// that is met here is the one that counts.
func (c *conn) awaits(until time.Time) (came bool, err error) {
	if c.reader.Buffered() > 0 || !looks(c.Conn) {
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
