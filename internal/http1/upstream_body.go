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

// answerBody reads a response's body.
type answerBody struct {
	conn    *conn
	reader  io.Reader
	chunks  *chunked // nil unless it comes in chunks
	length  int64    // -1 where only its end tells
	longest int64    // that it may be
	read    int64
	toClose bool // the connection's end is the body's
	ended   bool
	trailer http.Header
}

// newAnswerBody finds out how a body ends. Lengths that disagree, or cannot be, spoil it.
func newAnswerBody(c *conn, code int, header textproto.MIMEHeader, longest int64) (*answerBody, error) {
	b := &answerBody{conn: c, reader: c.reader, longest: longest}
	lengths, codings := header["Content-Length"], header["Transfer-Encoding"]
	switch {
	case code == http.StatusNoContent || code == http.StatusNotModified:
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		b.length, b.chunks = -1, newChunked(c.reader)
		b.reader = b.chunks
	case len(codings) == 0 && len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil {
			return nil, errSpoilt
		}
		if n > uint64(longest) {
			return nil, errTooLarge
		}
		b.length = int64(n)
	case len(codings) == 0 && len(lengths) == 0:
		b.length, b.toClose = -1, true
	default:
		return nil, errSpoilt
	}
	// Beside the body, what its chunks take: the chunked reader bounds that by what they hold.
	c.left = int(2*longest) + maxAnswerHead
	b.ended = b.length == 0
	return b, nil
}

// Read reads the body; its end is io.EOF, with the trailers read.
func (b *answerBody) Read(p []byte) (n int, err error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.length >= 0 {
		p = p[:min(int64(len(p)), b.length-b.read)]
	}
	n, err = b.reader.Read(p)
	b.read += int64(n)
	eof := errors.Is(err, io.EOF)
	switch {
	case b.read > b.longest:
		return n, errTooLarge
	case b.length >= 0 && b.read == b.length:
		err = io.EOF
	case eof && b.length >= 0:
		err = io.ErrUnexpectedEOF
	case eof && b.chunks != nil:
		trailer, fault := b.chunks.trailer()
		if fault != nil {
			return n, fault
		}
		removeHopByHop(trailer)
		trailer.Del("Content-Length") // a second length, as in an upload's
		b.trailer = trailer
	}
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// skip reads a short body that nobody wants, so that its connection can be used again. What is long or does not
// come at once is left: what the head says does not wait for it.
func (b *answerBody) skip() error {
	buffer := make([]byte, 512)
	for patience := time.Now().Add(skipPatience); !b.ended && !b.toClose && b.read < maxBody; {
		if came, err := b.conn.awaits(patience); !came {
			return err
		}
		if _, err := b.Read(buffer); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}

// noEOF is an end that came too early.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
