package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"dykering/internal/core"
)

// EndpointConn is a connection to an endpoint for callers without the core, such as package
// dataplane. It carries one exchange at a time and is used by one goroutine at a time.
type EndpointConn struct {
	conn *upstreamConn
	// When the last exchange ended; zero before the first one ends.
	idleSince time.Time
	// Responses to other requests that ReadResponse has skipped.
	surplusResponses int
	// Hashes of the ids of the requests that were sent on the connection.
	sentIDs []uint64
	// The sending of the last request; nil before the first one.
	sending *requestSending
}

// maxRequestsPerConn bounds the requests on a connection, and with them the memory for their ids.
const maxRequestsPerConn = 1000

var idHashSeed = maphash.MakeSeed()

// DialEndpoint connects to an endpoint. Each of its up to two dials fails after the timeout.
func DialEndpoint(ctx context.Context, to *core.Endpoint, timeout time.Duration) (*EndpointConn, error) {
	raw, err := dialTwice(ctx, Kernel{}, to.Address, timeout)
	if err != nil {
		return nil, err
	}
	return NewEndpointConn(raw, to), nil
}

// NewEndpointConn returns an EndpointConn on an open connection to an endpoint.
func NewEndpointConn(raw net.Conn, to *core.Endpoint) *EndpointConn {
	return &EndpointConn{conn: newUpstreamConn(raw, to)}
}

// Close closes the connection. It may be called from another goroutine, and ends reads and writes in
// progress.
func (c *EndpointConn) Close() error { return c.conn.Close() }

// AwaitReusable waits until the connection has been idle for the endpoint's reuse delay, in which
// surplus bytes after the last response are received. It reports whether the connection can carry
// another request.
func (c *EndpointConn) AwaitReusable() bool {
	if !c.idleSince.IsZero() {
		time.Sleep(time.Until(c.idleSince.Add(c.conn.endpoint.ReuseDelay())))
	}
	return c.conn.Alive()
}

// MarkIdle records that the exchange has ended.
func (c *EndpointConn) MarkIdle() { c.idleSince = time.Now() }

// IdleSince returns when the last exchange ended.
func (c *EndpointConn) IdleSince() time.Time { return c.idleSince }

// SurplusResponses returns how many responses to other requests ReadResponse has skipped.
func (c *EndpointConn) SurplusResponses() int { return c.surplusResponses }

// LocalAddress returns this end's address, which identifies the connection in logs.
func (c *EndpointConn) LocalAddress() string { return c.conn.LocalAddr().String() }

// CanCarry reports whether a request with the given id may be sent on the connection. An endpoint may
// send a response again, and only the id tells which request a response belongs to. So a connection
// carries each id once: a retry needs another connection than the attempts before it.
func (c *EndpointConn) CanCarry(id string) bool {
	return !slices.Contains(c.sentIDs, maphash.String(idHashSeed, id))
}

// Send sends a request with the given id before a deadline. A long request is still being sent when Send returns. The caller must
// call StopSending once it has read the response, or failed to. Send returns an error if the connection failed before the complete
// head was sent; the endpoint cannot run the request then.
func (c *EndpointConn) Send(id string, head, body []byte, until time.Time) error {
	c.sentIDs = append(c.sentIDs, maphash.String(idHashSeed, id))
	c.sending = startSending(c.conn.Conn, head, body, until)
	select {
	case <-c.sending.ended:
		if progress := c.sending.progress(); !progress.ReachedBody() {
			return progress.Err
		}
	default:
	}
	return nil
}

// StopSending ends the sending of the last request if it is in progress, and returns how much was sent. The connection can be used
// again only if the request was sent completely.
func (c *EndpointConn) StopSending() SendProgress {
	c.sending.stop()
	return c.sending.progress()
}

// EndpointResponse is an endpoint's response. Its head has been read, and Read reads its body.
type EndpointResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if it is unknown before the body's end.
	Length int64
	conn   *EndpointConn
	body   *responseBody
	// The connection persists after the response.
	keepAlive bool
}

// maxForeignResponses bounds the responses to other requests that ReadResponse skips.
const maxForeignResponses = 4

// ReadResponse reads the head of the response to the request with the given id, which the endpoint
// repeats in the header idHeader. It skips responses with another id: they are surplus responses to
// an earlier request on this connection.
func (c *EndpointConn) ReadResponse(idHeader, id string) (*EndpointResponse, error) {
	for range maxForeignResponses + 1 {
		response, err := c.readResponse()
		if err != nil {
			return nil, err
		}
		if response.Header.Get(idHeader) == id {
			return response, nil
		}
		c.surplusResponses++
		c.conn.endpoint.NoteUnsolicitedData()
		if _, err := io.Copy(io.Discard, response); err != nil || !response.keepAlive {
			return nil, errMalformed
		}
	}
	return nil, errMalformed
}

// readResponse reads the head of the next response.
func (c *EndpointConn) readResponse() (*EndpointResponse, error) {
	head, err := c.conn.readFinalHead()
	if err != nil {
		return nil, err
	}
	body, err := newResponseBody(c.conn, head.code, head.header, maxStreamedBody)
	if err != nil {
		return nil, err
	}
	return &EndpointResponse{
		Status:    head.code,
		Header:    http.Header(head.header),
		Length:    body.length,
		conn:      c,
		body:      body,
		keepAlive: head.keepAlive,
	}, nil
}

// Read implements io.Reader. It returns io.EOF at the end of the body, and another error if the
// connection ends earlier.
func (r *EndpointResponse) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) && r.body.untilClose && r.conn.sendingWasReset() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// sendingWasReset reports whether the sending of the request failed. The operating system reports a reset once: if the
// sending receives it, a read returns io.EOF, and a body that ends with the connection would seem complete.
func (c *EndpointConn) sendingWasReset() bool {
	c.sending.stop()
	return c.sending.hasFailed()
}

// EndsWithConnection reports whether the body has no length and ends with the connection. Its end does not tell whether the
// endpoint has finished the body, unless the connection is reset.
func (r *EndpointResponse) EndsWithConnection() bool { return r.body.untilClose }

// Finished reports whether the body has been read to its end.
func (r *EndpointResponse) Finished() bool { return r.body.finished }

// Reusable reports whether the connection may carry another exchange.
func (r *EndpointResponse) Reusable() bool {
	c := r.conn.conn
	if c.reader.Buffered() > 0 && r.body.finished {
		c.endpoint.NoteUnsolicitedData()
	}
	if !r.keepAlive || !r.body.finished || r.body.untilClose || c.reader.Buffered() > 0 {
		return false
	}
	if len(r.conn.sentIDs) >= maxRequestsPerConn || !r.conn.StopSending().IsComplete() {
		return false
	}
	return c.Conn.SetDeadline(time.Time{}) == nil
}

// RemoveHopByHop removes the headers that apply to one connection only.
func RemoveHopByHop(header http.Header) { removeHopByHop(header) }

// RequestHead encodes the head of a request with a body of the given length in bytes.
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
