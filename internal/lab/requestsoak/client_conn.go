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
	maxRequestBody = 12 << 10
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
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		return b.String()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// exchange sends a request and reads the response into the try. It returns the response's header, and whether the connection may
// carry another request.
func (c *clientConn) exchange(try *Try, text string, deadline time.Time) (header http.Header, reusable bool) {
	c.SetDeadline(deadline)
	if _, err := io.WriteString(c.Conn, text); err != nil {
		try.End = NotSent
		return nil, false
	}
	if _, err := c.reader.Peek(1); err != nil {
		try.End = endBeforeResponse(err)
		return nil, false
	}
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
