package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"syscall"
	"time"

	"dykering/internal/core"
)

// upstreamConn is a connection to an endpoint. It carries one attempt at a time.
type upstreamConn struct {
	net.Conn
	core.PoolEntry
	// Reads from this upstreamConn.
	reader *bufio.Reader
	// Bytes that the predecessor has read from the connection. Read returns them first.
	readAhead []byte
	endpoint  *core.Endpoint
	// The number of bytes that may still be read from the connection.
	readLimit int
}

// newUpstreamConn returns a connection on which nothing has been read.
func newUpstreamConn(raw net.Conn, to *core.Endpoint) *upstreamConn {
	c := &upstreamConn{Conn: raw, endpoint: to}
	c.reader = bufio.NewReader(c)
	return c
}

// dialTwice connects to an endpoint, and tries once more if the connection is refused or reset.
// Healthy endpoints reset a new connection now and then; a failed endpoint does so twice.
func dialTwice(ctx context.Context, network Network, address string, timeout time.Duration) (net.Conn, error) {
	raw, err := network.Dial(ctx, address, timeout)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = network.Dial(ctx, address, timeout)
	}
	return raw, err
}

// Read implements io.Reader. It enforces readLimit, because an endpoint may send without end.
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

// Alive reports whether an idle connection can carry a request: the endpoint has neither closed it
// nor sent unsolicited bytes.
func (c *upstreamConn) Alive() bool {
	n, err := peekConn(c.Conn)
	if n > 0 {
		c.endpoint.NoteUnsolicitedData()
	}
	return n < 0 && wouldBlock(err)
}

// awaitReadable waits until input is available or the connection has ended. It returns false without
// an error if neither happens by the given time. The caller must not read after an error: peeking at
// a socket clears its pending error, so a read would return an end of input instead of a reset.
func (c *upstreamConn) awaitReadable(until time.Time) (readable bool, err error) {
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

// responseHead is the head of a response.
type responseHead struct {
	code   int
	header textproto.MIMEHeader
	// The connection persists after the response.
	keepAlive bool
}

// readFinalHead reads the head of the next final response. Interim responses (1xx) are skipped.
func (c *upstreamConn) readFinalHead() (head responseHead, err error) {
	c.readLimit = maxResponseHead
	for range maxInformational + 1 {
		if head, err = readHead(c.reader); err != nil {
			return head, err
		}
		if head.code >= http.StatusOK {
			return head, nil
		}
	}
	return head, errMalformed
}
