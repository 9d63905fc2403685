package handover

import (
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

// Sender passes connections to the process that serves in this one's place. Its methods may be called by many.
type Sender struct {
	mu     sync.Mutex
	conn   *net.UnixConn
	err    error       // why nothing can be passed any more
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
