package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

var errNotListening = errors.New("not a listening TCP socket")

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
