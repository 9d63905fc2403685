package peerlink

import (
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// MaxFrameBytes bounds the encoded length of one message. A complete configuration and a snapshot of all sessions have
	// to fit.
	MaxFrameBytes = 24 << 20
	// headerBytes is the length of a frame's header, which has the length of the rest in big endian.
	headerBytes = 4
)

// FrameTooLongError is the error for a message that is, or a received frame that claims to be, longer than MaxFrameBytes.
type FrameTooLongError struct {
	Bytes int
}

// Error returns the length.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of %d bytes is too long", e.Bytes)
}

// frameReader reads the content of frames as one stream. It rejects lengths above MaxFrameBytes before it reads the frame,
// so that a sender cannot make the decoder allocate more.
type frameReader struct {
	source    io.Reader
	remaining int // bytes of the present frame that have not been read
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
