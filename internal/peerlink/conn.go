package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeout is how long sent data may remain unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT). A peer
// that has lost power or is behind a partition sends no reset, and the kernel's default is many minutes.
const userTimeout = 1500 * time.Millisecond

// message is the type that gob encodes on a connection, as gob needs a struct around an interface value. The name of the field
// is part of the wire format.
type message struct{ Body any }

// messageTracker is a network connection that bounds the memory for the message that is being received (package connlimit).
type messageTracker interface {
	// MessageReceived records that a complete message was received.
	MessageReceived()
}

// Conn sends and receives messages on a connection. One goroutine may call Send while another one calls Receive. Neither method
// may be called concurrently with itself.
type Conn struct {
	raw     net.Conn
	out     bytes.Buffer
	encoder *gob.Encoder
	in      frameReader
	decoder *gob.Decoder
}

// NewConn returns a Conn that takes ownership of a network connection.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{raw: raw, in: frameReader{source: bufio.NewReader(raw)}}
	c.encoder = gob.NewEncoder(&c.out)
	c.decoder = gob.NewDecoder(&c.in)
	return c
}

// Dial connects to another process at a host:port.
func Dial(address string, timeout time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return dialContext(ctx, address)
}

func dialContext(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(raw), nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Send writes one message. If the message is too long, Send writes nothing and the error wraps a *FrameTooLongError. If the
// message is not written in time, Send returns the error of the connection. After an error the caller must close the
// connection: the peer may have received a part of a frame, or may lack type definitions of the gob stream.
func (c *Conn) Send(body any, timeout time.Duration) error {
	c.out.Reset()
	c.out.Write(make([]byte, headerBytes))
	if err := c.encoder.Encode(message{Body: body}); err != nil {
		return errors.Wrapf(err, "encode message of type %T", body)
	}
	frame := c.out.Bytes()
	length := len(frame) - headerBytes
	if length > MaxFrameBytes {
		return errors.Wrapf(&FrameTooLongError{Bytes: length}, "send message of type %T", body)
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	if err := c.raw.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := c.raw.Write(frame)
	return err
}

// Receive reads one message. It fails if no message arrives in time, if the connection has ended, or if the received data is not
// a message of a registered type. The error wraps a *FrameTooLongError if the frame is too long. After an error the caller must
// close the connection.
func (c *Conn) Receive(timeout time.Duration) (any, error) {
	if err := c.raw.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	var m message
	if err := c.decoder.Decode(&m); err != nil {
		return nil, err
	}
	if tracked, ok := c.raw.(messageTracker); ok {
		tracked.MessageReceived()
	}
	return m.Body, nil
}

// Close closes the connection. It may be called from any goroutine and more than once.
func (c *Conn) Close() error { return c.raw.Close() }
