package handover

import (
	"cmp"
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

// Sender passes connections to the successor. It is safe for concurrent use.
type Sender struct {
	mu   sync.Mutex
	conn *net.UnixConn
	err  error // set once connections can no longer be passed

	closed atomic.Bool // err is set; readable without waiting for a call of Pass
}

// Dial connects to the most recently started other process that listens under a name in a directory.
// Own is the receiver of this process, which Dial skips; it may be nil. The error is ErrNoReceiver if
// there is no such process, or the error of reading the directory.
//
// A process that is killed leaves its socket file behind. Dial skips a file without a listener, and
// removes it once it is older than staleSocketAge.
func Dial(dir, name string, own *Receiver) (*Sender, error) {
	found, err := findSockets(dir, name)
	if err != nil {
		return nil, err
	}
	for _, socket := range found {
		if own != nil && socket.path == own.path {
			continue
		}
		conn, err := dialSocket(socket.path)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) && time.Since(time.Unix(0, socket.created)) > staleSocketAge {
				os.Remove(socket.path) // on failure, the next Dial tries again
			}
			continue
		}
		if !isOwnUser(conn) {
			conn.Close()
			continue
		}
		return &Sender{conn: conn}, nil
	}
	return nil, ErrNoReceiver
}

// socketFile is the socket of a process that may receive connections.
type socketFile struct {
	path    string
	created int64 // creation time, in Unix nanoseconds
}

// findSockets returns the socket files of a name, the most recently created first.
func findSockets(dir, name string) ([]socketFile, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var found []socketFile
	for _, f := range files {
		rest, matches := strings.CutPrefix(f.Name(), filePrefix(name))
		if !matches || f.Type()&fs.ModeSocket == 0 {
			continue
		}
		text, _, _ := strings.Cut(rest, ".")
		if created, err := strconv.ParseInt(text, 10, 64); err == nil {
			found = append(found, socketFile{filepath.Join(dir, f.Name()), created})
		}
	}
	slices.SortFunc(found, func(a, b socketFile) int { return cmp.Compare(b.created, a.created) })
	return found, nil
}

// dialSocket connects to a socket file within stepTimeout.
func dialSocket(path string) (*net.UnixConn, error) {
	dialer := net.Dialer{Timeout: stepTimeout}
	var conn net.Conn
	err := withSocketAddress(path, func(address *net.UnixAddr) (err error) {
		conn, err = dialer.Dial("unixpacket", address.Name)
		return err
	})
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// Pass passes up to two connections with their state of up to MaxState bytes. If it succeeds, the
// connections belong to the other process: the caller has to close its descriptors without sending
// anything or shutting the connections down. If it fails, they still belong to the caller. After an
// error other than ErrDeclined, the receiver may hold copies of the descriptors until it closes the
// socket. Calls are serialized, and each protocol step ends within half a second.
func (s *Sender) Pass(state []byte, conns ...syscall.Conn) error {
	if len(state) > MaxState || len(conns) > maxConns {
		return fmt.Errorf("handover: %d bytes of state with %d connections exceed the limits of %d bytes and %d connections",
			len(state), len(conns), MaxState, maxConns)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	reply, err := s.offer(state, conns)
	if errors.Is(err, syscall.EMSGSIZE) {
		return fmt.Errorf("handover: %w", err) // the message was too long to send, so nothing was offered
	}
	switch {
	case err != nil:
	case reply == frameDecline:
		return ErrDeclined
	case reply == frameAccept:
		err = writeFrame(s.conn, frameCommit)
	default:
		err = errMalformedFrame
	}
	if err != nil {
		// A receiver that has not received the commit closes its descriptors when the socket closes.
		s.err = fmt.Errorf("handover: %w", err)
		s.closed.Store(true)
		s.conn.Close()
		return s.err
	}
	return nil
}

// offer sends an offer and returns the type of the frame that answers it.
func (s *Sender) offer(state []byte, conns []syscall.Conn) (reply byte, err error) {
	var fds []int
	err = withDescriptors(conns, &fds, func() error {
		if err := s.conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
			return err
		}
		_, _, err := s.conn.WriteMsgUnix(append([]byte{frameOffer}, state...), syscall.UnixRights(fds...), nil)
		return err
	})
	if err != nil {
		return 0, err
	}
	return readFrame(s.conn, time.Now().Add(stepTimeout))
}

// withDescriptors appends the descriptors of connections to fds and calls f. The connections cannot be
// closed before f returns.
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

// Alive reports whether connections can still be passed. It does not block.
func (s *Sender) Alive() bool { return !s.closed.Load() }

// Close closes the socket to the receiver. Later calls of Pass fail.
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
