package connlimit

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener accepts connections within limits. Its methods are safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits

	mu        sync.Mutex
	open      int
	headBytes int // memory of all heads beyond lightHeadBytes each
	byPhase   [phaseCount]list.List
	freed     chan struct{} // receives a value when a connection has been closed
}

const (
	// admissionTimeout bounds the time for which an accepted connection waits for room. Others wait in the queue of the kernel
	// meanwhile, in the order in which they came.
	admissionTimeout = time.Second
	// admissionInterval is the time between two attempts to evict a connection for it.
	admissionInterval = 5 * time.Millisecond
)

// Listen listens at a TCP address.
func Listen(ctx context.Context, address string, limits Limits) (*Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(inner, limits), nil
}

// New returns a listener that takes ownership of another one.
func New(inner net.Listener, limits Limits) *Listener {
	return &Listener{Listener: inner, limits: limits, freed: make(chan struct{}, 1)}
}

// limitReceiveBuffer sets the receive buffer of a socket before it listens. Its connections inherit the size.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		// A platform without this option has buffers of its own choice.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

// Accept returns the next connection. At the limit it evicts another connection, or waits until one may be evicted. It closes the new
// one if that takes longer than admissionTimeout.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: raw, listener: l}
		if l.awaitAdmission(conn) {
			return conn, nil
		}
		raw.Close()
	}
}

// awaitAdmission waits until there is room for a new connection. It returns false if there is none in time.
func (l *Listener) awaitAdmission(conn *Conn) bool {
	for began := time.Now(); !l.admit(conn); {
		if time.Since(began) >= admissionTimeout {
			return false
		}
		select {
		case <-l.freed:
		case <-time.After(admissionInterval):
		}
	}
	return true
}

// admit tracks a new connection. It returns false if there is no room for it.
func (l *Listener) admit(conn *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.open >= l.limits.Connections && !l.evictForConnection(now) {
		return false
	}
	l.open++
	conn.since = now
	conn.element = l.byPhase[phaseNew].PushBack(conn)
	return true
}

// setPhase moves a tracked connection to a phase. The caller must hold l.mu.
func (l *Listener) setPhase(conn *Conn, phase connPhase, now time.Time) {
	if conn.element == nil {
		return
	}
	l.byPhase[conn.phase].Remove(conn.element)
	conn.phase, conn.since = phase, now
	conn.bodyBytes.Store(0)
	conn.element = l.byPhase[phase].PushBack(conn)
}

// remove stops tracking a connection. The caller must hold l.mu.
func (l *Listener) remove(conn *Conn) {
	if conn.element == nil {
		return
	}
	l.byPhase[conn.phase].Remove(conn.element)
	conn.element = nil
	l.open--
	l.setHeadWeight(conn, 0)
	select {
	case l.freed <- struct{}{}:
	default: // a value is waiting already
	}
}

// setHeadWeight records the weight of the head that a connection holds. The caller must hold l.mu.
func (l *Listener) setHeadWeight(conn *Conn, weight int) {
	l.headBytes += HeavyPart(weight) - HeavyPart(conn.headWeight)
	conn.headWeight = weight
}

// admitHead records a higher weight of the head that a connection holds, and evicts others until there is room for it. It returns
// false if there is none. The caller must hold l.mu.
func (l *Listener) admitHead(conn *Conn, weight int, now time.Time) bool {
	if conn.element == nil {
		return false
	}
	l.setHeadWeight(conn, weight)
	for HeavyPart(weight) > 0 && l.headBytes > l.limits.HeadBytes {
		if !l.evictForHead(conn, now) {
			return false
		}
	}
	return true
}
