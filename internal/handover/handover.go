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
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// MaxState bounds, in bytes, what goes along with a connection. A message has to fit into a socket's buffer, by
	// default 208 KiB on Linux, together with what the kernel adds.
	MaxState = 160 << 10
	maxConns = 2
	// stepTimeout is for each step; a process that has not the time for one is as good as gone.
	stepTimeout = 500 * time.Millisecond
	// maxPeers bounds the processes that pass something on at a time. There is one, and one more that has been
	// replaced while it did.
	maxPeers = 2
	// staleAfter is how old a file must be that nobody listens behind before it is removed: a younger one may be
	// about to be listened to.
	staleSocketAge = 10 * time.Second
	maxSocketPath    = 107 // bytes of a Unix socket's path, sockaddr_un less its end (unix(7))
)

// The words of the three steps; an offer is this and the state.
const (
	frameOffer  = 'o'
	frameAccept = 'y'
	frameDecline = 'n'
	frameCommit     = 'g'
)

var (
	// ErrDeclined is the other side's word that it has no room; the connection is still the caller's.
	ErrDeclined = errors.New("handover: declined")
	// ErrNobody says that no other process listens.
	ErrNoReceiver = errors.New("handover: nobody to pass anything to")
)

// prefix is the beginning of the file names of all processes that serve under a name at an address.
func filePrefix(name string) string {
	sum := sha256.Sum256([]byte(name))
	return "handover-" + hex.EncodeToString(sum[:6]) + "-"
}

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

// within calls f with the address of a socket's file. Where the path is longer than an address may be, it is that of
// the directory's descriptor.
func withSocketAddress(path string, f func(*net.UnixAddr) error) error {
	if len(path) > maxSocketPath {
		dir, err := os.Open(filepath.Dir(path))
		if err != nil {
			return err
		}
		defer dir.Close()
		path = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	}
	return f(&net.UnixAddr{Name: path, Net: "unixpacket"})
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

// ownUser tells whether a peer runs as the user of this process.
func isOwnUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var cred *syscall.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	return controlErr == nil && err == nil && int(cred.Uid) == os.Geteuid()
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

func writeFrame(c *net.UnixConn, frame byte) error {
	c.SetWriteDeadline(time.Now().Add(stepTimeout))
	_, err := c.Write([]byte{frame})
	return err
}

func readFrame(c *net.UnixConn, deadline time.Time) (byte, error) {
	var b [2]byte
	c.SetReadDeadline(deadline)
	n, err := c.Read(b[:])
	if err == nil && n != 1 {
		err = errors.New("handover: malformed word")
	}
	return b[0], err
}

// Sender passes connections to the process that serves in this one's place. Its methods may be called by many.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn
	err  error       // why nothing can be passed any more
	closed atomic.Bool // it is set: told without waiting for a step that is under way
}

// Dial finds the youngest other process that listens under a name. A file that nobody listens behind is one that a
// process left which was killed; it is passed over and, once old, removed.
func Dial(dir, name string, own *Receiver) (*Sender, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	type candidate struct {
		path string
		born int64
	}
	var found []candidate
	for _, f := range files {
		rest, ours := strings.CutPrefix(f.Name(), filePrefix(name))
		if !ours || f.Type()&fs.ModeSocket == 0 {
			continue
		}
		born, _, _ := strings.Cut(rest, ".")
		if at, err := strconv.ParseInt(born, 10, 64); err == nil {
			if path := filepath.Join(dir, f.Name()); own == nil || path != own.path {
				found = append(found, candidate{path, at})
			}
		}
	}
	slices.SortFunc(found, func(a, b candidate) int { return int(min(1, max(-1, b.born-a.born))) })
	for _, f := range found {
		dialer := net.Dialer{Timeout: stepTimeout}
		var c net.Conn
		err := withSocketAddress(f.path, func(address *net.UnixAddr) (err error) {
			c, err = dialer.Dial("unixpacket", address.Name)
			return err
		})
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) && time.Since(time.Unix(0, f.born)) > staleSocketAge {
				os.Remove(f.path) // if it cannot be removed it is passed over the next time as well
			}
			continue
		}
		u := c.(*net.UnixConn)
		if !isOwnUser(u) {
			u.Close()
			continue
		}
		return &Sender{conn: u}, nil
	}
	return nil, ErrNoReceiver
}

// Pass gives connections away, with what they are in the middle of. Without an error they are the other process's
// from now on, and have to be closed here, without a word to their peers. With ErrDeclined or another error they
// are still the caller's.
func (s *Sender) Pass(state []byte, conns ...syscall.Conn) error {
	if len(state) > MaxState || len(conns) > maxConns {
		return fmt.Errorf("handover: %d bytes with %d connections are too much to pass", len(state), len(conns))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	var fds []int
	err := withDescriptors(conns, &fds, func() error {
		s.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
		_, _, err := s.conn.WriteMsgUnix(append([]byte{frameOffer}, state...), syscall.UnixRights(fds...), nil)
		return err
	})
	frame := byte(0)
	if err == nil {
		frame, err = readFrame(s.conn, time.Now().Add(stepTimeout))
	}
	switch {
	case err == nil && frame == frameDecline:
		return ErrDeclined
	case err == nil && frame != frameAccept:
		err = errors.New("handover: malformed word")
	case err == nil:
		err = writeFrame(s.conn, frameCommit)
	}
	if errors.Is(err, syscall.EMSGSIZE) {
		return fmt.Errorf("handover: %w", err) // nothing has been offered
	}
	if err != nil {
		// Who has not heard the last word lets go when the way ends.
		s.err = fmt.Errorf("handover: %w", err)
		s.closed.Store(true)
		s.conn.Close()
		return s.err
	}
	return nil
}

// withDescriptors calls f while the descriptors of connections cannot be closed.
func withDescriptors(conns []syscall.Conn, fds *[]int, f func() error) error {
	if len(conns) == 0 {
		return f()
	}
	raw, err := conns[0].SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) {
		*fds = append(*fds, int(fd))
		err = withDescriptors(conns[1:], fds, f)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// Alive tells whether anything can still be passed. It never waits.
func (s *Sender) Alive() bool { return !s.closed.Load() }

// Close ends the way.
func (s *Sender) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil
	}
	s.err = net.ErrClosed
	s.closed.Store(true)
	return s.conn.Close()
}
