package netem

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// kind is the kind of a segment.
type kind int

// segment is a piece of a stream in transit.
type segment struct {
	what kind
	b    []byte
	// When it arrives.
	arrival time.Time
	// Lost until the link is healed.
	lost bool
}

// stream is one direction of a connection: segments in transit, and those that have arrived and are
// not read.
type stream struct {
	mu    sync.Mutex
	limit int
	// Bytes sent and not read.
	buffered int
	segs     []segment
	// The reader has closed its side.
	closed bool
	// Closed at each change.
	changed chan struct{}
}

func newStream(limit int) *stream { return &stream{limit: limit, changed: make(chan struct{})} }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add sends a segment. A reset does not overtake what has arrived, and what is sent after it is
// lost.
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
		if last.what == rst {
			return
		}
		if last.arrival.After(g.arrival) {
			g.arrival = last.arrival
		}
		g.lost = g.lost || last.lost // in order
	}
	if bandwidth > 0 {
		g.arrival = g.arrival.Add(time.Duration(len(g.b)) * time.Second / time.Duration(bandwidth))
	}
	s.buffered += len(g.b)
	s.segs = append(s.segs, g)
	s.notify()
}

// release delivers what was lost, where the link is healed.
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

// close drops everything: nobody reads any more.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.segs, s.buffered = true, nil, 0
	s.notify()
}

func (s *stream) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffered > 0 && len(s.segs) > 0 && s.segs[0].what == data && s.hasArrived(s.segs[0])
}

func (s *stream) hasArrived(g segment) bool { return !g.lost && !g.arrival.After(time.Now()) }

// space is how many bytes may still be sent.
func (s *stream) space() (n int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 1, s.changed // it is dropped
	}
	return s.limit - s.buffered, s.changed
}

// read copies what has arrived into b, and removes it if consume is set. Where nothing has arrived
// it returns EAGAIN and the time to look again, zero where only a change can bring anything.
func (s *stream) read(b []byte, consume bool) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A reset is seen at once when it comes, whatever has not been read before it.
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && s.hasArrived(s.segs[k-1]) {
		return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
	}
	for len(s.segs) > 0 && n < len(b) {
		g := &s.segs[0]
		if !s.hasArrived(*g) {
			break
		}
		if g.what == finished {
			if n == 0 {
				return 0, time.Time{}, nil, io.EOF
			}
			break
		}
		if g.what == rst {
			break
		}
		k := copy(b[n:], g.b)
		if n += k; !consume {
			return n, time.Time{}, nil, nil
		}
		if s.buffered -= k; k < len(g.b) {
			g.b = g.b[k:]
		} else {
			s.segs = s.segs[1:]
		}
	}
	if n > 0 {
		s.notify() // there is room
		return n, time.Time{}, nil, nil
	}
	if len(s.segs) > 0 && !s.segs[0].lost {
		next = s.segs[0].arrival
	}
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && !s.segs[k-1].lost && (next.IsZero() || s.segs[k-1].arrival.Before(next)) {
		next = s.segs[k-1].arrival
	}
	return 0, next, s.changed, syscall.EAGAIN
}

// awaitEnd reports whether the end of the stream has arrived, regardless of unread bytes before it,
// and otherwise when it will.
func (s *stream) awaitEnd() (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := len(s.segs); k > 0 && s.segs[k-1].what != data {
		last := s.segs[k-1]
		switch {
		case !s.hasArrived(last) && !last.lost:
			next = last.arrival
		case !s.hasArrived(last):
		case last.what == rst:
			return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
		default:
			return 0, time.Time{}, nil, io.EOF
		}
	}
	return 0, next, s.changed, syscall.EAGAIN
}
