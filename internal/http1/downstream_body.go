package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// requestBody reads a request's body. After an error of the connection, such as a deadline, reading
// can be resumed by this process or by its successor.
type requestBody struct {
	r *bufio.Reader
	// Length of the whole body; -1 for a chunked one.
	length int64
	// Unread bytes of a body of known length.
	remaining int64
	// Reader of a chunked body; nil for a body of known length.
	chunks *chunkedReader
}

// newRequestBody returns the body of a request whose head has been read.
func newRequestBody(in *http.Request, r *bufio.Reader) *requestBody {
	b := &requestBody{r: r, length: in.ContentLength, remaining: in.ContentLength}
	if in.ContentLength < 0 {
		b.chunks = newChunkedReader(r)
	}
	return b
}

// Read implements io.Reader. For a body of known length io.EOF is returned together with its last
// bytes.
func (b *requestBody) Read(p []byte) (n int, err error) {
	if b.chunks != nil {
		return b.chunks.Read(p)
	}
	if b.remaining > 0 {
		n, err = b.r.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		err = unexpectedEOF(err)
	}
	if b.remaining == 0 {
		return n, io.EOF
	}
	return n, err
}

// trailer returns the client's trailer fields that may be forwarded. It drops a malformed trailer.
func (b *requestBody) trailer() http.Header {
	if b.chunks == nil {
		return nil
	}
	h, err := b.chunks.trailer()
	if err != nil {
		return nil
	}
	removeHopByHop(h)
	// A parser that merges trailers into the head would read two lengths (RFC 9110, section 6.5.1).
	h.Del("Content-Length")
	return h
}

// readBody reads the body of a request into memory; of a body that is streamed it reads the
// beginning. It returns the number of bytes that it has reserved in the memory for bodies. The caller
// releases them, also after an error.
func (s *Server) readBody(c *downstreamConn, head *http.Request, req *request, from *requestBody) (reserved int, err error) {
	header := head.Header
	removeHopByHop(header)
	req.forwardedRequest = forwardedRequest{method: head.Method, target: head.RequestURI, host: head.Host, header: header}
	if head.ContentLength == 0 {
		return 0, nil
	}
	reserved = maxBufferedBody
	if head.ContentLength > 0 {
		reserved = min(reserved, int(head.ContentLength))
	}
	if !s.memory.Bodies.TryAcquire(reserved) {
		return 0, errNoMemory
	}
	c.enforceRate()
	body, complete, err := readUpTo(from, reserved)
	complete = complete || int64(len(body)) == head.ContentLength
	c.rateEnforced = !complete
	if req.body = body; err != nil || complete {
		return reserved, err
	}
	req.upload = newUpload(c, from, s.uploadTooLate)
	req.LongBody = true
	return reserved, nil
}

// readUpTo reads at most limit bytes of a body and reports whether the body is complete. The buffer
// grows with the input, because a client may state a Content-Length that it never sends.
func readUpTo(body io.Reader, limit int) (data []byte, complete bool, err error) {
	for len(data) < limit {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(limit, max(512, 2*cap(data)))), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, false, nil
}
