package peerlink

import (
	"context"
	"time"
)

const (
	// queueLength is the number of messages that a link holds before it drops further ones.
	queueLength = 512
	// sendTimeout bounds the time for writing one message.
	sendTimeout = 2 * time.Second
	// dialTimeout bounds the time for connecting, over all attempts that Wake restarts.
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a dial that failed. It doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Link sends messages to one address. Its goroutine dials when there is something to send, and again when the connection
// has broken. Messages that cannot be sent are dropped, in particular all that are queued while the peer is unreachable.
type Link struct {
	address string
	queue   chan any
	wake    chan struct{}
	cancel  context.CancelFunc
}

// NewLink returns a link to a host:port. Its goroutine ends with the context or with Close.
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

// Send queues a message. It never blocks: if the queue is full, the message is dropped. The message must not be modified
// afterwards.
func (l *Link) Send(body any) {
	select {
	case l.queue <- body:
	default:
	}
}

// Wake ends a backoff and restarts a dial in progress. It is called when something has been received from the peer, which
// is therefore reachable again.
func (l *Link) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the link and drops what is queued.
func (l *Link) Close() { l.cancel() }

// run sends queued messages until the context ends. A message that the present connection fails to send is sent once more
// on a new one: the peer may just have closed it.
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

// dial connects to the peer within dialTimeout. Wake restarts an attempt: one to a machine without power hangs, since its
// opening packet was lost, and does not notice that the machine is back until the packet is sent again after seconds.
func (l *Link) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-l.wake: // a call before this dial does not concern it
	default:
	}
	for {
		conn, restart, err := l.dialUntilWoken(ctx)
		if !restart {
			return conn, err
		}
	}
}

// dialUntilWoken makes one attempt to connect. If Wake interrupts it, restart is true.
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

// closeWithPeer closes a connection as soon as the peer has, so that the next message finds that out without being lost.
// Nothing is ever received on a link's connection. It returns when the connection ends.
func closeWithPeer(conn *Conn) {
	var b [1]byte
	_, _ = conn.raw.Read(b[:]) // returns only at the end of the connection; which error ended it does not matter
	conn.Close()
}

// waitBackoff waits after a dial that failed. It drops what is queued meanwhile, so that a peer which returns does not get
// messages that are out of date.
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
