package netem

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Dial makes a connection, as net.Dialer's DialContext does. Where nobody listens it is refused, where the socket is
// deaf, its queue full or the link cut it is tried again until the context ends.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		at, _ := net.ResolveTCPAddr("tcp4", address)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: at, Err: err}
	}
	for again := synAgain; ; again *= 2 {
		way, err := p.knock(address)
		if err == nil {
			if !wait(ctx, p.dead, way) {
				break
			}
			l, err := p.connect(address)
			if err != nil {
				return fail(err)
			}
			if l != nil {
				if c := newConn(l.ends[0], p); c != nil {
					return c, nil
				}
				l.ends[0].reset()
				break
			}
		}
		if !wait(ctx, p.dead, again) {
			break
		}
	}
	if err := context.Cause(ctx); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = os.ErrDeadlineExceeded
		}
		return fail(err)
	}
	return fail(net.ErrClosed)
}

// wait waits for a time; false when it ended before.
func wait(ctx context.Context, dead <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-dead:
	}
	return false
}

var errLost = errors.New("lost")

// knock is a SYN's way there and back: how long it takes, or that it is lost.
func (p *Process) knock(address string) (time.Duration, error) {
	n := p.net
	way := n.delay() + n.delay()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil {
		return way, nil
	}
	if s.deaf || len(s.queue) == cap(s.queue) || n.cut != nil && (n.cut(p.Machine, s.machine) || n.cut(s.machine, p.Machine)) {
		return 0, errLost
	}
	if n.o.Handshake > 0 {
		now := time.Now()
		if s.machine.busy.Before(now) {
			s.machine.busy = now
		}
		s.machine.busy = s.machine.busy.Add(n.o.Handshake)
		way += s.machine.busy.Sub(now)
	}
	return way, nil
}

// connect makes a connection to whoever listens now; none and no error where it is lost after all.
func (p *Process) connect(address string) (*line, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil || n.o.Table > 0 && s.machine.open >= n.o.Table {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	n.ports++
	from := &net.TCPAddr{IP: net.IPv4(10, byte(n.ports>>32), byte(n.ports>>24), byte(n.ports>>16)), Port: n.ports & 0xffff}
	l := newLine(n, p.Machine, s.machine, from, s.address)
	select {
	case s.queue <- l:
	default:
		return nil, nil
	}
	n.conns[l] = true
	p.Machine.open++
	s.machine.open++
	return l, nil
}

// gone takes a connection that both sides have ended out of the network.
func (n *Network) gone(l *line) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[l] {
		delete(n.conns, l)
		for _, e := range l.ends {
			e.machine.open--
		}
	}
}
