package peerlink

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxFrameBytes bounds the encoded length of one message. A complete configuration and a snapshot of all sessions must
	// fit into a message.
	MaxFrameBytes = 24 << 20
	// headerBytes is the length of a frame's header. The header has the length of the rest of the frame in big endian.
	headerBytes = 4
	// firstReadBytes is the size of the first buffer of a frame. The buffer doubles whenever it is full. Its size does not follow the
	// header, since the peer need not send as many bytes as it announces.
	firstReadBytes = 4 << 10
	// keptBufferBytes bounds the buffer that a connection keeps between two frames.
	keptBufferBytes = 64 << 10
)

// errBadLength is the error for a frame that does not hold whole messages of gob.
var errBadLength = errors.New("a message is longer than its frame")

// FrameTooLongError is the error for a message that is longer than MaxFrameBytes, or for a received frame whose header has such
// a length.
type FrameTooLongError struct {
	// Bytes is the length of the frame without its header.
	Bytes int
}

// Error returns a message with the length of the frame and the limit.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes is too long: the limit is %d bytes", e.Bytes, MaxFrameBytes)
}

// frameReader reads the content of frames as one stream. It passes a frame on once it is complete and the lengths in it are right,
// since gob allocates memory for a message by its length alone. It is an io.ByteReader, so that gob adds no buffer.
type frameReader struct {
	source io.Reader
	buffer []byte
	unread []byte // the part of buffer that was not passed on
}

// Read implements io.Reader.
func (r *frameReader) Read(b []byte) (int, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(b, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// ReadByte implements io.ByteReader.
func (r *frameReader) ReadByte() (byte, error) {
	if err := r.fill(); err != nil {
		return 0, err
	}
	b := r.unread[0]
	r.unread = r.unread[1:]
	return b, nil
}

// fill reads frames until there is something to pass on.
func (r *frameReader) fill() error {
	for len(r.unread) == 0 {
		if err := r.readFrame(); err != nil {
			return err
		}
	}
	return nil
}

// readFrame reads one frame.
func (r *frameReader) readFrame() error {
	length, err := r.readHeader()
	if err != nil {
		return err
	}
	if cap(r.buffer) > keptBufferBytes {
		r.buffer = nil
	}
	r.buffer = r.buffer[:0]
	for len(r.buffer) < length {
		if len(r.buffer) == cap(r.buffer) {
			r.buffer = append(make([]byte, 0, max(firstReadBytes, 2*len(r.buffer))), r.buffer...)
		}
		n, err := r.source.Read(r.buffer[len(r.buffer):min(cap(r.buffer), length)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if err != nil && len(r.buffer) < length {
			return unexpectedEOF(err)
		}
	}
	if !holdsWholeMessages(r.buffer) {
		return errBadLength
	}
	r.unread = r.buffer
	return nil
}

func (r *frameReader) readHeader() (length int, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		return 0, err
	}
	length = int(binary.BigEndian.Uint32(header[:]))
	if length > MaxFrameBytes {
		return 0, &FrameTooLongError{Bytes: length}
	}
	return length, nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF for the end of a connection within a frame.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// holdsWholeMessages reports whether a frame consists of messages of gob, each behind its length.
func holdsWholeMessages(frame []byte) bool {
	for len(frame) > 0 {
		length, prefix := gobLength(frame)
		if prefix == 0 || length > uint64(len(frame)-prefix) {
			return false
		}
		frame = frame[prefix+int(length):]
	}
	return true
}

// gobLength decodes the unsigned integer at the beginning of a text: one byte below 128, or the negated number of the bytes that
// follow in big endian. It also returns the number of bytes of the integer, which is 0 if it is malformed.
func gobLength(text []byte) (value uint64, size int) {
	const oneByteLimit, maxBytes = 0x80, 8
	if text[0] < oneByteLimit {
		return uint64(text[0]), 1
	}
	count := -int(int8(text[0]))
	if count > maxBytes || count >= len(text) {
		return 0, 0
	}
	for _, b := range text[1 : 1+count] {
		value = value<<8 | uint64(b)
	}
	return value, 1 + count
}
