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
	caller   *caller
	old      bool          // HTTP/1.0: a body whose length is not known ends with the connection
	lasts    bool          // the connection may bring another request
	patience time.Duration // how long the caller may take nothing of a whole answer
	gift     gift          // nil where nothing can be passed on
	passed   bool          // the successor has the connection
}

// answer gives the final answer. Like the other methods it tells whether the connection may go on.
func (w *reply) answer(a core.Answer) (lasts bool) {
	response, _ := a.Response.(*response)
	switch {
	case response != nil && response.more != nil:
		return w.relay(newRelay(w, response))
	case response != nil:
		return w.whole(http.StatusOK, response.header, response.body)
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
	w.lasts = false
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
	return w.whole(status, header, []byte(text))
}

func (w *reply) whole(status int, header http.Header, body []byte) (lasts bool) {
	return w.write(w.head(status, header, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body) && w.lasts
}

// inform writes a head that comes before the answer's.
func (w *reply) inform(text string) bool { return w.write([]byte(text)) }

// head is an answer's head, with what it says of its body's length.
func (w *reply) head(status int, header http.Header, framing string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.WriteSubset(&b, worded)
	b.WriteString(framing)
	if !w.lasts {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write writes pieces; a caller that does not take them for as long as it would have waited for them has gone.
func (w *reply) write(pieces ...[]byte) bool {
	w.caller.Conn.SetWriteDeadline(time.Now().Add(max(w.patience, leastWrite)))
	buffers := net.Buffers(pieces)
	_, err := buffers.WriteTo(w.caller.Conn)
	return err == nil
}
