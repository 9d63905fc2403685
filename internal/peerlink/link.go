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
	cancel  context.CancelFunc
}

// NewLink makes a link that lives until its context ends or it is closed.
func NewLink(ctx context.Context, address string) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{address: address, queue: make(chan any, queueLength), cancel: cancel}
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
			fresh, err := Dial(l.address, dialTimeout)
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
		case <-l.queue:
		}
	}
}
