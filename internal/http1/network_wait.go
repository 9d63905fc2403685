package http1

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// peeker is implemented by the simulated connections, which have no descriptor. It has a method for
// each question that is otherwise answered by a system call on the socket. Its waits end with the
// connection's read deadline.
type peeker interface {
	// Peek returns a positive n if input is unread, 0 without an error at the end of the input, and
	// EAGAIN if there is no input yet.
	Peek() (n int, err error)
	// Await waits until input is unread or the peer has closed.
	Await() error
	// AwaitEnd waits until the peer has closed, even if input is unread.
	AwaitEnd() error
	// Ended reports whether the peer has closed, even if input is unread.
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

// peekConn returns a positive n if a connection has unread input. It neither consumes the input nor
// blocks. It returns 0 without an error at the end of the input, and EAGAIN if there is no input yet.
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

// peekByte implements peekConn for a connection with a descriptor.
func peekByte(raw syscall.RawConn) (n int, err error) {
	n = -1
	// RawConn.Read is not used, because it would wait for another goroutine's Read to end.
	if controlErr := raw.Control(func(fd uintptr) { n, err = peek(fd) }); controlErr != nil {
		return -1, controlErr
	}
	return n, err
}

// peek calls recvfrom(2) with MSG_PEEK for one byte. It returns 0 without an error at the end of the
// input.
func peek(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// awaitInput waits until a connection has unread input or has ended. It consumes no input. The wait
// ends with the connection's read deadline.
func awaitInput(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.Await()
	}
	return awaitSocket(c, func(uintptr) bool { return true })
}

// awaitEnd waits until the peer of a connection has closed, even if input is unread. It returns
// io.EOF or the connection's error. The wait ends with the connection's read deadline.
func awaitEnd(c net.Conn) error {
	if p, ok := c.(peeker); ok {
		return p.AwaitEnd()
	}
	if err := awaitSocket(c, socketHungUp); err != nil {
		return err
	}
	return io.EOF
}

// socketHungUp reports whether a socket's peer has closed its side or reset the connection, even if
// input is unread.
func socketHungUp(fd uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// awaitSocket waits until a socket has ended with no input unread, or has unread input and enough
// returns true.
func awaitSocket(c net.Conn, enough func(fd uintptr) bool) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	n, peekErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, peekErr = peek(fd)
		return !wouldBlock(peekErr) && (n <= 0 || enough(fd))
	})
	switch {
	case err != nil:
		return err
	case peekErr != nil:
		return &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("recvfrom", peekErr),
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
