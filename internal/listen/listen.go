// Package listen opens the listening socket for clients, or uses one that the process has inherited from the platform.
//
// The platform may pass a listening socket as a descriptor, so that the processes before and after an upgrade accept
// connections on the same socket. The package does not own the connections. Package sidecar calls it once at startup.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListening is returned for a descriptor that is not a listening TCP socket.
var ErrNotListening = errors.New("not a listening TCP socket")

// receiveBufferBytes is the receive buffer of a client's connection that is asked of the kernel, which doubles the size. Unread
// input of hundreds of clients counts as memory of the process.
const receiveBufferBytes = 32 << 10

// Open returns a listener for the inherited descriptor or, if that is nil, for the address. Its connections have limited receive
// buffers.
func Open(address string, inherited *int) (net.Listener, error) {
	listener, err := open(address, inherited)
	if err != nil {
		return nil, err
	}
	return limitReceiveBuffer(listener), nil
}

// limitReceiveBuffer sets the receive buffer of a listening socket, whose connections inherit the size.
func limitReceiveBuffer(listener net.Listener) net.Listener {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return listener
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) {
			// A platform without this option has buffers of its own choice.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}
	return listener
}

func open(address string, inherited *int) (net.Listener, error) {
	if inherited != nil {
		listener, err := inherit(*inherited)
		if err != nil {
			return nil, fmt.Errorf("BALANCER_ACCEPT_FD: descriptor %d: %w", *inherited, err)
		}
		return listener, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// inherit returns a listener for a socket that other processes may share. The listener has a duplicate of the descriptor.
// Closing it leaves the socket and its backlog to the other processes.
func inherit(fd int) (net.Listener, error) {
	// Check the descriptor before creating an os.File for it: closing the file would close a descriptor in other use.
	isListening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotListening, err)
	}
	if isListening == 0 {
		return nil, ErrNotListening
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	if _, ok := listener.(*net.TCPListener); !ok {
		return nil, errors.Join(ErrNotListening, listener.Close())
	}
	return listener, nil
}
