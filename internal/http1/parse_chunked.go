package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// maxChunkLine bounds the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 4096

// chunkStage is the element of a chunked body that its reader expects next.
type chunkStage int

const (
	// The line with a chunk's size.
	chunkSize chunkStage = iota
	// The data of a chunk.
	chunkData
	// The line end after the data.
	chunkEnd
	// A line of the trailer section, or the empty line that ends it.
	chunkTrailer
	// The end of the body.
	chunkDone
)

// chunkedReader reads a chunked body (RFC 9112, section 7.1). After an error of the connection, such
// as a deadline that interrupts a read, reading can be resumed by this process or by its successor.
// The exported fields are the complete position. They are sent to the successor as JSON under these
// names, which must not change. The reader of net/http/httputil is not used, because its position
// cannot be exported.
type chunkedReader struct {
	// The element that is expected next.
	Stage chunkStage
	// Unread bytes of the current chunk.
	Left uint64
	// The received part of an incomplete line.
	Line []byte
	// The received lines of the trailer section.
	Trailer []byte
	// The number of bytes of trailer section and chunk extensions that may still be received.
	Digest int

	r *bufio.Reader
}

// newChunkedReader returns a reader at the beginning of a chunked body.
func newChunkedReader(r *bufio.Reader) *chunkedReader {
	return &chunkedReader{r: r, Digest: maxResponseHead}
}

// Read implements io.Reader. It returns io.EOF once the trailer section has been read.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		switch c.Stage {
		case chunkSize:
			line, err := c.readLine(maxChunkLine)
			if err != nil {
				return 0, err
			}
			size, extension, _ := bytes.Cut(line, []byte(";"))
			size = bytes.TrimRight(size, " \t")
			if c.Digest -= len(extension); c.Digest < 0 {
				return 0, errTooLarge
			}
			if len(size) > 15 || bytes.ContainsAny(size, "+-_xX") {
				return 0, errMalformed
			}
			if c.Left, err = strconv.ParseUint(string(size), 16, 63); err != nil {
				return 0, errMalformed
			}
			if c.Stage = chunkData; c.Left == 0 {
				c.Stage = chunkTrailer
			}
		case chunkData:
			n, err = c.r.Read(p[:min(uint64(len(p)), c.Left)])
			if c.Left -= uint64(n); c.Left == 0 {
				c.Stage = chunkEnd
			}
			if n > 0 {
				return n, nil // the next read returns the error again
			}
			return 0, unexpectedEOF(err)
		case chunkEnd:
			line, err := c.readLine(0)
			if err != nil {
				return 0, err
			}
			if len(line) > 0 {
				return 0, errMalformed
			}
			c.Stage = chunkSize
		case chunkTrailer:
			line, err := c.readLine(c.Digest)
			if err != nil {
				return 0, err
			}
			if len(line) == 0 {
				c.Stage = chunkDone
				break
			}
			c.Digest -= len(line) + 2
			c.Trailer = append(append(c.Trailer, line...), '\r', '\n')
		case chunkDone:
			return 0, io.EOF
		}
	}
}

// readLine reads a line of up to limit bytes and returns it without the line end. After an error of
// the connection it can be called again, because the received part of the line is kept.
func (c *chunkedReader) readLine(limit int) ([]byte, error) {
	for {
		part, err := c.r.ReadSlice('\n')
		c.Line = append(c.Line, part...)
		if len(c.Line) > limit+2 {
			return nil, errMalformed
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		line, ok := bytes.CutSuffix(c.Line, []byte("\r\n"))
		if c.Line = c.Line[:0]; !ok || bytes.IndexByte(line, '\r') >= 0 {
			// A bare line feed or carriage return ends a line for some parsers and not for others (RFC 9112,
			// section 2.2).
			return nil, errMalformed
		}
		return line, nil
	}
}

// trailer returns the trailer fields. They are complete once Read has returned io.EOF.
func (c *chunkedReader) trailer() (http.Header, error) {
	if len(c.Trailer) == 0 {
		return http.Header{}, nil
	}
	section := io.MultiReader(bytes.NewReader(c.Trailer), strings.NewReader("\r\n"))
	h, err := textproto.NewReader(bufio.NewReader(section)).ReadMIMEHeader()
	if err != nil {
		return nil, errMalformed
	}
	return http.Header(h), nil
}

// valid reports whether a position that was received from another process is possible.
func (c *chunkedReader) valid() bool {
	return c.Stage >= chunkSize && c.Stage <= chunkDone && c.Digest >= 0 && len(c.Line) <= maxChunkLine+2
}

// reencode encodes the body again from its beginning up to the reader's position. It is given the
// data read so far. The unread input of the connection continues the encoded text.
func (c *chunkedReader) reencode(w *bytes.Buffer, data []byte) {
	size := uint64(len(data))
	if c.Stage == chunkData {
		size += c.Left
	}
	if size > 0 {
		fmt.Fprintf(w, "%x\r\n", size)
		w.Write(data)
		if c.Stage != chunkData && c.Stage != chunkEnd {
			w.WriteString("\r\n")
		}
	}
	if c.Stage == chunkTrailer {
		w.WriteString("0\r\n")
		w.Write(c.Trailer)
	}
	w.Write(c.Line)
}
