package handover

import (
	"errors"
	"net"
	"time"
)

const (
	// MaxState bounds, in bytes, what goes along with a connection. A message has to fit into a socket's buffer, by
	// default 208 KiB on Linux, together with what the kernel adds.
	MaxState = 160 << 10
	maxConns = 2
	// stepTimeout is for each step; a process that has not the time for one is as good as gone.
	stepTimeout = 500 * time.Millisecond
	// maxPeers bounds the processes that pass something on at a time. There is one, and one more that has been
	// replaced while it did.
	maxPeers = 2
	// staleAfter is how old a file must be that nobody listens behind before it is removed: a younger one may be
	// about to be listened to.
	staleSocketAge = 10 * time.Second
	maxSocketPath  = 107 // bytes of a Unix socket's path, sockaddr_un less its end (unix(7))
)

// The words of the three steps; an offer is this and the state.
const (
	frameOffer   = 'o'
	frameAccept  = 'y'
	frameDecline = 'n'
	frameCommit  = 'g'
)

var (
	// ErrDeclined is the other side's word that it has no room; the connection is still the caller's.
	ErrDeclined = errors.New("handover: declined")
	// ErrNobody says that no other process listens.
	ErrNoReceiver = errors.New("handover: nobody to pass anything to")
)

func writeFrame(c *net.UnixConn, frame byte) error {
	c.SetWriteDeadline(time.Now().Add(stepTimeout))
	_, err := c.Write([]byte{frame})
	return err
}

func readFrame(c *net.UnixConn, deadline time.Time) (byte, error) {
	var b [2]byte
	c.SetReadDeadline(deadline)
	n, err := c.Read(b[:])
	if err == nil && n != 1 {
		err = errors.New("handover: malformed word")
	}
	return b[0], err
}
