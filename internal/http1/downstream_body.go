package http1

import (
	"bufio"
	"io"
	"net/http"
)

// requestBody reads a request's body. Like chunked it can be gone on with after an error of the connection, and by
// another process.
type requestBody struct {
	r         *bufio.Reader
	length    int64          // of the whole body; -1 where it comes in chunks
	remaining int64          // of a body whose length is known
	chunks    *chunkedReader // of one that comes in chunks
}

func newRequestBody(in *http.Request, r *bufio.Reader) *requestBody {
	b := &requestBody{r: r, length: in.ContentLength, remaining: in.ContentLength}
	if in.ContentLength < 0 {
		b.chunks = newChunkedReader(r)
	}
	return b
}

// Read reads; the end, io.EOF, comes with the last bytes of a body whose length is known.
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

// trailer is what the caller has sent behind its body.
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
