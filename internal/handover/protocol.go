package handover

import (
	"errors"
	"net"
	"time"
)

const (
	// MaxState is the maximum size of the state of an offer, in bytes. A message and the kernel's
	// overhead have to fit into the send buffer of the socket, which is 208 KiB by default on Linux.
	MaxState = 160 << 10
	// maxConns is the maximum number of connections of an offer: one to a client and one to an endpoint.
	maxConns = 2
	// stepTimeout bounds each protocol step. A process that takes longer is considered dead.
	stepTimeout = 500 * time.Millisecond
	// maxPeers bounds the concurrent senders. There can be two: the predecessor, and the predecessor's
	// predecessor if that one is still passing connections.
	maxPeers = 2
	// staleSocketAge is the age at which a socket file without a listener is removed. A younger file
	// may belong to a process that is about to listen on it.
	staleSocketAge = 10 * time.Second
	// maxSocketPath is the maximum length of the path of a Unix socket in bytes: the size of sun_path
	// minus its terminator (unix(7)).
	maxSocketPath = 107
)

// The frame types, which the package documentation describes.
const (
	frameOffer   = 'o'
	frameAccept  = 'y'
	frameDecline = 'n'
	frameCommit  = 'g'
)

var (
	// ErrDeclined means that the receiver has declined the connections. They still belong to the
	// caller, which may pass further connections.
	ErrDeclined = errors.New("handover: the receiver declined the connections")
	// ErrNoReceiver means that no other process listens under the name.
	ErrNoReceiver = errors.New("handover: no other process receives connections")

	// These errors mean that the peer has violated the protocol.
	errMalformedOffer = errors.New("handover: malformed offer")
	errMalformedFrame = errors.New("handover: malformed frame")
	errNotCommitted   = errors.New("handover: the sender sent another frame instead of the commit")
)

// writeFrame sends a frame without payload within stepTimeout.
func writeFrame(c *net.UnixConn, frame byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	_, err := c.Write([]byte{frame})
	return err
}

// readFrame receives a frame without payload before a deadline. The zero time means no deadline.
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
