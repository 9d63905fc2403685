package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
)

// readers are those of the callers' connections that bring a request; idle ones need none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}

// acceptPause is how long accepting rests after it has failed, as for want of descriptors.
const acceptPause = 5 * time.Millisecond

// accept serves callers until the listener is closed.
func (s *Server) accept() error {
	for {
		c, err := s.callers.accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Warn("caller.accept_failed", zap.Error(err))
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(c)
	}
}

// serve serves one connection, for as long as it lasts.
func (s *Server) serve(c *caller) {
	defer c.end()
	until := c.began.Add(readTimeout)
	s.serveFrom(c, until, nil)
}

// serveFrom serves a connection on which nothing is owed; r, if there is one, has read some of it.
func (s *Server) serveFrom(c *caller, until time.Time, r *bufio.Reader) {
	for {
		if r != nil && r.Buffered() == 0 {
			r.Reset(nil)
			readers.Put(r)
			r = nil
		}
		if s.moves() && s.passIdle(c, r) {
			return
		}
		if r == nil {
			if c.await(until) != nil {
				passed := s.handing() && s.passIdle(c, r)
				if passed || !c.waiting() { // something may have come while a successor that does not take it was asked to
					return
				}
			}
			r = readers.Get().(*bufio.Reader)
			r.Reset(c)
		}
		switch lasts, passed := s.exchange(c, r); {
		case passed:
			return
		case !lasts:
			c.linger()
			return
		}
		until = c.rest(r)
	}
}

// exchange reads a request and answers it, and tells whether the connection may bring another, or has been passed
// on to the successor.
func (s *Server) exchange(c *caller, r *bufio.Reader) (lasts, passed bool) {
	w := &reply{caller: c, gift: s.giftOf(r)}
	lasts = s.answerOne(c, r, w)
	return lasts, w.passed
}

func (s *Server) answerOne(c *caller, r *bufio.Reader, w *reply) (lasts bool) {
	until, over := c.begin()
	c.Conn.SetReadDeadline(until)
	in, err := readRequest(r)
	var f *fault
	switch {
	case c.cut.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		w.lasts = false
		return w.answer(core.TurnedAway(&s.config.Settings))
	case errors.As(err, &f):
		s.noteFault(f.status, f.text)
		return w.error(f.status, f.text)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.Buffered() > 0:
		return w.error(http.StatusRequestTimeout, "the head did not come in time")
	case err != nil:
		return false
	}
	w.old = !in.ProtoAtLeast(1, 1)
	body := newRequestBody(in, r)
	w.lasts = !in.Close && !w.old
	unread := in.ContentLength != 0 // what stands in its place in the connection's stream is no request
	if !unread && s.moves() {
		if w.passed = s.passRequest(c, r, in, nil, nil); w.passed {
			return false
		}
	}
	if in.URL.Path == "/ready" && in.Header.Get("X-Txn") == "" {
		w.lasts = w.lasts && !unread && !s.closes(c, r.Buffered()+len(c.input))
		if !s.life.Ready() {
			return w.status(http.StatusServiceUnavailable, "not ready")
		}
		return w.status(http.StatusOK, "")
	}
	whole := in.ContentLength > 0 && int64(r.Buffered()) >= in.ContentLength // and what stands behind it may be a request
	if a, away := s.sentAway(); over || away && !(unread && (whole || s.moves())) {
		w.lasts = w.lasts && !over && !unread && !s.closes(c, r.Buffered()+len(c.input))
		return w.answer(a)
	}
	req, status, text := s.parse(in)
	if text != "" {
		s.noteFault(status, text)
		return w.error(status, text) // what follows on the connection may be no request
	}
	if unread && expectsContinue(in) && !w.old {
		if !w.inform("HTTP/1.1 100 Continue\r\n\r\n") {
			return false
		}
	}
	w.patience = min(max(req.Remaining, leastWrite), writeTimeout)
	held, err := s.take(c, in, req, body)
	defer s.memory.Bodies.Give(held)
	switch {
	case errors.Is(err, errNoRoom), err != nil && c.cut.Load():
		w.lasts = false
		return w.answer(core.TurnedAway(&s.config.Settings))
	case errors.Is(err, errTooLarge):
		return w.error(http.StatusRequestEntityTooLarge, "request body too large")
	case err != nil:
		return w.error(http.StatusBadRequest, "request body cut short")
	}
	if unread && s.moves() {
		rest := body
		if req.more == nil {
			rest = nil
		}
		if w.passed = s.passRequest(c, r, in, req.body, rest); w.passed {
			return false
		}
	}
	if a, away := s.sentAway(); away && req.more == nil {
		w.lasts = w.lasts && !s.closes(c, r.Buffered()+len(c.input))
		return w.answer(a) // its last byte came too late
	}
	return s.decide(c, r, w, req)
}

