// Package handover passes open connections from a process that ends to the one that serves in its place, both on
// one machine and of one user. What a connection is in the middle of goes along as text that this package does
// not read.
//
// The way is a Unix socket of whole messages (SOCK_SEQPACKET, unix(7)) whose file lies in a directory that both
// processes have; descriptors travel as SCM_RIGHTS. One connection is passed in three steps: it is offered, the
// other side makes room and says yes, and it is told to go on. Until that last word the process that offers has
// the connection, and after it the other one: neither a message that is lost nor a process that dies in between
// leaves it with two owners.
package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Receiver takes connections of the process before.
type Receiver struct {
	listener *net.UnixListener
	path     string

	mu     sync.Mutex
	open   map[*net.UnixConn]bool
	closed bool
}

// Listen makes the socket that a process before this one passes its connections to. Both have to give the same
// directory and name.
func Listen(dir, name string) (*Receiver, error) {
	// The age tells the youngest process from older ones that may still listen.
	path := filepath.Join(dir, fmt.Sprintf("%s%d.%d", filePrefix(name), time.Now().UnixNano(), os.Getpid()))
	var l *net.UnixListener
	err := withSocketAddress(path, func(address *net.UnixAddr) (err error) {
		l, err = net.ListenUnix("unixpacket", address)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // Close does it, by the whole path
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		os.Remove(path)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Receiver{listener: l, path: path, open: map[*net.UnixConn]bool{}}, nil
}

// Take makes room for a connection. It returns what goes on with it, or false when there is no room. Its connections
// are the taker's once start is called; where that does not come, drop is called and they are closed. The state is
// good until Take returns.
type Handler func(state []byte, conns []net.Conn) (start, drop func(), ok bool)

// Serve hands what comes to take, until the receiver is closed. Take is called by one goroutine for each process
// that passes something on.
func (r *Receiver) Serve(handler Handler) error {
	for {
		c, err := r.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		if !r.track(c) {
			c.Close()
			continue
		}
		go func() {
			defer r.untrack(c)
			for buffer := make([]byte, 1+MaxState); r.receiveOne(c, buffer, handler) == nil; {
			}
		}()
	}
}

func (r *Receiver) track(c *net.UnixConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.open) >= maxPeers || !isOwnUser(c) {
		return false
	}
	r.open[c] = true
	return true
}

func (r *Receiver) untrack(c *net.UnixConn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// Close ends the receiver and takes its file away.
func (r *Receiver) Close() error {
	r.mu.Lock()
	r.closed = true
	for c := range r.open {
		c.Close()
	}
	r.mu.Unlock()
	return errors.Join(r.listener.Close(), os.Remove(r.path))
}

// next takes one connection in. An error ends the way.
func (r *Receiver) receiveOne(c *net.UnixConn, buffer []byte, handler Handler) error {
	oob := make([]byte, syscall.CmsgSpace(4*maxConns))
	c.SetReadDeadline(time.Time{}) // ends with the peer, or with Close
	n, oobn, flags, _, err := c.ReadMsgUnix(buffer, oob)
	if err != nil {
		return err
	}
	conns, err := parseConnections(oob[:oobn])
	closeAll := func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
	if err != nil || n == 0 || buffer[0] != frameOffer || flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		closeAll()
		return errors.Join(errors.New("handover: malformed offer"), err)
	}
	start, drop, ok := handler(buffer[1:n], conns)
	if !ok {
		closeAll()
		return writeFrame(c, frameDecline)
	}
	if err = writeFrame(c, frameAccept); err == nil {
		// The last word or the peer's end is waited for without a deadline: were it to pass just as the word comes,
		// neither side would have the connection.
		var frame byte
		if frame, err = readFrame(c, time.Time{}); err == nil && frame != frameCommit {
			err = errors.New("handover: not told to go on")
		}
	}
	if err != nil {
		drop()
		closeAll()
		return err
	}
	start()
	return nil
}

// connections makes connections of the descriptors that came. They are closed on exec.
func parseConnections(oob []byte) (conns []net.Conn, err error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return conns, err
		}
		for _, fd := range fds {
			file := os.NewFile(uintptr(fd), "passed connection")
			c, connErr := net.FileConn(file) // a copy
			file.Close()
			if connErr != nil {
				err = connErr
				continue
			}
			conns = append(conns, c)
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}
