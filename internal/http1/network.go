package http1

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"dykering/internal/handover"
)

// Network provides connections to endpoints and to discovery, and the transfer of connections between
// processes. Kernel implements it on the sockets of the operating system. The simulations implement
// it in virtual time.
type Network interface {
	// Dial connects to a TCP address. It fails after the timeout.
	Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// Receive makes this process the receiver of its predecessor's connections. Both processes use the
	// same directory and name.
	Receive(dir, name string) (Receiver, error)
	// FindSuccessor returns the process that receives connections under a name. It ignores this
	// process's own receiver.
	FindSuccessor(dir, name string, own Receiver) (Successor, error)
}

// Receiver receives the connections of the predecessor; see package handover.
type Receiver interface {
	Serve(handover.Handler) error
	Close() error
}

// Successor is the process that takes this process's connections when it stops; see package
// handover.
type Successor interface {
	Pass(state []byte, conns ...net.Conn) error
	Alive() bool
}

// Kernel implements Network on the operating system's sockets.
type Kernel struct{}

// Dial implements Network.
func (Kernel) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Receive implements Network.
func (Kernel) Receive(dir, name string) (Receiver, error) { return handover.Listen(dir, name) }

// FindSuccessor implements Network.
func (Kernel) FindSuccessor(dir, name string, own Receiver) (Successor, error) {
	receiver, _ := own.(*handover.Receiver)
	sender, err := handover.Dial(dir, name, receiver)
	if err != nil {
		return nil, err
	}
	return kernelSuccessor{sender}, nil
}

// kernelSuccessor implements Successor by passing the descriptors of the sockets.
type kernelSuccessor struct{ *handover.Sender }

// Pass implements Successor. All connections must have descriptors.
func (h kernelSuccessor) Pass(state []byte, raw ...net.Conn) error {
	conns := make([]syscall.Conn, len(raw))
	for i, conn := range raw {
		var ok bool
		if conns[i], ok = conn.(syscall.Conn); !ok {
			return fmt.Errorf("connection of type %T has no file descriptor to pass", conn)
		}
	}
	return h.Sender.Pass(state, conns...)
}

// tcpConn is implemented by the TCP connections of each Network.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}