// noteFault notes what is wrong with a request. What stands behind a colon may be the caller's own words, which may
// be anything.
func (s *Server) noteFault(status int, text string) {
	text, _, _ = strings.Cut(text, ":")
	s.log.Info("caller.fault", zap.Int("status", status), zap.String("fault", text))
}

// take reads a request's body, or as much of it as is held of a long one, and tells how many bytes of the bodies'
// memory that has taken.
func (s *Server) take(c *caller, in *http.Request, req *request, from *requestBody) (held int, err error) {
	header := in.Header
	removeHopByHop(header)
	req.inbound = inbound{method: in.Method, target: in.RequestURI, host: in.Host, header: header}
	if in.ContentLength == 0 {
		return 0, nil
	}
	held = maxBody
	if in.ContentLength > 0 {
		held = min(held, int(in.ContentLength))
	}
	if !s.memory.Bodies.Take(held) {
		return 0, errNoRoom
	}
	c.pace()
	body, whole, err := readSome(from, held)
	whole = whole || int64(len(body)) == in.ContentLength
	c.paced = !whole
	if req.body = body; err != nil || whole {
		return held, err
	}
	req.more = newUpload(c, from, s.tooLate)
	req.LongBody = true
	return held, nil
}

// readSome reads up to a number of bytes of a body, and tells whether that was all. Space is taken as they come:
// a length is only a word.
func readSome(body io.Reader, most int) (got []byte, whole bool, err error) {
	for len(got) < most {
		if len(got) == cap(got) {
			got = append(make([]byte, 0, min(most, max(512, 2*cap(got)))), got...)
		}
		n, err := body.Read(got[len(got):cap(got)])
		got = got[:len(got)+n]
		if errors.Is(err, io.EOF) {
			return got, true, nil
		}
		if err != nil {
			return got, false, err
		}
	}
	return got, false, nil
}

// decide hands a request to the loop and carries the answer back.
func (s *Server) decide(c *caller, r *bufio.Reader, w *reply, req *request) (lasts bool) {
	received := time.Now()
	req.IdleConns = c.served()
	if req.more != nil {
		req.more.gift = s.giftOfUpload(r, w, req)
	}
	lapse := func() { s.loop.Lapse(req.Call) }
	if req.more == nil { // else its body is read on, which shows it: see exchangeLong
		req.deserted = func() bool {
			gone := c.gone()
			if gone {
				lapse()
			}
			return gone
		}
	}
	s.loop.Arrive(req.Call, received)
	return s.await(c, r, w, req, lapse)
}

// await carries the answer to a request back; lapse is called where nobody waits for it any more.
func (s *Server) await(c *caller, r *bufio.Reader, w *reply, req *request, lapse func()) (lasts bool) {
	var passed <-chan struct{}
	ended, broken := make(chan struct{}), (chan error)(nil)
	if req.more != nil {
		ended, broken, passed = req.more.ended, req.more.broken, req.more.passed
	} else {
		close(ended)
	}
	var gone <-chan error
	for {
		select {
		case <-ended:
			ended = nil
			gone = c.watch()
		case <-passed:
			lapse()
			w.passed = true
			return false
		case err := <-broken:
			lapse()
			if errors.Is(err, errTooLarge) {
				return w.error(http.StatusRequestEntityTooLarge, "request body too large")
			}
			return w.error(http.StatusBadRequest, "request body cut short")
		case err := <-gone:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				gone = c.watch() // an attempt that ended stopped the reading of a body that had just ended
				continue
			}
			lapse()
			return false
		case a := <-req.Final:
			if req.more != nil && req.more.settle() {
				a.Discard()
				w.passed = true
				return false
			}
			if gone != nil {
				c.unwatch(gone)
			}
			select {
			case <-ended: // both at once: either may be chosen first
				ended = nil
			default:
			}
			w.lasts = w.lasts && ended == nil && !s.closes(c, r.Buffered()+len(c.input))
			lasts := w.answer(a)
			a.Discard()
			return lasts
		}
	}
}
