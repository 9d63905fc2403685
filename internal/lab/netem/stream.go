package netem

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// kind is what a segment is.
type kind int

// segment is what is under way.
type segment struct {
	what kind
	b    []byte
	at   time.Time // when it comes
	lost bool      // until its link is whole
}

// stream is one direction of a connection: what is under way and what has come and is not read.
type stream struct {
	mu      sync.Mutex
	limit   int
	held    int // bytes
	segs    []segment
	over    bool          // whoever reads has gone
	changed chan struct{} // closed when anything changes
}

func newStream(limit int) *stream { return &stream{limit: limit, changed: make(chan struct{})} }

func (s *stream) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add puts a segment on its way. A reset overtakes nothing that has come, and what follows it is nowhere.
func (s *stream) add(g segment, delay time.Duration, bandwidth int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	now := time.Now()
	g.at = now.Add(delay)
	if k := len(s.segs); k > 0 {
		last := s.segs[k-1]
		if last.what == rst {
			return
		}
		if last.at.After(g.at) {
			g.at = last.at
		}
		g.lost = g.lost || last.lost // in order
	}
	if bandwidth > 0 {
		g.at = g.at.Add(time.Duration(len(g.b)) * time.Second / time.Duration(bandwidth))
	}
	s.held += len(g.b)
	s.segs = append(s.segs, g)
	s.change()
}

// release has what was lost come after all, where its link is whole.
func (s *stream) release(delay time.Duration, lost func() bool) {
	if lost() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(delay)
	for i := range s.segs {
		if s.segs[i].lost {
			s.segs[i].lost, s.segs[i].at = false, at
		}
	}
	s.change()
}

// close drops all: nobody reads any more.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over, s.segs, s.held = true, nil, 0
	s.change()
}

func (s *stream) unread() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held > 0 && len(s.segs) > 0 && s.segs[0].what == data && s.come(s.segs[0])
}

func (s *stream) come(g segment) bool { return !g.lost && !g.at.After(time.Now()) }

// room is how much more may be sent.
func (s *stream) room() (n int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return 1, s.changed // it goes nowhere
	}
	return s.limit - s.held, s.changed
}

// look reads what has come into b, or only looks where take is false. With nothing there it tells when to look again;
// next is zero where only a change can bring anything.
func (s *stream) look(b []byte, take bool) (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A reset is seen at once when it comes, whatever has not been read before it.
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && s.come(s.segs[k-1]) {
		return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
	}
	for len(s.segs) > 0 && n < len(b) {
		g := &s.segs[0]
		if !s.come(*g) {
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
		if n += k; !take {
			return n, time.Time{}, nil, nil
		}
		if s.held -= k; k < len(g.b) {
			g.b = g.b[k:]
		} else {
			s.segs = s.segs[1:]
		}
	}
	if n > 0 {
		s.change() // there is room
		return n, time.Time{}, nil, nil
	}
	if len(s.segs) > 0 && !s.segs[0].lost {
		next = s.segs[0].at
	}
	if k := len(s.segs); k > 0 && s.segs[k-1].what == rst && !s.segs[k-1].lost && (next.IsZero() || s.segs[k-1].at.Before(next)) {
		next = s.segs[k-1].at
	}
	return 0, next, s.changed, syscall.EAGAIN
}

// ending tells whether the stream's end has come, whatever stands unread before it, and else when it will.
func (s *stream) ending() (n int, next time.Time, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := len(s.segs); k > 0 && s.segs[k-1].what != data {
		last := s.segs[k-1]
		switch {
		case !s.come(last) && !last.lost:
			next = last.at
		case !s.come(last):
		case last.what == rst:
			return 0, time.Time{}, nil, os.NewSyscallError("read", syscall.ECONNRESET)
		default:
			return 0, time.Time{}, nil, io.EOF
		}
	}
	return 0, next, s.changed, syscall.EAGAIN
}
