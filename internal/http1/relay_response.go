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
	caller  *caller
	body    *answerBody
	buffers *core.Buffers
	done    chan error // see download; nil once it has been told
	pending []byte     // framed, for the caller
	framed  bool       // the caller gets chunks
	old     bool       // see reply
	lasts   bool       // the caller's connection may bring another request
	gift    gift       // where it may be passed on to

	pause
	from *conn // whose answer is read; nil once that is over. The pause's mutex guards it
}

// gift passes a relay on to the successor. Without an error it is the successor's from then on.
type gift func(*relay) error

func newRelay(w *reply, r *response) *relay {
	l := &relay{caller: w.caller, body: r.more.body, buffers: r.more.buffers, done: r.more.done, old: w.old, gift: w.gift,
		from: r.more.body.conn}
	framing := ""
	switch {
	case l.body.length >= 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", l.body.length)
	case w.old:
		w.lasts = false
	default:
		framing, l.framed = "Transfer-Encoding: chunked\r\n", true
	}
	l.lasts = w.lasts
	l.pending = w.head(http.StatusOK, r.header, framing)
	if len(r.body) > 0 {
		for _, piece := range framed(r.body, l.framed) {
			l.pending = append(l.pending, piece...)
		}
	}
	return l
}

// relay passes a long answer on as it comes. If it does not come to its end the caller can tell: the connection
// ends before the length that was told, or before the last chunk, or, where neither was told, with a reset.
func (w *reply) relay(l *relay) (lasts bool) {
	w.caller.relays(l)
	err := l.run()
	l.tell(err)
	w.passed = errors.Is(err, errPassedOn)
	return err == nil && l.lasts
}

// tell tells, once, how the endpoint's side ended.
func (l *relay) tell(err error) {
	l.mu.Lock()
	l.from = nil // it may be another's in a moment
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
		case l.isAsked() && l.passOn():
			return errPassedOn
		case len(l.pending) > 0:
			l.within(l.caller.Conn.SetWriteDeadline, writeTimeout)
			n, err := l.caller.Conn.Write(l.pending)
			if l.pending = l.pending[n:]; err != nil && !l.interrupted(err) {
				return errCallerGone
			}
		case l.body.ended:
			return nil
		default:
			if err := l.fill(buffer); err != nil && !l.interrupted(err) {
				l.spoil()
				return err
			}
		}
	}
}

// fill reads the next piece. At the end it lets go of the endpoint: a caller that reads slowly does not hold it.
func (l *relay) fill(buffer []byte) error {
	l.within(l.body.conn.SetReadDeadline, relayStall)
	n, err := l.body.Read(buffer[chunkFrame : len(buffer)-chunkTail])
	l.pending = inFrame(buffer, n, l.framed)
	if errors.Is(err, io.EOF) {
		if l.framed {
			l.pending = append(l.pending[:len(l.pending):len(l.pending)], lastChunk(l.body.trailer)...)
		}
		l.tell(nil)
		return nil
	}
	return err
}

// spoil shows a caller that what it got is not whole, where nothing else does.
func (l *relay) spoil() {
	if tcp, ok := l.caller.Conn.(tcpConn); ok && l.old && l.body.length < 0 {
		tcp.SetLinger(0)
		tcp.Close()
	}
}

// interrupt asks the relay to stop between two steps and to be passed on.
func (l *relay) interrupt() {
	l.ask(func(now time.Time) {
		l.caller.Conn.SetWriteDeadline(now)
		if l.from != nil {
			l.from.SetReadDeadline(now)
		}
	})
}

// passOn passes the relay on; if that fails it goes on here.
func (l *relay) passOn() bool {
	if l.gift != nil && l.gift(l) == nil {
		return true
	}
	l.over(func() {})
	return false
}
