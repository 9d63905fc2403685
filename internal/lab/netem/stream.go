package netem

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// segmentKind is the kind of a segment.
type segmentKind int

const (
	data segmentKind = iota
	fin              // the end of the stream
	rst              // a reset of the connection
)

// segment is a part of a stream that was sent and is not read yet.
type segment struct {
	kind  segmentKind
	bytes []byte
	// When the segment arrives.
	arrival time.Time
	// The segment is lost until the partition ends.
	lost bool
}

// stream is one direction of a connection. It holds the segments that are in transit or unread.
type stream struct {
	mu sync.Mutex
	// The number of unread bytes above which the sender has to wait.
	limit int
	// The number of bytes that were sent and are not read yet.
	buffered int
	segs     []segment
	// The reader has closed its side.
	closed bool
	// Closed, and replaced by a new channel, at each change.
	changed chan struct{}
}

func newStream(limit int) *stream { return &stream{limit: limit, changed: make(chan struct{})} }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add sends a segment. Segments arrive in the order in which they were sent, and all segments after a
// reset are dropped.
func (s *stream) add(g segment, delay time.Duration, bandwidth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := time.Now()
	g.arrival = now.Add(delay)
	if k := len(s.segs); k > 0 {
		last := s.segs[k-1]
		if last.kind == rst {
			return
		}
		if last.arrival.After(g.arrival) {
			g.arrival = last.arrival
		}
		g.lost = g.lost || last.lost // else the segment would overtake the lost one
	}
	if bandwidth > 0 {
		g.arrival = g.arrival.Add(time.Duration(len(g.bytes)) * time.Second / time.Duration(bandwidth))
	}
	s.buffered += len(g.bytes)
	s.segs = append(s.segs, g)
	s.notify()
}

// release schedules the arrival of lost segments, unless lost reports that packets still do not pass.
func (s *stream) release(delay time.Duration, lost func() bool) {
	if lost() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(delay)
	for i := range s.segs {
		if s.segs[i].lost {
			s.segs[i].lost, s.segs[i].arrival = false, at
		}
	}
	s.notify()
}

// close drops all segments, since the reader has closed its side.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.segs, s.buffered = true, nil, 0
	s.notify()
}

// unread reports whether data has arrived that is not read yet.
func (s *stream) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered > 0 && len(s.segs) > 0 && s.segs[0].kind == data && s.hasArrived(s.segs[0])
}

func (s *stream) hasArrived(g segment) bool { return !g.lost && !g.arrival.After(time.Now()) }

// space returns how many bytes may be sent now, and a channel that is closed with the next change.
func (s *stream) space() (n int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 1, s.changed // the sender does not wait, and its bytes are dropped
	}
	return s.limit - s.buffered, s.changed
}

// read copies the bytes that have arrived into b, and removes them if consume is set. If nothing has
// arrived, it returns EAGAIN and the time of the next arrival. That time is zero if no segment is on its
// way.
func (s *stream) read(b []byte, consume bool) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A reset takes effect when it arrives, even with unread data before it.
	if k := len(s.segs); k > 0 && s.segs[k-1].kind == rst && s.hasArrived(s.segs[k-1]) {
		return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
	}
	for len(s.segs) > 0 && n < len(b) {
		g := &s.segs[0]
		if !s.hasArrived(*g) {
			break
		}
		if g.kind == fin {
			if n == 0 {
				return 0, time.Time{}, nil, io.EOF
			}
			break
		}
		if g.kind == rst {
			break
		}
		k := copy(b[n:], g.bytes)
		if n += k; !consume {
			return n, time.Time{}, nil, nil
		}
		if s.buffered -= k; k < len(g.bytes) {
			g.bytes = g.bytes[k:]
		} else {
			s.segs = s.segs[1:]
		}
	}
	if n > 0 {
		s.notify() // the sender may wait for space
		return n, time.Time{}, nil, nil
	}
	if len(s.segs) > 0 && !s.segs[0].lost {
		next = s.segs[0].arrival
	}
	if k := len(s.segs); k > 0 && s.segs[k-1].kind == rst && !s.segs[k-1].lost &&
		(next.IsZero() || s.segs[k-1].arrival.Before(next)) {
		next = s.segs[k-1].arrival
	}
	return 0, next, s.changed, syscall.EAGAIN
}

// awaitEnd returns io.EOF if the end of the stream has arrived and ECONNRESET if a reset has, regardless
// of unread bytes. Else it returns EAGAIN and the time at which the end arrives, or zero if that is not
// known.
func (s *stream) awaitEnd() (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := len(s.segs); k > 0 && s.segs[k-1].kind != data {
		last := s.segs[k-1]
		switch {
		case !s.hasArrived(last) && !last.lost:
			next = last.arrival
		case !s.hasArrived(last):
		case last.kind == rst:
			return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
		default:
			return 0, time.Time{}, nil, io.EOF
		}
	}
	return 0, next, s.changed, syscall.EAGAIN
}
