package peerlink

import (
	"context"
	"time"
)

const (
	// queueLength is the number of messages that a link queues before it drops further messages.
	queueLength = 512
	// sendTimeout bounds the time to write one message.
	sendTimeout = 2 * time.Second
	// dialTimeout bounds the time to connect, including attempts that Wake restarts.
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed dial. The pause doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Link sends messages to one address. Its goroutine connects when there is a message to send, and reconnects after the connection
// has failed. The link drops messages that it cannot send, including all messages that are queued while the peer is unreachable.
type Link struct {
	address string
	queue   chan any
	// wake has an element after a call of Wake that no dial or backoff has handled yet.
	wake   chan struct{}
	cancel context.CancelFunc
}

// NewLink returns a link to a host:port and starts its goroutine, which ends with the context or with Close.
func NewLink(ctx context.Context, address string) *Link {
	ctx, cancel := context.WithCancel(ctx)
	l := &Link{
		address: address,
		queue:   make(chan any, queueLength),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
	}
	go l.run(ctx)
	return l
}

// Send queues a message. It never blocks; if the queue is full, it drops the message. The caller must not modify the message
// afterwards.
func (l *Link) Send(body any) {
	select {
	case l.queue <- body:
	default:
	}
}

// Wake ends a backoff and restarts a dial in progress. The caller calls it after it has received a message from the peer, as the
// peer is then reachable again.
func (l *Link) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the link and drops the queued messages.
func (l *Link) Close() { l.cancel() }

// run sends queued messages until the context ends. If sending a message on the current connection fails, run sends the message
// once more on a new connection, as the peer may have closed the current one.
func (l *Link) run(ctx context.Context) {
	var conn *Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-l.queue:
			if conn != nil {
				if conn.Send(body, sendTimeout) == nil {
					continue
				}
				conn.Close()
				conn = nil
			}
			dialed, err := l.dial(ctx)
			if err != nil {
				l.waitBackoff(ctx, backoff)
				backoff = min(2*backoff, maxBackoff)
				continue
			}
			conn, backoff = dialed, minBackoff
			go closeWithPeer(conn)
			if conn.Send(body, sendTimeout) != nil {
				conn.Close()
				conn = nil
			}
		}
	}
}

// dial connects to the peer within dialTimeout. Wake restarts an attempt to connect. An attempt to a machine that has no power
// hangs, as its SYN packet is lost. Without a restart, it would not notice that the machine is back until the kernel sends the
// SYN packet again, seconds later.
func (l *Link) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-l.wake: // a call of Wake before this dial does not apply to it
	default:
	}
	for {
		conn, restart, err := l.dialUntilWoken(ctx)
		if !restart {
			return conn, err
		}
	}
}

// dialUntilWoken makes one attempt to connect. If Wake interrupts the attempt before it succeeds, restart is true.
func (l *Link) dialUntilWoken(ctx context.Context) (conn *Conn, restart bool, err error) {
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

// closeWithPeer closes a connection as soon as the peer has closed it, so that the next Send fails and the message is sent on a
// new connection instead of being lost. It returns when the connection ends, as a link's peer never sends data.
func closeWithPeer(conn *Conn) {
	var b [1]byte
	_, _ = conn.raw.Read(b[:]) // returns only at the end of the connection; the error does not matter
	conn.Close()
}

// waitBackoff waits after a failed dial. It drops the messages that are queued during the wait, so that a peer that returns does
// not receive outdated messages.
func (l *Link) waitBackoff(ctx context.Context, backoff time.Duration) {
	timer := time.NewTimer(backoff)
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
