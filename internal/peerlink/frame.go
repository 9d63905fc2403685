package peerlink

import (
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// MaxFrameBytes bounds the encoded length of one message. A complete configuration and a snapshot of all sessions must
	// fit into a message.
	MaxFrameBytes = 24 << 20
	// headerBytes is the length of a frame's header. The header has the length of the rest of the frame in big endian.
	headerBytes = 4
)

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

// frameReader reads the content of frames as one stream. It rejects a length above MaxFrameBytes before it reads the frame, so
// that a sender cannot make the decoder allocate more memory.
type frameReader struct {
	source    io.Reader
	remaining int // unread bytes of the current frame
}

func (r *frameReader) Read(b []byte) (int, error) {
	for r.remaining == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := r.source.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}

func (r *frameReader) readHeader() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return &FrameTooLongError{Bytes: int(length)}
	}
	r.remaining = int(length)
	return nil
}
