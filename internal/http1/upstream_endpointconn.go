package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"syscall"
	"time"

	"dykering/internal/core"
)

// EndpointConn is a connection to an endpoint, for those who decide themselves what is sent on it. It carries one
// exchange at a time.
type EndpointConn struct {
	conn      *upstreamConn
	idleSince time.Time // when its last exchange ended
}

// DialEndpoint connects to an endpoint. A connection that fails at once is tried once more: endpoints reset new
// connections now and then, and a dead one does it twice.
func DialEndpoint(ctx context.Context, to *core.Endpoint, within time.Duration) (*EndpointConn, error) {
	raw, err := Kernel{}.Dial(ctx, to.Address, within)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		raw, err = Kernel{}.Dial(ctx, to.Address, within)
	}
	if err != nil {
		return nil, err
	}
	return NewEndpointConn(raw, to), nil
}

// NewEndpointConn speaks HTTP/1.1 on a connection to an endpoint.
func NewEndpointConn(raw net.Conn, to *core.Endpoint) *EndpointConn {
	return &EndpointConn{conn: newUpstreamConn(raw, to)}
}

// Close closes the connection; what waits for its bytes ends.
func (c *EndpointConn) Close() error { return c.conn.Close() }

// Rested waits until the connection has rested since its last exchange, so that what an endpoint sends beyond an answer
// is seen, and tells whether it can carry a request.
func (c *EndpointConn) AwaitReusable() bool {
	if !c.idleSince.IsZero() {
		time.Sleep(time.Until(c.idleSince.Add(c.conn.endpoint.Settle())))
	}
	return c.conn.Alive()
}

// Free notes that the exchange has ended and the connection is idle.
func (c *EndpointConn) MarkIdle() { c.idleSince = time.Now() }

// FreedAt is when the last exchange ended.
func (c *EndpointConn) IdleSince() time.Time { return c.idleSince }

// Write sends a request until a time. Whole is false where its last byte was certainly not written.
func (c *EndpointConn) Write(head, body []byte, until time.Time) (complete bool, err error) {
	c.conn.SetWriteDeadline(until)
	pieces := net.Buffers{head}
	if len(body) > 0 {
		pieces = append(pieces, body)
	}
	n, err := pieces.WriteTo(c.conn.Conn)
	return n >= int64(len(head)+len(body)), err
}

// EndpointAnswer is an endpoint's answer whose body is still to be read.
type EndpointResponse struct {
	Status    int
	Header    http.Header
	Length    int64 // -1 where only its end tells
	conn      *EndpointConn
	body      *responseBody
	keepAlive bool
}

// mostForeign bounds the answers to other requests that are passed over.
const maxForeignResponses = 4

// Answer reads the head of the answer to a request. An answer that carries another request's id is passed over: it is
// one too many for an earlier request on this connection.
func (c *EndpointConn) ReadResponse(idHeader, id string) (*EndpointResponse, error) {
	for range maxForeignResponses + 1 {
		a, err := c.readResponse()
		if err != nil {
			return nil, err
		}
		if a.Header.Get(idHeader) == id {
			return a, nil
		}
		c.conn.endpoint.SentBeyond()
		if _, err := io.Copy(io.Discard, a); err != nil || !a.keepAlive {
			return nil, errMalformed
		}
	}
	return nil, errMalformed
}

func (c *EndpointConn) readResponse() (*EndpointResponse, error) {
	c.conn.readLimit = maxResponseHead
	var code int
	var header textproto.MIMEHeader
	var lasts bool
	var err error
	for range maxInformational + 1 {
		if code, header, lasts, err = readHead(c.conn.reader); err != nil {
			return nil, err
		}
		if code >= http.StatusOK {
			break
		}
	}
	if code < http.StatusOK {
		return nil, errMalformed
	}
	body, err := newResponseBody(c.conn, code, header, maxStreamedBody)
	if err != nil {
		return nil, err
	}
	a := &EndpointResponse{Status: code, Header: http.Header(header), Length: body.length, conn: c, body: body, keepAlive: lasts}
	return a, nil
}

// Read reads the body. Its end is io.EOF; a connection that ends early is another error.
func (a *EndpointResponse) Read(p []byte) (int, error) { return a.body.Read(p) }

// Finished tells whether the body has been read to its end.
func (a *EndpointResponse) Finished() bool { return a.body.finished }

// Reusable tells whether the connection may carry another exchange.
func (a *EndpointResponse) Reusable() bool {
	c := a.conn.conn
	if c.reader.Buffered() > 0 && a.body.finished {
		c.endpoint.SentBeyond()
	}
	if !a.keepAlive || !a.body.finished || a.body.untilClose || c.reader.Buffered() > 0 {
		return false
	}
	return c.Conn.SetDeadline(time.Time{}) == nil
}

// EndToEnd takes what concerns only one connection out of headers.
func RemoveHopByHop(header http.Header) { removeHopByHop(header) }

// RequestHead renders the head of a request with a body of known length.
func RequestHead(method, target, host string, header http.Header, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	header.WriteSubset(&b, map[string]bool{"Content-Length": true, "Host": true})
	b.WriteString("\r\n")
	return b.Bytes()
}
