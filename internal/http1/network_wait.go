package http1

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// peeker is a connection that is not the kernel's and tells itself what the kernel is asked of a socket: whether
// something can be read, and, until the read deadline, when.
type peeker interface {
	Peek() (n int, err error) // EAGAIN for nothing, 0 without an error for the end
	Await() error
	// AwaitEnd waits likewise for the peer to have gone, whatever it sent before that stands unread; Ended tells whether it
	// has.
	AwaitEnd() error
	Ended() bool
}

// canPeek tells whether a connection can be looked at without being read.
func canPeek(c net.Conn) bool {
	switch c.(type) {
	case peeker, syscall.Conn:
		return true
	}
	return false
}

// peekConn looks for a byte to read, without taking it or waiting.
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

// peekByte looks for a byte to read, without taking it or waiting.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// Not raw.Read: that would wait for another goroutine's Read to end.
	if fault := raw.Control(func(fd uintptr) { n, err = peek(fd) }); fault != nil {
		return -1, fault
	}
	return n, err
}

// peek looks for a byte to read; 0 without an error is the end.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// awaitInput waits until a connection has something to read or has ended, without reading it. It ends with the
// connection's read deadline.
func awaitInput(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.Await()
	}
	return awaitSocket(c, func(uintptr) bool { return true })
}

// awaitEnd waits until the peer of a connection has gone, whatever it sent before that stands unread. It ends with the
// connection's read deadline.
func awaitEnd(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.AwaitEnd()
	}
	if err := awaitSocket(c, socketHungUp); err != nil {
		return err
	}
	return io.EOF
}

// socketHungUp tells whether a socket's peer has closed its side, or reset it, whatever stands unread.
func socketHungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// awaitSocket waits until a socket has ended with nothing unread, or something stands unread and that is enough.
func awaitSocket(c net.Conn, enough func(fd uintptr) bool) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	n, fault := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, fault = peek(fd)
		return fault != syscall.EAGAIN && fault != syscall.EINTR && (n <= 0 || enough(fd))
	})
	switch {
	case err != nil:
		return err
	case fault != nil:
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("recvfrom", fault)}
	case n == 0:
		return io.EOF
	}
	return nil
}
