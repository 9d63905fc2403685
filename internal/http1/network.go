package http1

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"dykering/internal/handover"
)

// Network is what a server uses beside its listener: connections to endpoints and to discovery, and
// the transfer of connections between processes. Kernel is the real one; the laboratory has one in
// virtual time.
type Network interface {
	// Dial connects to a TCP address within a time.
	Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	// Receive makes this process a receiver of connections of its predecessor. Both give the same
	// directory and name.
	Receive(dir, name string) (Receiver, error)
	// FindSuccessor returns the process that receives connections under a name, other than this
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

// Kernel is the Network of the kernel's sockets.
type Kernel struct{}

// Dial implements Network.
func (Kernel) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: within}
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

// kernelSuccessor passes the descriptors of the kernel's sockets.
type kernelSuccessor struct{ *handover.Sender }

// Pass implements Successor. All connections must have descriptors.
func (h kernelSuccessor) Pass(state []byte, raw ...net.Conn) error {
	conns := make([]syscall.Conn, len(raw))
	for i, x := range raw {
		var ok bool
		if conns[i], ok = x.(syscall.Conn); !ok {
			return fmt.Errorf("%T has no descriptor to pass", x)
		}
	}
	return h.Sender.Pass(state, conns...)
}

// tcpConn is what connections of either network can do beside net.Conn.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}
