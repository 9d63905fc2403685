package http1

import (
	"bufio"
	"io"
	"net/http"
)

// requestBody reads a request's body. After an error of the connection, such as a deadline, reading
// can be resumed, also by another process.
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

// trailer returns the client's trailer fields that may be forwarded. A malformed trailer is
// dropped.
func (b *requestBody) trailer() http.Header {
	if b.chunks == nil {
		return nil
	}
	h, err := b.chunks.trailer()
	if err != nil {
		return nil // what cannot be read is not passed on
	}
	removeHopByHop(h)
	h.Del("Content-Length") // a second length, for who merges trailers into the head
	return h
}
