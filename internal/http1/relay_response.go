package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dykering/internal/core"
)

// relay is a long answer on its way from an endpoint to a caller. Between two of its steps all that it has is in
// its fields, so that another process can go on with it.
type relay struct {
	client    *downstreamConn
	body      *responseBody
	buffers   *core.Buffers
	done      chan error   // see download; nil once it has been told
	pending   []byte       // framed, for the caller
	chunked   bool         // the caller gets chunks
	http10    bool         // see reply
	keepAlive bool         // the caller's connection may bring another request
	transfer  transferFunc // where it may be passed on to

	pauseControl
	source *upstreamConn // whose answer is read; nil once that is over. The pause's mutex guards it
}

// transferFunc passes a relay on to the successor. Without an error it is the successor's from then on.
type transferFunc func(*relay) error

func newRelay(w *reply, r *response) *relay {
	l := &relay{client: w.client, body: r.rest.body, buffers: r.rest.buffers, done: r.rest.done, http10: w.http10, transfer: w.transfer,
		source: r.rest.body.conn}
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

// relay passes a long answer on as it comes. If it does not come to its end the caller can tell: the connection
// ends before the length that was told, or before the last chunk, or, where neither was told, with a reset.
func (w *reply) relay(l *relay) (lasts bool) {
	w.client.beginStreaming(l)
	err := l.run()
	l.reportDone(err)
	w.transferred = errors.Is(err, errTransferred)
	return err == nil && l.keepAlive
}

// reportDone tells, once, how the endpoint's side ended.
func (l *relay) reportDone(err error) {
	l.mu.Lock()
	l.source = nil // it may be another's in a moment
	l.mu.Unlock()
	if l.done != nil {
		l.done <- err
		l.done = nil
	}
}

// run goes on from where the relay stands until its end. The error is nil at that, errPassedOn, errCallerGone or
// what the endpoint's side broke with.
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

// readNext reads the next piece. At the end it lets go of the endpoint: a caller that reads slowly does not hold it.
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

// resetClient shows a caller that what it got is not whole, where nothing else does.
func (l *relay) resetClient() {
	if tcp, ok := l.client.Conn.(tcpConn); ok && l.http10 && l.body.length < 0 {
		tcp.SetLinger(0)
		tcp.Close()
	}
}

// interrupt asks the relay to stop between two steps and to be passed on.
func (l *relay) interrupt() {
	l.requestPause(func(now time.Time) {
		l.client.Conn.SetWriteDeadline(now)
		if l.source != nil {
			l.source.SetReadDeadline(now)
		}
	})
}

// tryTransfer passes the relay on; if that fails it goes on here.
func (l *relay) tryTransfer() bool {
	if l.transfer != nil && l.transfer(l) == nil {
		return true
	}
	l.resume(func() {})
	return false
}
