// Package listen opens the socket that clients connect to, or takes over one that the platform holds.
//
// The platform may pass a listening socket as a descriptor, so that the versions of a program before and after an upgrade
// accept on the same socket. The package owns no connection; package sidecar calls it once at the start.
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// ErrNotListening is the fault of a descriptor that is no listening TCP socket.
var ErrNotListening = errors.New("not a listening TCP socket")

// Open listens at an address, or on the inherited descriptor where there is one.
func Open(address string, inherited *int) (net.Listener, error) {
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

// inherit listens on a socket that other processes share. The listener is a copy: closing it ends this process's
// accepting, and leaves the socket and its backlog to the others.
func inherit(fd int) (net.Listener, error) {
	// Checked before a file is made of the number, which would close a descriptor that is in other use.
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
