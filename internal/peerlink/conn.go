// Package peerlink carries the messages between processes of the system: gob over TCP, in frames of bounded length.
package peerlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// MostFrame bounds one message.
const MostFrame = 24 << 20

// userTimeout is how long what was sent may stay without acknowledgement before a connection counts as broken.
const userTimeout = 1500 * time.Millisecond

// message is how messages go over a connection: gob needs a struct around an interface value.
type message struct{ Body any }

// Conn sends and receives messages on a connection. One goroutine may send while another receives.
type Conn struct {
	raw     net.Conn
	out     bytes.Buffer
	encoder *gob.Encoder
	in      frames
	decoder *gob.Decoder
}

// NewConn speaks messages on a connection.
func NewConn(raw net.Conn) *Conn {
	c := &Conn{raw: raw, in: frames{from: bufio.NewReader(raw)}}
	c.encoder = gob.NewEncoder(&c.out)
	c.decoder = gob.NewDecoder(&c.in)
	return c
}

// Dial makes a connection to another process within a time.
func Dial(address string, within time.Duration) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return dialContext(ctx, address)
}

func dialContext(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{Control: control}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(raw), nil
}

// control has a connection to a silent peer break in bounded time.
func control(_, _ string, raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// Send writes one message within a time.
func (c *Conn) Send(body any, within time.Duration) error {
	c.out.Reset()
	c.out.Write(make([]byte, 4))
	if err := c.encoder.Encode(message{Body: body}); err != nil {
		return errors.Wrap(err, "message cannot be encoded")
	}
	frame := c.out.Bytes()
	if len(frame)-4 > MostFrame {
		return errors.Errorf("message of %d bytes is too long", len(frame)-4)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	if err := c.raw.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := c.raw.Write(frame)
	return err
}

// Receive reads one message within a time.
func (c *Conn) Receive(within time.Duration) (any, error) {
	if err := c.raw.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, err
	}
	var m message
	if err := c.decoder.Decode(&m); err != nil {
		return nil, err
	}
	return m.Body, nil
}

// Close closes the connection.
func (c *Conn) Close() error { return c.raw.Close() }

// RemoteHost is the host of the peer.
func (c *Conn) RemoteHost() string {
	host, _, err := net.SplitHostPort(c.raw.RemoteAddr().String())
	if err != nil {
		return c.raw.RemoteAddr().String()
	}
	return host
}

// frames gives the decoder what frames hold, and refuses lengths beyond the bound.
type frames struct {
	from io.Reader
	left int
}

func (f *frames) Read(b []byte) (int, error) {
	for f.left == 0 {
		var header [4]byte
		if _, err := io.ReadFull(f.from, header[:]); err != nil {
			return 0, err
		}
		length := binary.BigEndian.Uint32(header[:])
		if length > MostFrame {
			return 0, errors.Errorf("frame of %d bytes is too long", length)
		}
		f.left = int(length)
	}
	n, err := f.from.Read(b[:min(len(b), f.left)])
	f.left -= n
	return n, err
}
