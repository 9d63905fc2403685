package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// frameChunks returns a piece of a body as it is written: as a chunk if chunked is set.
func frameChunks(b []byte, chunked bool) [][]byte {
	if !chunked {
		return [][]byte{b}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

const (
	// chunkHeaderRoom is the space in a buffer before a chunk's data, for the line with its size.
	// chunkEndRoom is the space after the data, for the line end. Both are in bytes.
	chunkHeaderRoom = len("ffffffff\r\n")
	chunkEndRoom    = len("\r\n")
)

// frameInPlace returns the n bytes of data in a buffer, framed as a chunk if chunked is set. The data
// begins at chunkHeaderRoom, and the framing is written into the space around it.
func frameInPlace(buffer []byte, n int, chunked bool) []byte {
	if n == 0 {
		return nil
	}
	from, to := chunkHeaderRoom, chunkHeaderRoom+n
	if chunked {
		size := fmt.Appendf(nil, "%x\r\n", n)
		from -= copy(buffer[chunkHeaderRoom-len(size):], size)
		to += copy(buffer[to:], "\r\n")
	}
	return buffer[from:to]
}

// lastChunk encodes the last chunk and the trailer section.
func lastChunk(trailer http.Header) []byte {
	var b bytes.Buffer
	b.WriteString("0\r\n")
	trailer.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
