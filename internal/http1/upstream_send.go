package http1

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// promptSendTimeout is the time in which most requests are written, since the buffers of a connection hold them. The rest of a
	// request that takes longer is written by a goroutine of its own.
	promptSendTimeout = 10 * time.Millisecond
	// brokenSendTimeout bounds the wait for a response after the sending has failed. The endpoint may have responded before.
	brokenSendTimeout = 200 * time.Millisecond
)

// requestSending is the sending of one request on an EndpointConn. A long request is still being sent while its response is read,
// since an endpoint may respond, and may run the request, before it has read the whole body.
type requestSending struct {
	conn                   net.Conn
	unsent                 net.Buffers
	headLength, bodyLength int
	// Closed when nothing more is written. Only then may sent and err be read.
	ended chan struct{}
	sent  int64 // bytes that were passed to the operating system
	err   error // the error that ended the sending
}

// startSending writes a request before a deadline. It returns once the request is written, the sending has failed, or it has
// taken promptSendTimeout; it then goes on in another goroutine.
func startSending(conn net.Conn, head, body []byte, until time.Time) *requestSending {
	s := &requestSending{
		conn: conn, unsent: net.Buffers{head}, headLength: len(head), bodyLength: len(body), ended: make(chan struct{}),
	}
	if len(body) > 0 {
		s.unsent = append(s.unsent, body)
	}
	promptUntil := time.Now().Add(promptSendTimeout)
	if !promptUntil.Before(until) {
		s.writeUntil(until)
		close(s.ended)
		return s
	}
	s.writeUntil(promptUntil)
	if !errors.Is(s.err, os.ErrDeadlineExceeded) {
		close(s.ended)
		return s
	}
	conn.SetWriteDeadline(until) // before the goroutine starts, so that it does not undo the deadline that stop sets
	go func() {
		defer close(s.ended)
		s.write()
	}()
	return s
}

// writeUntil writes the rest of the request before a deadline.
func (s *requestSending) writeUntil(until time.Time) {
	s.conn.SetWriteDeadline(until)
	s.write()
}

// write writes the rest of the request before the connection's write deadline.
func (s *requestSending) write() {
	var n int64
	n, s.err = s.unsent.WriteTo(s.conn)
	s.sent += n
	if s.hasFailed() {
		s.conn.SetReadDeadline(time.Now().Add(brokenSendTimeout))
	}
}

// stop ends the sending if it is in progress, and waits for its end.
func (s *requestSending) stop() {
	select {
	case <-s.ended:
	default:
		s.conn.SetWriteDeadline(time.Now())
		<-s.ended
	}
}

// hasFailed reports whether the connection has ended the sending. A deadline does not: the connection still works after it.
func (s *requestSending) hasFailed() bool {
	return s.err != nil && !errors.Is(s.err, os.ErrDeadlineExceeded)
}

// progress returns how much was sent. The sending must have ended.
func (s *requestSending) progress() SendProgress {
	return SendProgress{HeadLength: s.headLength, BodyLength: s.bodyLength, Sent: s.sent, Err: s.err}
}

// SendProgress describes how much of a request was passed to the operating system, which may have delivered it.
type SendProgress struct {
	HeadLength, BodyLength int
	Sent                   int64
	// The error that ended the sending; nil if the request was sent completely.
	Err error
}

// ReachedBody reports whether the complete head was sent. From then on the endpoint may run the request, since it need not
// read the body first.
func (p SendProgress) ReachedBody() bool { return p.Sent >= int64(p.HeadLength) }

// IsComplete reports whether the complete request was sent.
func (p SendProgress) IsComplete() bool { return p.Sent >= int64(p.HeadLength+p.BodyLength) }
