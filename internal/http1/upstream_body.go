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
	conn   *upstreamConn
	reader io.Reader
	// Reader of a chunked body; nil for other ones.
	chunks *chunkedReader
	// Length of the body; -1 where only its end shows it.
	length int64
	// Bound of the length, in bytes.
	maxLength int64
	// Bytes read so far.
	read int64
	// The body ends with the connection.
	untilClose bool
	// The body has been read to its end.
	finished bool
	// Trailer fields of a chunked body; set at its end.
	trailer http.Header
}

// newResponseBody determines how a body is framed (RFC 9112, section 6.3). Contradictory or invalid
// lengths are errMalformed.
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
	// Beside the data, the framing of chunks is read: the limit allows as many bytes for it as for the
	// data. chunkedReader.Digest bounds extensions and the trailer section.
	c.readLimit = int(2*maxLength) + maxResponseHead
	b.finished = b.length == 0
	return b, nil
}

// Read implements io.Reader; at io.EOF the trailer has been read.
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
		// A parser that merges trailers into the head would have two lengths (RFC 9110, section 6.5.1).
		trailer.Del("Content-Length")
		b.trailer = trailer
	}
	b.finished = errors.Is(err, io.EOF)
	return n, err
}

// discard reads a short body that nobody needs, so that its connection can be reused. It leaves a
// body that is long or is not received within discardTimeout: the result of the attempt follows
// from the head and does not wait.
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

// unexpectedEOF is err, with an end of input inside a message as io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
