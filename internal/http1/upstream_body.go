package http1

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// responseBody reads the body of an endpoint's response.
type responseBody struct {
	conn *upstreamConn
	// The source of the data: chunks for a chunked body, else the connection's reader.
	reader io.Reader
	// The reader of a chunked body; nil for other bodies.
	chunks *chunkedReader
	// The length of the body in bytes; -1 if it is unknown before the body's end.
	length int64
	// The bound of the length, in bytes.
	maxLength int64
	// The number of bytes read so far.
	read int64
	// The body ends with the connection.
	untilClose bool
	// The body has been read to its end.
	finished bool
	// The trailer fields of a chunked body; set at its end.
	trailer http.Header
}

// newResponseBody determines the framing of a body (RFC 9112, section 6.3). It returns errMalformed
// for contradictory or invalid lengths.
func newResponseBody(c *upstreamConn, code int, header textproto.MIMEHeader, maxLength int64) (*responseBody, error) {
	b := &responseBody{conn: c, reader: c.reader, maxLength: maxLength}
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case code == http.StatusNoContent || code == http.StatusNotModified:
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		b.length, b.chunks = -1, newChunkedReader(c.reader)
		b.reader = b.chunks
	case len(codings) == 0 && len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, errMalformed
		}
		if n > uint64(maxLength) {
			return nil, errTooLarge
		}
		b.length = int64(n)
	case len(codings) == 0 && len(lengths) == 0:
		b.length, b.untilClose = -1, true
	default:
		return nil, errMalformed
	}
	// A chunked body also has the framing of its chunks: the limit allows as many bytes for it as for
	// the data. chunkedReader.Digest bounds the extensions and the trailer section.
	c.readLimit = int(2*maxLength) + maxResponseHead
	b.finished = b.length == 0
	return b, nil
}

// Read implements io.Reader. When it returns io.EOF, the trailer is set.
func (b *responseBody) Read(p []byte) (n int, err error) {
	if b.finished {
		return 0, io.EOF
	}
	if b.length >= 0 {
		p = p[:min(int64(len(p)), b.length-b.read)]
	}
	n, err = b.reader.Read(p)
	b.read += int64(n)
	eof := errors.Is(err, io.EOF)
	switch {
	case b.read > b.maxLength:
		return n, errTooLarge
	case b.length >= 0 && b.read == b.length:
		err = io.EOF
	case eof && b.length >= 0:
		err = io.ErrUnexpectedEOF
	case eof && b.chunks != nil:
		trailer, trailerErr := b.chunks.trailer()
		if trailerErr != nil {
			return n, trailerErr
		}
		removeHopByHop(trailer)
		// A parser that merges trailers into the head would read two lengths (RFC 9110, section 6.5.1).
		trailer.Del("Content-Length")
		b.trailer = trailer
	}
	b.finished = errors.Is(err, io.EOF)
	return n, err
}

// discard reads and drops a short body that is not needed, so that the connection can be reused. It
// stops at a body that is long or is not received within discardTimeout, because the result of the
// attempt follows from the head and should not be delayed.
func (b *responseBody) discard() error {
	buffer := make([]byte, 512)
	for until := time.Now().Add(discardTimeout); !b.finished && !b.untilClose && b.read < maxBufferedBody; {
		if readable, err := b.conn.awaitReadable(until); !readable {
			return err
		}
		if _, err := b.Read(buffer); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and other errors unchanged. It is used for
// reads inside a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
