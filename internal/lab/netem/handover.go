package netem

import (
	"errors"
	"net"
	"sync"

	"dykering/internal/handover"
)

// Receiver takes what the process before passes on, by the three steps of internal/handover: offered, accepted, go on.
type Receiver struct {
	process *Process
	key     string
	take    handover.Handler
	serves  chan struct{} // closed once it takes
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex // one passage at a time
}

// receivers are those of a network, by directory and name, the youngest last.
type receivers struct {
	mu sync.Mutex
	of map[string][]*Receiver
}

// Exchange is where the processes of a network find each other.
type Exchange struct {
	all receivers
	// Step is told of each step of a passage before it is taken: "offered", "accepted", "go on", "started".
	Step func(step string, from, to *Process)
}

// Receive makes a process the youngest that takes connections under a name.
func (x *Exchange) Receive(p *Process, dir, name string) (*Receiver, error) {
	r := &Receiver{process: p, key: dir + "\x00" + name, serves: make(chan struct{}), closed: make(chan struct{})}
	if !p.own(r) {
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

// Serve hands what comes to take, until the receiver is closed.
func (r *Receiver) Serve(take handover.Handler) error {
	r.take = take
	close(r.serves)
	<-r.closed
	return nil
}

// Close ends it.
func (r *Receiver) Close() error {
	r.process.disown(r)
	r.die()
	return nil
}

func (r *Receiver) die() { r.once.Do(func() { close(r.closed) }) }

func (r *Receiver) open() bool {
	select {
	case <-r.closed:
		return false
	default:
		return true
	}
}

// Sender passes connections to one process.
type Sender struct {
	x    *Exchange
	from *Process
	to   *Receiver
	mu   sync.Mutex
	over bool
}

// Find finds the youngest other process that takes connections under a name.
func (x *Exchange) Find(p *Process, dir, name string) (*Sender, error) {
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	all := x.all.of[dir+"\x00"+name]
	kept := all[:0]
	for _, r := range all {
		if r.open() {
			kept = append(kept, r)
		}
	}
	x.all.of[dir+"\x00"+name] = kept
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].process != p {
			return &Sender{x: x, from: p, to: kept[i]}, nil
		}
	}
	return nil, handover.ErrNoReceiver
}

// Alive tells whether anything can still be passed.
func (s *Sender) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.over && s.to.open()
}

var errBroken = errors.New("handover: the way has ended")

// step tells of a step, and whether both processes still live.
func (s *Sender) step(name string) bool {
	if s.x.Step != nil {
		s.x.Step(name, s.from, s.to.process)
	}
	for _, p := range []*Process{s.from, s.to.process} {
		select {
		case <-p.dead:
			return false
		default:
		}
	}
	return s.to.open()
}

// Pass gives connections away, as handover.Sender's does. Without an error they are the other process's.
func (s *Sender) Pass(state []byte, conns ...net.Conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || len(state) > handover.MaxState {
		return errBroken
	}
	<-s.to.serves
	s.to.mu.Lock()
	defer s.to.mu.Unlock()
	if !s.step("offered") {
		s.over = true
		return errBroken
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
		given := own.give(s.to.process)
		if given == nil {
			closeAll()
			return errBroken
		}
		copies = append(copies, given)
	}
	start, drop, ok := s.to.take(state, copies)
	if !ok {
		closeAll()
		return handover.ErrDeclined
	}
	if !s.step("accepted") || !s.step("go on") {
		s.over = true
		drop()
		closeAll()
		return errBroken
	}
	start()
	s.step("started")
	return nil
}
