package ringlog

import (
	"bytes"
	"encoding/binary"
	"io"
)

// readBufferSize is the number of bytes to read from a file at once.
const readBufferSize = 64 << 10

// magicPrefix has the first three bytes, which all magic numbers share.
var magicPrefix = binary.BigEndian.AppendUint32(nil, magicSingle)[:3]

// magicSize is the size of a magic number in bytes.
const magicSize = 4

// scanCopies calls visit for each readable copy of a record that begins at an offset in [start, end), until visit returns
// false. The limit is the size of the file.
func scanCopies(file io.ReaderAt, start, end, limit int64, visit func(offset int64, record storedRecord) (proceed bool)) {
	buffer := make([]byte, readBufferSize)
	for offset := start; offset < end; {
		n, _ := file.ReadAt(buffer[:min(int64(len(buffer)), end-offset)], offset)
		if n < magicSize {
			return
		}
		i := bytes.Index(buffer[:n], magicPrefix)
		if i < 0 {
			// The buffer may end within a magic number, so its last bytes are read again.
			offset += int64(n - len(magicPrefix))
			continue
		}
		offset += int64(i)
		if record, ok := readCopy(file, offset, limit); ok && !visit(offset, record) {
			return
		}
		offset++
	}
}

// bufferedReaderAt reads a file sequentially through a buffer.
type bufferedReaderAt struct {
	file io.ReaderAt
	// start is the offset of the buffer in the file.
	start  int64
	buffer []byte
}

// ReadAt implements io.ReaderAt.
func (r *bufferedReaderAt) ReadAt(b []byte, offset int64) (int, error) {
	if offset < r.start || offset+int64(len(b)) > r.start+int64(len(r.buffer)) {
		if len(b) > readBufferSize {
			return r.file.ReadAt(b, offset)
		}
		buffer := make([]byte, readBufferSize)
		n, err := r.file.ReadAt(buffer, offset)
		r.start = offset
		r.buffer = buffer[:n]
		if n < len(b) {
			return copy(b, r.buffer), err
		}
	}
	return copy(b, r.buffer[offset-r.start:]), nil
}
