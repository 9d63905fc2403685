package peerlink

import (
	"context"
	"time"
)

const (
	queueLength  = 512
	sendTimeout  = 2 * time.Second
	dialTimeout  = 500 * time.Millisecond
	firstBackoff = 50 * time.Millisecond
	mostBackoff  = 400 * time.Millisecond
)

// Link sends messages to one address. It dials when there is something to send, and drops what cannot be sent: those
// who use it send again what matters.
type Link struct {
	address string
	queue   chan any
	wake    chan struct{}
	cancel  context.CancelFunc
}

// NewLink makes a link that lives until its context ends or it is closed.
func NewLink(ctx context.Context, address string) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{address: address, queue: make(chan any, queueLength), wake: make(chan struct{}, 1), cancel: cancel}
	go l.run(ctx)
	return l
}

// Send queues a message. It never blocks; a full queue drops it.
func (l *Link) Send(body any) {
	select {
	case l.queue <- body:
	default:
	}
}

// Wake tells that the peer was heard of: a dial that hangs, or a pause after one that failed, ends.
func (l *Link) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the link.
func (l *Link) Close() { l.cancel() }

func (l *Link) run(ctx context.Context) {
	var conn *Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	backoff := firstBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-l.queue:
			if conn != nil && conn.Send(body, sendTimeout) == nil {
				continue
			}
			if conn != nil {
				conn.Close()
				conn = nil
			}
			fresh, err := l.dial(ctx)
			if err != nil {
				l.pause(ctx, backoff)
				backoff = min(2*backoff, mostBackoff)
				continue
			}
			conn, backoff = fresh, firstBackoff
			go closeWithPeer(conn)
			if conn.Send(body, sendTimeout) != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

// dial connects to the peer. A dial that hangs, as one to a machine without power does, is begun anew when the peer is
// heard of.
func (l *Link) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-l.wake: // of before
	default:
	}
	for {
		conn, again, err := l.dialOnce(ctx)
		if !again {
			return conn, err
		}
	}
}

// dialOnce dials until that ends or the peer is heard of; then it is to be done again.
func (l *Link) dialOnce(ctx context.Context) (conn *Conn, again bool, err error) {
	ctx, abandon := context.WithCancel(ctx)
	defer abandon()
	done := make(chan struct{})
	go func() {
		conn, err = dialContext(ctx, l.address)
		close(done)
	}()
	select {
	case <-done:
		return conn, false, err
	case <-l.wake:
		abandon()
		<-done
		return conn, err != nil, err
	}
}

// closeWithPeer closes a connection once its peer has: nothing is received on it. It ends with the connection.
func closeWithPeer(conn *Conn) {
	var b [1]byte
	conn.raw.Read(b[:]) // whatever ends it
	conn.Close()
}

// pause waits after a failed dial, and drops what was queued for a peer that is not there.
func (l *Link) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-l.wake:
			return
		case <-l.queue:
		}
	}
}
