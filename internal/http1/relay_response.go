package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dykering/internal/core"
)

// relay copies a streamed response from an endpoint to a client. Between two steps its fields hold
// the complete state, so that the successor can continue it.
type relay struct {
	client  *downstreamConn
	body    *responseBody
	buffers *core.Buffers
	// Receives the result, as described at download; nil once the result has been sent.
	done chan error
	// Framed bytes that have not been written to the client.
	pending []byte
	// The client gets the body in chunks.
	chunked bool
	// The client uses HTTP/1.0.
	http10 bool
	// The client's connection stays open after the response.
	keepAlive bool
	// Transfers the relay to the successor; nil if relays cannot be transferred.
	transfer transferFunc

	pauseControl
	// The endpoint's connection; nil once the response is complete. Guarded by pauseControl.mu.
	source *upstreamConn
}

// transferFunc transfers a relay to the successor. Without an error the relay belongs to the
// successor.
type transferFunc func(*relay) error

// newRelay returns the relay of a response. Its first pending bytes are the head and the beginning of
// the body.
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

// relay relays a streamed response and reports whether the client's connection stays open. The client
// can detect a truncated response: its connection ends before the stated length or the last chunk,
// or, if the body ends with the connection, with a reset (RFC 9112, section 8).
func (w *reply) relay(l *relay) (keepAlive bool) {
	w.client.beginStreaming(l)
	err := l.run()
	l.reportDone(err)
	w.transferred = errors.Is(err, errTransferred)
	return err == nil && l.keepAlive
}

// reportDone sends the result of the endpoint's side on done. Only the first call has an effect.
func (l *relay) reportDone(err error) {
	l.mu.Lock()
	l.source = nil // the connection may carry another attempt from now on
	l.mu.Unlock()
	if l.done != nil {
		l.done <- err
		l.done = nil
	}
}

// run copies until the end of the response and returns nil. Otherwise it returns errTransferred,
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

// readNext reads the next piece. At the end of the response it releases the endpoint's connection, so
// that a slow client does not occupy it.
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

// resetClient closes the client's connection with a reset if a truncated body would otherwise look
// complete. That is the case for an HTTP/1.0 body that ends with the connection.
func (l *relay) resetClient() {
	if tcp, ok := l.client.Conn.(tcpConn); ok && l.http10 && l.body.length < 0 {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
		tcp.Close()
	}
}

// interrupt implements transferable.
func (l *relay) interrupt() {
	l.requestPause(func(now time.Time) {
		l.client.Conn.SetWriteDeadline(now)
		if l.source != nil {
			l.source.SetReadDeadline(now)
		}
	})
}

// tryTransfer transfers the relay and reports whether it did. If not, the relay continues in this
// process.
func (l *relay) tryTransfer() bool {
	if l.transfer != nil && l.transfer(l) == nil {
		return true
	}
	l.resume(func() {})
	return false
}
