package http1

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"dykering/internal/handover"
)

// Network is what a server stands on beside its listener: connections to others, and the way to the process before and
// after. Kernel is the real one; the laboratory has one that plays in virtual time.
type Network interface {
	// Dial makes a connection within a time.
	Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error)
	// Receive makes this process the one that takes what the one before passes on, and Find finds the one after.
	Receive(dir, name string) (Receiver, error)
	FindSuccessor(dir, name string, own Receiver) (Successor, error)
}

// Receiver takes connections of the process before, and Heir is who takes those of this one; see internal/handover.
type Receiver interface {
	Serve(handover.Take) error
	Close() error
}

type Successor interface {
	Pass(state []byte, conns ...net.Conn) error
	Alive() bool
}

// Kernel is the kernel's sockets.
type Kernel struct{}

func (Kernel) Dial(ctx context.Context, address string, within time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: within}
	return dialer.DialContext(ctx, "tcp", address)
}

func (Kernel) Receive(dir, name string) (Receiver, error) { return handover.Listen(dir, name) }

func (Kernel) FindSuccessor(dir, name string, own Receiver) (Successor, error) {
	receiver, _ := own.(*handover.Receiver)
	sender, err := handover.Dial(dir, name, receiver)
	if err != nil {
		return nil, err
	}
	return kernelSuccessor{sender}, nil
}

type kernelSuccessor struct{ *handover.Sender }

func (h kernelSuccessor) Pass(state []byte, raw ...net.Conn) error {
	conns := make([]syscall.Conn, len(raw))
	for i, x := range raw {
		var ok bool
		if conns[i], ok = x.(syscall.Conn); !ok {
			return fmt.Errorf("%T cannot be passed on", x)
		}
	}
	return h.Sender.Pass(state, conns...)
}

// tcpConn is what a connection of either kind can do beside net.Conn.
type tcpConn interface {
	net.Conn
	CloseWrite() error
	SetLinger(sec int) error
}
