package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"dykering/internal/core"
)

// reply writes the answer to one request.
type reply struct {
	client *downstreamConn
	// The client uses HTTP/1.0: a body of unknown length ends with the connection.
	http10 bool
	// The connection stays open for another request.
	keepAlive bool
	// Bounds the write of a complete answer, in case the client does not read.
	writeTimeout time.Duration
	// Transfers a relay to the successor; nil if relays cannot be transferred.
	transfer transferFunc
	// The connection now belongs to the successor.
	transferred bool
}

// answer writes the final answer and reports whether the connection stays open.
func (w *reply) answer(a core.Answer) (keepAlive bool) {
	response, _ := a.Response.(*response)
	switch {
	case response != nil && response.rest != nil:
		return w.relay(newRelay(w, response))
	case response != nil:
		return w.complete(http.StatusOK, response.header, response.body)
	case a.Retryable:
		header := http.Header{}
		if a.RetryAfter > 0 {
			header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return w.text(http.StatusServiceUnavailable, header, "refused: trying again is harmless")
	default:
		return w.status(http.StatusBadGateway, "failed")
	}
}

// error answers an invalid request. The connection closes after it, because the bytes that follow on
// it may not be a request.
func (w *reply) error(status int, text string) (keepAlive bool) {
	w.keepAlive = false
	return w.status(status, text)
}

// bodyError answers a request whose body could not be read.
func (w *reply) bodyError(err error) (keepAlive bool) {
	if errors.Is(err, errTooLarge) {
		return w.error(http.StatusRequestEntityTooLarge, "request body too large")
	}
	return w.error(http.StatusBadRequest, "request body cut short")
}

// status writes an answer with a status and a line of text.
func (w *reply) status(status int, text string) (keepAlive bool) {
	return w.text(status, http.Header{}, text)
}

// text writes an answer with a plain-text body, empty for no text.
func (w *reply) text(status int, header http.Header, text string) (keepAlive bool) {
	if text != "" {
		header.Set("Content-Type", "text/plain; charset=utf-8")
		text += "\n"
	}
	return w.complete(status, header, []byte(text))
}

// complete writes an answer whose body is in memory.
func (w *reply) complete(status int, header http.Header, body []byte) (keepAlive bool) {
	return w.write(w.head(status, header, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body) && w.keepAlive
}

// informational writes an interim response, whose status is 1xx, and reports whether it was
// written.
func (w *reply) informational(text string) bool { return w.write([]byte(text)) }

// head encodes the head of an answer. The framing is the header line with the body's length or
// transfer coding; it is empty for a body that ends with the connection.
func (w *reply) head(status int, header http.Header, framing string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.WriteSubset(&b, rewrittenHeaders)
	b.WriteString(framing)
	if !w.keepAlive {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write writes all pieces within the write timeout and reports whether it did. The timeout is the
// time that the client would have waited for the answer.
func (w *reply) write(pieces ...[]byte) bool {
	w.client.Conn.SetWriteDeadline(time.Now().Add(max(w.writeTimeout, minWriteTimeout)))
	buffers := net.Buffers(pieces)
	_, err := buffers.WriteTo(w.client.Conn)
	return err == nil
}
