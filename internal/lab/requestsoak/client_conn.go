package requestsoak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the time in which a connection to a proxy must come up.
	connectTimeout = time.Second
	routeHost      = "forms.example"
	oncePath       = "/once/"
	againPath      = "/again/"
	streamPath     = "/stream/"
	resumePath     = "/resume/"
	maxRequestBody = 12 << 10
	// longRequestBody is the length of the longest body, which the routes just allow. A share of the bodies is shorter by less than
	// one part of longestBodyParts: the buffers of a connection do not hold these.
	longRequestBody  = 4<<20 - 1
	longestBodyParts = 10
	maxSendPause     = 200 * time.Millisecond
)

// clientConn is a client's connection to a proxy. It carries one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	proxy  string
}

// connect connects to a proxy.
func connect(name, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), proxy: name}, nil
}

// pathOf returns the path of the route of a kind.
func pathOf(kind RouteKind) string {
	switch kind {
	case Idempotent:
		return againPath
	case Streaming:
		return streamPath
	case Resumable:
		return resumePath
	case NonIdempotent:
	}
	return oncePath
}

// encodeRequest returns a request. Bodies arrive with a length or in chunks.
func encodeRequest(try *Try, left time.Duration, body string, chunked bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", pathOf(try.Kind), try.Operation, routeHost,
		requestIDHeader, try.ID, deadlineHeader, left.Milliseconds())
	if chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if body != "" { // an empty chunk would end the body
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(body), body)
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// exchange sends a request, with a pause between its two parts, and reads the response into the try. It returns the response's
// header, and whether the connection may carry another request.
func (c *clientConn) exchange(try *Try, parts [2]string, wait time.Duration, deadline time.Time) (header http.Header, reusable bool) {
	c.SetDeadline(deadline)
	for i, part := range parts {
		if i > 0 && part != "" {
			time.Sleep(wait)
		}
		if _, err := io.WriteString(c.Conn, part); err != nil {
			return nil, c.readEarlyResponse(try)
		}
	}
	if _, err := c.reader.Peek(1); err != nil {
		try.End = endBeforeResponse(err)
		return nil, false
	}
	return c.readResponse(try)
}

// readEarlyResponse reads the response to a request that could not be written completely. The proxy may have rejected the request
// before it closed the connection. It returns false, since the connection cannot carry another request.
func (c *clientConn) readEarlyResponse(try *Try) bool {
	if _, err := c.reader.Peek(1); err != nil {
		try.End = NotSent
		return false
	}
	c.readResponse(try)
	return false
}

// readResponse reads a response whose first byte has arrived.
func (c *clientConn) readResponse(try *Try) (header http.Header, reusable bool) {
	response, err := http.ReadResponse(c.reader, responseOf)
	if err != nil {
		try.End = endWithinResponse(err)
		return nil, false
	}
	defer response.Body.Close()
	try.Status, try.AnsweredID = response.StatusCode, response.Header.Get(requestIDHeader)
	try.Signature = response.Header.Get(signatureHeader)
	body, err := io.ReadAll(response.Body)
	try.Body = string(body)
	if err != nil {
		try.End = endWithinResponse(err)
		return response.Header, false
	}
	return response.Header, !response.Close
}

// endBeforeResponse returns how a connection ended before the first byte of a response. A kernel resets a connection whose process
// closes it, or exits, before it has read all input.
func endBeforeResponse(err error) ConnectionEnd {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	}
	return Closed
}

// endWithinResponse returns how a connection ended within a response.
func endWithinResponse(err error) ConnectionEnd {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return TimedOut
	}
	return Truncated
}
