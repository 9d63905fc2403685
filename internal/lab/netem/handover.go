package netem

import (
	"errors"
	"net"
	"sync"

	"dykering/internal/handover"
)

// Receiver accepts what the preceding process passes on, by the three steps of package handover:
// offered, accepted, go on.
type Receiver struct {
	process *Process
	key     string
	handler handover.Handler
	// Closed once it accepts.
	serving chan struct{}
	closed  chan struct{}
	once    sync.Once
	// Serializes transfers.
	mu sync.Mutex
}

// receivers are the receivers of a network by directory and name, the newest last.
type receivers struct {
	mu sync.Mutex
	of map[string][]*Receiver
}

// Exchange is where the processes of a network find each other for a handover.
type Exchange struct {
	all receivers
	// Step is called before each step of a transfer: "offered", "accepted", "go on", "started".
	Step func(step string, from, to *Process)
}

// Receive makes a process the newest one that accepts connections under a name.
func (x *Exchange) Receive(p *Process, dir, name string) (*Receiver, error) {
	r := &Receiver{process: p, key: dir + "\x00" + name, serving: make(chan struct{}), closed: make(chan struct{})}
	if !p.register(r) {
		return nil, net.ErrClosed
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	if x.all.of == nil {
		x.all.of = map[string][]*Receiver{}
	}
	x.all.of[r.key] = append(x.all.of[r.key], r)
	return r, nil
}

// Serve hands what arrives to a handler, until the receiver is closed.
func (r *Receiver) Serve(handler handover.Handler) error {
	r.handler = handler
	close(r.serving)
	<-r.closed
	return nil
}

// Close ends it.
func (r *Receiver) Close() error {
	r.process.unregister(r)
	r.kill()
	return nil
}

func (r *Receiver) kill() { r.once.Do(func() { close(r.closed) }) }

func (r *Receiver) isOpen() bool {
	select {
	case <-r.closed:
		return false
	default:
		return true
	}
}

// Sender passes connections to one process.
type Sender struct {
	exchange *Exchange
	from     *Process
	to       *Receiver
	mu       sync.Mutex
	broken   bool
}

// Find returns a sender to the newest other process that accepts connections under a name.
func (x *Exchange) Find(p *Process, dir, name string) (*Sender, error) {
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	all := x.all.of[dir+"\x00"+name]
	kept := all[:0]
	for _, r := range all {
		if r.isOpen() {
			kept = append(kept, r)
		}
	}
	x.all.of[dir+"\x00"+name] = kept
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].process != p {
			return &Sender{exchange: x, from: p, to: kept[i]}, nil
		}
	}
	return nil, handover.ErrNoReceiver
}

// Alive reports whether anything can still be passed.
func (s *Sender) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.broken && s.to.isOpen()
}

var errChannelClosed = errors.New("handover: the way has ended")

// step announces a step and reports whether both processes are alive after that.
func (s *Sender) step(name string) bool {
	if s.exchange.Step != nil {
		s.exchange.Step(name, s.from, s.to.process)
	}
	for _, p := range []*Process{s.from, s.to.process} {
		select {
		case <-p.dead:
			return false
		default:
		}
	}
	return s.to.isOpen()
}

// Pass passes connections on, as that of handover.Sender does. Without an error they belong to the
// other process.
func (s *Sender) Pass(state []byte, conns ...net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken || len(state) > handover.MaxState {
		return errChannelClosed
	}
	<-s.to.serving
	s.to.mu.Lock()
	defer s.to.mu.Unlock()
	if !s.step("offered") {
		s.broken = true
		return errChannelClosed
	}
	var copies []net.Conn
	closeAll := func() {
		for _, c := range copies {
			c.Close()
		}
	}
	for _, c := range conns {
		own, ok := c.(*Conn)
		if !ok {
			closeAll()
			return errors.New("handover: not a connection of this network")
		}
		copied := own.duplicate(s.to.process)
		if copied == nil {
			closeAll()
			return errChannelClosed
		}
		copies = append(copies, copied)
	}
	start, drop, ok := s.to.handler(state, copies)
	if !ok {
		closeAll()
		return handover.ErrDeclined
	}
	if !s.step("accepted") || !s.step("go on") {
		s.broken = true
		drop()
		closeAll()
		return errChannelClosed
	}
	start()
	s.step("started")
	return nil
}
