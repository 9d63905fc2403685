package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// peeker is a connection without a descriptor, of the laboratory's network, which implements what
// the kernel is asked about a socket. Its waits end with the read deadline.
type peeker interface {
	// Peek reports whether input is unread: EAGAIN for none, 0 without an error for the end of the
	// input.
	Peek() (n int, err error)
	// Await waits until input is unread or the peer has closed.
	Await() error
	// AwaitEnd waits until the peer has closed, whatever input is unread.
	AwaitEnd() error
	// Ended reports whether the peer has closed, whatever input is unread.
	Ended() bool
}

// canPeek reports whether input on a connection can be detected without reading it.
func canPeek(c net.Conn) bool {
	switch c.(type) {
	case peeker, syscall.Conn:
		return true
	}
	return false
}

// peekConn looks for unread input without taking it or waiting. It returns 0 without an error at
// the end of the input.
func peekConn(c net.Conn) (n int, err error) {
	if p, ok := c.(peeker); ok {
		return p.Peek()
	}
	sys, ok := c.(syscall.Conn)
	if !ok {
		return -1, syscall.ENOTSUP
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return -1, err
	}
	return peekByte(raw)
}

// peekByte is peekConn on a descriptor.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Control, not Read: the latter would wait for another goroutine's Read to end.
	if fault := raw.Control(func(fd uintptr) { n, err = peek(fd) }); fault != nil {
		return -1, fault
	}
	return n, err
}

// peek is recvfrom(2) with MSG_PEEK: 0 without an error is the end of the input.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// awaitInput waits until a connection has unread input or has ended, without reading it. It ends
// with the connection's read deadline.
func awaitInput(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.Await()
	}
	return awaitSocket(c, func(uintptr) bool { return true })
}

// awaitEnd waits until the peer of a connection has closed, whatever input is unread; it returns
// io.EOF or the connection's error then. It ends with the connection's read deadline.
func awaitEnd(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.AwaitEnd()
	}
	if err := awaitSocket(c, socketHungUp); err != nil {
		return err
	}
	return io.EOF
}

// socketHungUp reports whether a socket's peer has closed its side or reset the connection,
// whatever input is unread.
func socketHungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// awaitSocket waits until a socket has ended with no input unread, or has unread input and enough
// reports true.
func awaitSocket(c net.Conn, enough func(fd uintptr) bool) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	n, fault := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, fault = peek(fd)
		return !wouldBlock(fault) && (n <= 0 || enough(fd))
	})
	switch {
	case err != nil:
		return err
	case fault != nil:
		return &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("recvfrom", fault),
		}
	case n == 0:
		return io.EOF
	}
	return nil
}

// wouldBlock reports whether an error of a non-blocking call means that there is no input yet.
func wouldBlock(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
