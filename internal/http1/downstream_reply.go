package http1

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"dykering/internal/core"
)

// reply writes one answer to a caller.
type reply struct {
	client       *downstreamConn
	http10       bool          // HTTP/1.0: a body whose length is not known ends with the connection
	keepAlive    bool          // the connection may bring another request
	writeTimeout time.Duration // how long the caller may take nothing of a whole answer
	transfer     transferFunc  // nil where nothing can be passed on
	transferred  bool          // the successor has the connection
}

// answer gives the final answer. Like the other methods it tells whether the connection may go on.
func (w *reply) answer(a core.Answer) (lasts bool) {
	response, _ := a.Response.(*response)
	switch {
	case response != nil && response.rest != nil:
		return w.relay(newRelay(w, response))
	case response != nil:
		return w.complete(http.StatusOK, response.header, response.body)
	case a.Refused:
		header := http.Header{}
		if a.RetryAfter > 0 {
			header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
		return w.text(http.StatusServiceUnavailable, header, "refused: trying again is harmless")
	default:
		return w.status(http.StatusBadGateway, "failed")
	}
}

// error says what is wrong with a request, and that it was the last one.
func (w *reply) error(status int, text string) (lasts bool) {
	w.keepAlive = false
	return w.status(status, text)
}

func (w *reply) status(status int, text string) (lasts bool) {
	return w.text(status, http.Header{}, text)
}

func (w *reply) text(status int, header http.Header, text string) (lasts bool) {
	if text != "" {
		header.Set("Content-Type", "text/plain; charset=utf-8")
		text += "\n"
	}
	return w.complete(status, header, []byte(text))
}

func (w *reply) complete(status int, header http.Header, body []byte) (lasts bool) {
	return w.write(w.head(status, header, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body) && w.keepAlive
}

// informational writes a head that comes before the answer's.
func (w *reply) informational(text string) bool { return w.write([]byte(text)) }

// head is an answer's head, with what it says of its body's length.
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

// write writes pieces; a caller that does not take them for as long as it would have waited for them has gone.
func (w *reply) write(pieces ...[]byte) bool {
	w.client.Conn.SetWriteDeadline(time.Now().Add(max(w.writeTimeout, minWriteTimeout)))
	buffers := net.Buffers(pieces)
	_, err := buffers.WriteTo(w.client.Conn)
	return err == nil
}
