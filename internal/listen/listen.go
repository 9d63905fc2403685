// Package listen makes the socket that callers connect to, or takes over one that the platform holds.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

var errNotListening = errors.New("not a listening TCP socket")

// Open makes the socket at an address, or takes the one that the platform holds as a descriptor.
func Open(address string, accept *int) (net.Listener, error) {
	if accept != nil {
		l, err := inherit(*accept)
		if err != nil {
			return nil, fmt.Errorf("BALANCER_ACCEPT_FD: descriptor %d: %w", *accept, err)
		}
		return l, nil
	}
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// inherit takes over a listening socket that other processes share. What it returns is a copy: to close it ends
// this process's accepting, and leaves the socket and what waits in its backlog to the others.
func inherit(fd int) (net.Listener, error) {
	// Asked before anything is made of the number: it may be anybody's descriptor.
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotListening, err)
	}
	if listening == 0 {
		return nil, errNotListening
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, errNotListening
	}
	return l, nil
}
