package netem

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Dial makes a connection, as DialContext of net.Dialer does. It is refused where nobody listens;
// where the backlog is full or the link is cut it is tried again until the context ends.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	fail := func(err error) (net.Conn, error) {
		at, _ := net.ResolveTCPAddr("tcp4", address)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: at, Err: err}
	}
	for retryAfter := synRetryInterval; ; retryAfter *= 2 {
		roundTrip, err := p.sendSYN(address)
		if err == nil {
			if !wait(ctx, p.dead, roundTrip) {
				break
			}
			l, err := p.establish(address)
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
		if !wait(ctx, p.dead, retryAfter) {
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

// wait waits for a duration and reports false if the context or the process ended before.
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

var errPacketLost = errors.New("lost")

// sendSYN is the round trip of a SYN: how long it takes, or errPacketLost.
func (p *Process) sendSYN(address string) (time.Duration, error) {
	n := p.net
	roundTrip := n.delay() + n.delay()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil {
		return roundTrip, nil
	}
	if s.backlogFull || len(s.queue) == cap(s.queue) || n.partition != nil && (n.partition(p.Machine, s.machine) || n.partition(s.machine, p.Machine)) {
		return 0, errPacketLost
	}
	if n.options.Handshake > 0 {
		now := time.Now()
		if s.machine.busyUntil.Before(now) {
			s.machine.busyUntil = now
		}
		s.machine.busyUntil = s.machine.busyUntil.Add(n.options.Handshake)
		roundTrip += s.machine.busyUntil.Sub(now)
	}
	return roundTrip, nil
}

// establish creates a connection to the present listener; it returns neither a connection nor an
// error where the SYN is lost after all.
func (p *Process) establish(address string) (*connection, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil || n.options.MaxConnections > 0 && s.machine.connections >= n.options.MaxConnections {
		return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	n.ports++
	from := &net.TCPAddr{IP: net.IPv4(10, byte(n.ports>>32), byte(n.ports>>24), byte(n.ports>>16)), Port: n.ports & 0xffff}
	l := newConnection(n, p.Machine, s.machine, from, s.address)
	select {
	case s.queue <- l:
	default:
		return nil, nil
	}
	n.connections[l] = true
	p.Machine.connections++
	s.machine.connections++
	return l, nil
}

// remove removes a connection that both sides have ended.
func (n *Network) remove(l *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[l] {
		delete(n.connections, l)
		for _, e := range l.ends {
			e.machine.connections--
		}
	}
}
