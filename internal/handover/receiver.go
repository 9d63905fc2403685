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

// Receiver receives connections from predecessors of this process.
type Receiver struct {
	listener *net.UnixListener
	path     string

	mu     sync.Mutex
	open   map[*net.UnixConn]bool // sockets of the connected senders
	closed bool
}

// Listen creates the socket to which a predecessor passes its connections. Both processes have to use
// the same directory and name.
func Listen(dir, name string) (*Receiver, error) {
	// The time in the file name distinguishes this process from older ones that may still listen.
	path := filepath.Join(dir, fmt.Sprintf("%s%d.%d", filePrefix(name), time.Now().UnixNano(), os.Getpid()))
	var l *net.UnixListener
	err := withSocketAddress(path, func(address *net.UnixAddr) (err error) {
		l, err = net.ListenUnix("unixpacket", address)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // Receiver.Close removes the file by its full path
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		os.Remove(path)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Receiver{listener: l, path: path, open: map[*net.UnixConn]bool{}}, nil
}

// Handler reserves the resources for offered connections. If it returns false, the offer is declined
// and the received descriptors are closed. Otherwise exactly one of the two functions is called: start
// once the connections belong to this process, or drop if the sender keeps them. After drop, the
// received descriptors are closed. The state is valid until Handler returns.
type Handler func(state []byte, conns []net.Conn) (start, drop func(), ok bool)

// Serve calls the handler for each offer until the receiver is closed, and then returns nil. Each
// sender has its own goroutine, which calls the handler.
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
			buffer := make([]byte, 1+MaxState)
			for {
				if err := r.receiveOne(c, buffer, handler); err != nil {
					return
				}
			}
		}()
	}
}

// track registers the socket of a sender. It returns false if there are too many senders, if the
// sender runs as another user, or after Close.
func (r *Receiver) track(c *net.UnixConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.open) >= maxPeers || !isOwnUser(c) {
		return false
	}
	r.open[c] = true
	return true
}

// untrack closes the socket of a sender and removes it.
func (r *Receiver) untrack(c *net.UnixConn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// Close stops the receiver and removes its socket file.
func (r *Receiver) Close() error {
	r.mu.Lock()
	r.closed = true
	for c := range r.open {
		c.Close()
	}
	r.mu.Unlock()
	return errors.Join(r.listener.Close(), os.Remove(r.path))
}

// receiveOne receives one offer and completes the protocol for it. After an error the caller has to
// close the socket of the sender.
func (r *Receiver) receiveOne(c *net.UnixConn, buffer []byte, handler Handler) error {
	oob := make([]byte, syscall.CmsgSpace(4*maxConns))
	// The read ends when the sender exits, or with Close.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
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
		return errors.Join(errMalformedOffer, err)
	}
	start, drop, ok := handler(buffer[1:n], conns)
	if !ok {
		closeAll()
		return writeFrame(c, frameDecline)
	}
	if err = writeFrame(c, frameAccept); err == nil {
		// Wait without a deadline for the commit or for the end of the sender. If a deadline expired while the commit
		// is being delivered, neither process would own the connections.
		var frame byte
		if frame, err = readFrame(c, time.Time{}); err == nil && frame != frameCommit {
			err = errNotCommitted
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

// parseConnections converts the descriptors in a control message to connections. The caller has to
// close the returned connections even if there is an error.
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
			c, connErr := net.FileConn(file) // duplicates the descriptor, close-on-exec
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
