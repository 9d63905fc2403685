package http1

import (
	"bytes"
	"fmt"
	"net/http"
)

// frameChunks is a piece of a body as it is written: as a chunk if chunked.
func frameChunks(b []byte, chunked bool) [][]byte {
	if !chunked {
		return [][]byte{b}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(b)), b, []byte("\r\n")}
}

const (
	// chunkHeaderRoom is the space in front of a chunk's data in a buffer, for the line with its size;
	// chunkEndRoom is that behind it, for the line end.
	chunkHeaderRoom = len("ffffffff\r\n")
	chunkEndRoom    = len("\r\n")
)

// frameInPlace is the piece of n bytes in a buffer that has room around it, framed in place as a
// chunk if chunked.
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
