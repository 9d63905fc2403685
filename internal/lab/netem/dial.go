package netem

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Dial opens a connection, as DialContext of net.Dialer does. The connection is refused if nobody
// listens at the address. If the backlog is full or a partition separates the machines, Dial sends the
// SYN again until the context ends.
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
			established, err := p.establish(address)
			if err != nil {
				return fail(err)
			}
			if established != nil {
				if c := newConn(established.ends[0], p); c != nil {
					return c, nil
				}
				established.ends[0].reset()
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

// wait waits for a duration. It reports false if the context or the process ended meanwhile.
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

var errPacketLost = errors.New("the SYN was lost")

// sendSYN returns how long the handshake takes, or errPacketLost if the SYN is not answered.
func (p *Process) sendSYN(address string) (time.Duration, error) {
	n := p.net
	roundTrip := n.delay() + n.delay()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sockets[address]
	if s == nil {
		return roundTrip, nil
	}
	if s.backlogFull || len(s.queue) == cap(s.queue) ||
		n.partition != nil && (n.partition(p.Machine, s.machine) || n.partition(s.machine, p.Machine)) {
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

// establish creates a connection to the socket that now listens at the address. It returns neither a
// connection nor an error if the backlog has filled since sendSYN.
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
	c := newConnection(n, p.Machine, s.machine, from, s.address)
	select {
	case s.queue <- c:
	default:
		return nil, nil
	}
	n.connections[c] = true
	p.Machine.connections++
	s.machine.connections++
	return c, nil
}

// remove removes a connection that both sides have closed from the connection tables.
func (n *Network) remove(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[c] {
		delete(n.connections, c)
		for _, e := range c.ends {
			e.machine.connections--
		}
	}
}
