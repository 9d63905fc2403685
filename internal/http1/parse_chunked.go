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
)

// maxChunkLine bounds a line that tells a chunk's size, with its extensions.
const maxChunkLine = 4096

// chunkStage is what a chunked body's reader is to find next.
type chunkStage int

const (
	chunkSize chunkStage = iota
	chunkData
	chunkEnd // the line end behind a chunk
	chunkTrailer
	chunkDone
)

// chunkedReader reads a body in chunks (RFC 9112, section 7.1). net/http/httputil has a reader too, but its place in the
// body cannot be told to another process: here an error of the connection, such as a deadline that interrupts it,
// leaves a place to go on from, and the exported fields are all of it.
type chunkedReader struct {
	Stage   chunkStage
	Left    uint64 // of the chunk
	Line    []byte // what has come of a line
	Trailer []byte // the lines of the trailer that have come
	Digest  int    // bytes of trailer and extensions that may still come

	r *bufio.Reader
}

func newChunkedReader(r *bufio.Reader) *chunkedReader {
	return &chunkedReader{r: r, Digest: maxResponseHead}
}

// Read reads; the end of the body, with its trailer, is io.EOF.
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
				return n, nil // an error comes again
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

// readLine reads a line of up to so many bytes, without its end. What has come of it is kept over an error.
func (c *chunkedReader) readLine(most int) ([]byte, error) {
	for {
		part, err := c.r.ReadSlice('\n')
		c.Line = append(c.Line, part...)
		if len(c.Line) > most+2 {
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
			return nil, errMalformed // a bare line feed or carriage return ends a line for some readers and not for others
		}
		return line, nil
	}
}

// trailer is what came behind the body; nil before its end, or when it cannot be read.
func (c *chunkedReader) trailer() (http.Header, error) {
	if len(c.Trailer) == 0 {
		return http.Header{}, nil
	}
	h, err := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(c.Trailer), bytes.NewReader([]byte("\r\n"))))).ReadMIMEHeader()
	if err != nil {
		return nil, errMalformed
	}
	return http.Header(h), nil
}

// valid tells whether a place in a body that another process tells is one.
func (c *chunkedReader) valid() bool {
	return c.Stage >= chunkSize && c.Stage <= chunkDone && c.Digest >= 0 && len(c.Line) <= maxChunkLine+2
}

// reencode writes a chunked body anew from its beginning, of which got has been read, up to the place where the
// reading stands. What comes next on the connection goes on from there.
func (c *chunkedReader) reencode(w *bytes.Buffer, got []byte) {
	size := uint64(len(got))
	if c.Stage == chunkData {
		size += c.Left
	}
	if size > 0 {
		fmt.Fprintf(w, "%x\r\n", size)
		w.Write(got)
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
