package netem

import (
	"errors"
	"fmt"
	"net"
	"sync"

	"dykering/internal/handover"
)

// Receiver accepts the connections and the state that the preceding process passes on. A transfer takes
// the three steps of package handover: offered, accepted, go on.
type Receiver struct {
	process *Process
	key     string
	handler handover.Handler
	// Closed by Serve, once handler is set.
	serving chan struct{}
	closed  chan struct{}
	once    sync.Once
	// Serializes transfers.
	mu sync.Mutex
}

// receivers holds the receivers of a network.
type receivers struct {
	mu sync.Mutex
	// By directory and name, the newest last.
	byKey map[string][]*Receiver
}

// Exchange registers receivers, so that the processes of a network find each other for a handover.
type Exchange struct {
	all receivers
	// Step is called before each of the steps "offered", "accepted", "go on" and "started" of a transfer.
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
	if x.all.byKey == nil {
		x.all.byKey = map[string][]*Receiver{}
	}
	x.all.byKey[r.key] = append(x.all.byKey[r.key], r)
	return r, nil
}

// Serve passes arriving transfers to a handler until the receiver is closed.
func (r *Receiver) Serve(handler handover.Handler) error {
	r.handler = handler
	close(r.serving)
	<-r.closed
	return nil
}

// Close closes the receiver. Senders do not find it any more.
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
	key := dir + "\x00" + name
	all := x.all.byKey[key]
	open := all[:0]
	for _, r := range all {
		if r.isOpen() {
			open = append(open, r)
		}
	}
	x.all.byKey[key] = open
	for i := len(open) - 1; i >= 0; i-- {
		if open[i].process != p {
			return &Sender{exchange: x, from: p, to: open[i]}, nil
		}
	}
	return nil, handover.ErrNoReceiver
}

// Alive reports whether the receiver is open and no transfer has failed midway.
func (s *Sender) Alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.broken && s.to.isOpen()
}

var errChannelClosed = errors.New("handover: the channel to the receiving process is closed")

// step calls Exchange.Step, and reports whether both processes are alive and the receiver is open after
// that.
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

// Pass passes connections on with a state, as handover.Sender.Pass does. If it returns no error, the
// connections belong to the other process.
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
		conn, ok := c.(*Conn)
		if !ok {
			closeAll()
			return fmt.Errorf("handover: a connection of the type %T is not one of the emulated network", c)
		}
		copied := conn.duplicate(s.to.process)
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
