package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dykering/internal/core"
)

// relay copies a streamed response from an endpoint to a client. Between two steps its fields are
// its complete state, so that another process can continue it.
type relay struct {
	client  *downstreamConn
	body    *responseBody
	buffers *core.Buffers
	// See download; nil once the result has been sent.
	done chan error
	// Framed bytes that are to be written to the client.
	pending []byte
	// The client gets the body in chunks.
	chunked bool
	// See reply.
	http10 bool
	// The client's connection stays open after the response.
	keepAlive bool
	// Transfers the relay to the successor; nil where there is no handover.
	transfer transferFunc

	pauseControl
	// The connection that is read; nil once the response is complete. Guarded by the pauseControl's
	// mutex.
	source *upstreamConn
}

// transferFunc transfers a relay to the successor. Without an error the relay belongs to the
// successor.
type transferFunc func(*relay) error

// newRelay returns the relay of a response, whose head and beginning are its first pending bytes.
func newRelay(w *reply, r *response) *relay {
	l := &relay{
		client:   w.client,
		body:     r.rest.body,
		buffers:  r.rest.buffers,
		done:     r.rest.done,
		http10:   w.http10,
		transfer: w.transfer,
		source:   r.rest.body.conn,
	}
	framing := ""
	switch {
	case l.body.length >= 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", l.body.length)
	case w.http10:
		w.keepAlive = false
	default:
		framing, l.chunked = "Transfer-Encoding: chunked\r\n", true
	}
	l.keepAlive = w.keepAlive
	l.pending = w.head(http.StatusOK, r.header, framing)
	if len(r.body) > 0 {
		for _, piece := range frameChunks(r.body, l.chunked) {
			l.pending = append(l.pending, piece...)
		}
	}
	return l
}

// relay relays a streamed response. If the response is cut the client can see it: its connection
// ends before the stated length or the last chunk, or with a reset where the body ends with the
// connection (RFC 9112, section 8).
func (w *reply) relay(l *relay) (keepAlive bool) {
	w.client.beginStreaming(l)
	err := l.run()
	l.reportDone(err)
	w.transferred = errors.Is(err, errTransferred)
	return err == nil && l.keepAlive
}

// reportDone reports, once, how the endpoint's side ended.
func (l *relay) reportDone(err error) {
	l.mu.Lock()
	l.source = nil // the connection may carry another attempt from now on
	l.mu.Unlock()
	if l.done != nil {
		l.done <- err
		l.done = nil
	}
}

// run copies until the end of the response. It returns nil at the end, errTransferred,
// errClientGone or the error of the endpoint's side.
func (l *relay) run() error {
	buffer := l.buffers.Get()
	defer l.buffers.Put(buffer)
	for {
		switch {
		case l.pauseRequested() && l.tryTransfer():
			return errTransferred
		case len(l.pending) > 0:
			l.setDeadline(l.client.Conn.SetWriteDeadline, writeTimeout)
			n, err := l.client.Conn.Write(l.pending)
			if l.pending = l.pending[n:]; err != nil && !l.interrupted(err) {
				return errClientGone
			}
		case l.body.finished:
			return nil
		default:
			if err := l.readNext(buffer); err != nil && !l.interrupted(err) {
				l.resetClient()
				return err
			}
		}
	}
}

// readNext reads the next piece. At the end of the response it releases the endpoint's connection:
// a slow client does not occupy it.
func (l *relay) readNext(buffer []byte) error {
	l.setDeadline(l.body.conn.SetReadDeadline, streamStallTimeout)
	n, err := l.body.Read(buffer[chunkHeaderRoom : len(buffer)-chunkEndRoom])
	l.pending = frameInPlace(buffer, n, l.chunked)
	if errors.Is(err, io.EOF) {
		if l.chunked {
			l.pending = append(l.pending[:len(l.pending):len(l.pending)], lastChunk(l.body.trailer)...)
		}
		l.reportDone(nil)
		return nil
	}
	return err
}

// resetClient closes the client's connection with a reset where a cut body would otherwise look
// complete: an HTTP/1.0 body that ends with the connection.
func (l *relay) resetClient() {
	if tcp, ok := l.client.Conn.(tcpConn); ok && l.http10 && l.body.length < 0 {
		_ = tcp.SetLinger(0) // fails only where the connection has ended
		tcp.Close()
	}
}

// interrupt implements transferable: the copy pauses between two steps and is transferred.
func (l *relay) interrupt() {
	l.requestPause(func(now time.Time) {
		l.client.Conn.SetWriteDeadline(now)
		if l.source != nil {
			l.source.SetReadDeadline(now)
		}
	})
}

// tryTransfer transfers the relay; if that fails it goes on here.
func (l *relay) tryTransfer() bool {
	if l.transfer != nil && l.transfer(l) == nil {
		return true
	}
	l.resume(func() {})
	return false
}
