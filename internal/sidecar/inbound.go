package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// readers are those of the callers' connections that bring a request; idle ones need none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}

// acceptPause is how long accepting rests after it has failed, as for want of descriptors.
const acceptPause = 5 * time.Millisecond

// accept serves callers until the listener is closed.
func (s *server) accept() error {
	for {
		c, err := s.callers.accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			log.Printf("accept: %v", err)
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(c)
	}
}

// serve serves one connection, for as long as it lasts.
func (s *server) serve(c *caller) {
	defer c.end()
	until := c.began.Add(readTimeout)
	s.serveFrom(c, until)
}

// serveFrom serves a connection that brings nothing at the moment.
func (s *server) serveFrom(c *caller, until time.Time) {
	var r *bufio.Reader
	for {
		if s.handing() && s.passIdle(c, r) {
			return
		}
		if r == nil {
			if c.await(until) != nil {
				if s.handing() {
					s.passIdle(c, r) // whether or not, it ends here
				}
				return
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
		until = c.rest()
		if r.Buffered() == 0 {
			r.Reset(nil)
			readers.Put(r)
			r = nil
		}
	}
}

// exchange reads a request and answers it, and tells whether the connection may bring another, or has been passed
// on to the successor.
func (s *server) exchange(c *caller, r *bufio.Reader) (lasts, passed bool) {
	w := &reply{caller: c, gift: s.giftOf(r)}
	lasts = s.answerOne(c, r, w)
	return lasts, w.passed
}

func (s *server) answerOne(c *caller, r *bufio.Reader, w *reply) (lasts bool) {
	until, over := c.begin()
	c.Conn.SetReadDeadline(until)
	in, err := readRequest(r)
	var f *fault
	switch {
	case errors.As(err, &f):
		return w.error(f.status, f.text)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.Buffered() > 0:
		return w.error(http.StatusRequestTimeout, "the head did not come in time")
	case err != nil:
		return false
	}
	w.old = !in.ProtoAtLeast(1, 1)
	w.lasts = !in.Close && !w.old
	unread := in.ContentLength != 0 // what stands in its place in the connection's stream is no request
	if !unread && s.handing() {
		if w.passed = s.passWhole(c, r, in, nil); w.passed {
			return false
		}
	}
	if in.URL.Path == "/ready" && in.Header.Get("X-Txn") == "" {
		w.lasts = w.lasts && !unread && !s.closes(c, r.Buffered())
		if !s.life.ready() {
			return w.status(http.StatusServiceUnavailable, "not ready")
		}
		return w.status(http.StatusOK, "")
	}
	if a, away := s.sentAway(); over || away && !(unread && s.handing()) {
		w.lasts = false
		return w.answer(a)
	}
	req, status, text := s.parse(in)
	if text != "" {
		return w.error(status, text) // what follows on the connection may be no request
	}
	if unread && expectsContinue(in) && !w.old {
		if !w.inform("HTTP/1.1 100 Continue\r\n\r\n") {
			return false
		}
	}
	held, err := s.take(c, in, req)
	defer s.loop.bodies.give(held)
	switch {
	case errors.Is(err, errNoRoom):
		w.lasts = false
		return w.answer(s.config.turnedAway())
	case errors.Is(err, errTooLarge):
		return w.error(http.StatusRequestEntityTooLarge, "request body too large")
	case err != nil:
		return w.error(http.StatusBadRequest, "request body cut short")
	}
	if unread && req.more == nil && s.handing() {
		if w.passed = s.passWhole(c, r, in, req.body); w.passed {
			return false
		}
	}
	if a, away := s.sentAway(); away && req.more == nil {
		w.lasts = false
		return w.answer(a) // its last byte came too late
	}
	return s.decide(c, r, w, req)
}

// take reads a request's body, or as much of it as is held of a long one, and tells how many bytes of the bodies'
// memory that has taken.
func (s *server) take(c *caller, in *http.Request, req *request) (held int, err error) {
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
	if !s.loop.bodies.take(held) {
		return 0, errNoRoom
	}
	c.pace()
	body, whole, err := readSome(in.Body, held)
	whole = whole || int64(len(body)) == in.ContentLength
	c.paced = !whole
	if req.body = body; err != nil || whole {
		return held, err
	}
	req.more = &upload{caller: c, body: in, length: in.ContentLength, first: len(body), late: s.tooLate,
		ended: make(chan struct{}), broken: make(chan error, 1)}
	req.Long = true
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
func (s *server) decide(c *caller, r *bufio.Reader, w *reply, req *request) (lasts bool) {
	received := time.Now()
	req.Idle = c.served()
	s.loop.post(func() { s.loop.arrive(req, received) })
	ended, broken := make(chan struct{}), (chan error)(nil)
	if req.more != nil {
		ended, broken = req.more.ended, req.more.broken
	} else {
		close(ended)
	}
	var gone <-chan error
	for {
		select {
		case <-ended:
			ended = nil
			gone = c.watch()
		case err := <-broken:
			s.loop.post(func() { s.loop.lapse(req) })
			if errors.Is(err, errTooLarge) {
				return w.error(http.StatusRequestEntityTooLarge, "request body too large")
			}
			return w.error(http.StatusBadRequest, "request body cut short")
		case err := <-gone:
			if err == nil {
				gone = nil // another request has come behind this one
				continue
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				gone = c.watch() // an attempt that ended stopped the reading of a body that had just ended
				continue
			}
			s.loop.post(func() { s.loop.lapse(req) })
			return false
		case a := <-req.answer:
			if gone != nil {
				c.unwatch(gone)
			}
			w.lasts = w.lasts && ended == nil && !s.closes(c, r.Buffered())
			lasts := w.answer(a)
			s.loop.discard(a.response)
			return lasts
		}
	}
}

// watch tells when a caller has gone, or, with nil, that it has sent more.
func (c *caller) watch() <-chan error {
	c.Conn.SetReadDeadline(time.Time{})
	told := make(chan error, 1)
	go func() { told <- awaitInput(c.Conn) }()
	return told
}

// unwatch ends a watch; the connection may be read again.
func (c *caller) unwatch(told <-chan error) {
	c.Conn.SetReadDeadline(time.Now())
	<-told
}

// upload is the part of a long body that is not held. It is read by the attempt that sends it, once.
type upload struct {
	caller *caller
	body   *http.Request
	length int64       // of the whole body; -1 where only its end tells
	first  int         // bytes of it that are held
	late   func() bool // nobody should be asking here any more, when its last byte comes
	spent  bool        // reading has begun: what comes of it is in nobody's memory

	ended  chan struct{} // closed once all has been read
	broken chan error    // why it can't be read to its end
}

// trailer is what the caller has sent behind its body.
func (u *upload) trailer() http.Header { return u.body.Trailer }

// errLate is a body whose last byte came when its caller should have gone elsewhere.
var errLate = errors.New("it came too late")

// pass writes what is still to come. It returns the caller's fault apart from the writer's.
func (u *upload) pass(w io.Writer, buffer []byte, progress func()) (callerErr, writeErr error) {
	u.spent = true
	total := int64(u.first)
	for {
		n, err := u.body.Body.Read(buffer)
		if total += int64(n); total > maxLong {
			u.broken <- errTooLarge
			return errTooLarge, nil
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			u.caller.paced = false
			close(u.ended)
			if u.late() {
				return nil, errLate // without its end it does not run
			}
		}
		if n > 0 {
			progress()
			if _, err := w.Write(buffer[:n]); err != nil {
				return nil, fmt.Errorf("body: %w", err)
			}
		}
		switch {
		case ended:
			return nil, nil
		case errors.Is(err, errStopped):
			return nil, err
		case err != nil:
			if !u.caller.stopped.Load() {
				u.broken <- err
			}
			return err, nil
		}
	}
}
