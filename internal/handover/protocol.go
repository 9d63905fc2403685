package handover

import (
	"errors"
	"net"
	"time"
)

const (
	// MaxState bounds the state of an offer, in bytes. A message has to fit into the socket's send
	// buffer, by default 208 KiB on Linux, together with the kernel's overhead.
	MaxState = 160 << 10
	// maxConns bounds the connections of an offer: a client's and an endpoint's.
	maxConns = 2
	// stepTimeout bounds each step. A process that takes longer counts as dead.
	stepTimeout = 500 * time.Millisecond
	// maxPeers bounds the concurrent senders. There is one, and another that was itself replaced while
	// it was still sending.
	maxPeers = 2
	// staleSocketAge is the age at which a socket file without a listener is removed. A younger one
	// may be about to be listened on.
	staleSocketAge = 10 * time.Second
	// maxSocketPath is the longest path of a Unix socket in bytes, the size of sun_path less its
	// terminator (unix(7)).
	maxSocketPath = 107
)

// The types of frames; see the package documentation.
const (
	frameOffer   = 'o'
	frameAccept  = 'y'
	frameDecline = 'n'
	frameCommit  = 'g'
)

var (
	// ErrDeclined is the receiver's answer that it does not take the connections. They still belong to
	// the caller, and the next ones may be passed.
	ErrDeclined = errors.New("handover: declined")
	// ErrNoReceiver says that no other process listens under the name.
	ErrNoReceiver = errors.New("handover: no other process receives connections")
	// The peer has violated the protocol.
	errMalformedOffer = errors.New("handover: malformed offer")
	errMalformedFrame = errors.New("handover: malformed frame")
	errNotCommitted   = errors.New("handover: no commit after the accept")
)

// writeFrame sends a frame without payload.
func writeFrame(c *net.UnixConn, frame byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err := c.Write([]byte{frame})
	return err
}

// readFrame receives a frame without payload until a deadline; the zero time is none.
func readFrame(c *net.UnixConn, deadline time.Time) (byte, error) {
	var b [2]byte
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Read(b[:])
	if err == nil && n != 1 {
		err = errMalformedFrame
	}
	return b[0], err
}
