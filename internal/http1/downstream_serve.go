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

// readerPool has the readers of connections with a request in progress; idle connections hold none.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}

// acceptRetryDelay is the delay after a failed accept, for example for want of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// accept serves connections until the listener is closed. It returns the listener's error.
func (s *Server) accept() error {
	for {
		c, err := s.clients.accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Warn("caller.accept_failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(c)
	}
}

// serveConn serves one accepted connection until it ends or is transferred.
func (s *Server) serveConn(c *downstreamConn) {
	defer c.terminate()
	until := c.since.Add(headTimeout)
	s.serveRequests(c, until, nil)
}

// serveRequests serves the requests of a connection on which no answer is outstanding. It waits for
// the first one until the given time. The reader, if not nil, has read some of the input.
func (s *Server) serveRequests(c *downstreamConn, until time.Time, r *bufio.Reader) {
	for {
		if r != nil && r.Buffered() == 0 {
			r.Reset(nil)
			readerPool.Put(r)
			r = nil
		}
		if s.transfersRequests() && s.transferIdle(c, r) {
			return
		}
		if r == nil {
			if c.awaitRequest(until) != nil {
				passed := s.hasSuccessor() && s.transferIdle(c, r)
				if passed || !c.hasInput() { // something may have come while a successor that does not take it was asked to
					return
				}
			}
			r = readerPool.Get().(*bufio.Reader)
			r.Reset(c)
		}
		switch lasts, passed := s.exchange(c, r); {
		case passed:
			return
		case !lasts:
			c.lingeringClose()
			return
		}
		until = c.finishRequest(r)
	}
}

// exchange reads one request and answers it. It reports whether the connection stays open for
// another one, and whether the successor has the connection now.
func (s *Server) exchange(c *downstreamConn, r *bufio.Reader) (lasts, passed bool) {
	w := &reply{client: c, transfer: s.relayTransfer(r)}
	lasts = s.answerRequest(c, r, w)
	return lasts, w.transferred
}

// answerRequest reads one request and answers it, or transfers it to the successor.
func (s *Server) answerRequest(c *downstreamConn, r *bufio.Reader, w *reply) (lasts bool) {
	until, overLimit := c.beginRequest()
	c.Conn.SetReadDeadline(until)
	head, err := readRequest(r)
	var invalid *requestError
	switch {
	case c.readAborted.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		w.keepAlive = false
		return w.answer(core.RejectedAnswer(&s.config.Settings))
	case errors.As(err, &invalid):
		s.logRequestError(invalid.status, invalid.text)
		return w.error(invalid.status, invalid.text)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.Buffered() > 0:
		return w.error(http.StatusRequestTimeout, "the head did not come in time")
	case err != nil:
		return false
	}
	w.http10 = !head.ProtoAtLeast(1, 1)
	body := newRequestBody(head, r)
	w.keepAlive = !head.Close && !w.http10
	unread := head.ContentLength != 0 // what stands in its place in the connection's stream is no request
	if !unread && s.transfersRequests() {
		if w.transferred = s.transferRequest(c, r, head, nil, nil); w.transferred {
			return false
		}
	}
	if head.URL.Path == "/ready" && head.Header.Get("X-Txn") == "" {
		w.keepAlive = w.keepAlive && !unread && !s.closesAfterAnswer(c, r.Buffered()+len(c.readAhead))
		if !s.lifecycle.IsReady() {
			return w.status(http.StatusServiceUnavailable, "not ready")
		}
		return w.status(http.StatusOK, "")
	}
	complete := head.ContentLength > 0 && int64(r.Buffered()) >= head.ContentLength // and what stands behind it may be a request
	if answer, redirected := s.redirectAnswer(); overLimit || redirected && !(unread && (complete || s.transfersRequests())) {
		w.keepAlive = w.keepAlive && !overLimit && !unread && !s.closesAfterAnswer(c, r.Buffered()+len(c.readAhead))
		return w.answer(answer)
	}
	req, status, text := s.parseRequest(head)
	if text != "" {
		s.logRequestError(status, text)
		return w.error(status, text) // what follows on the connection may be no request
	}
	if unread && expectsContinue(head) && !w.http10 {
		if !w.informational("HTTP/1.1 100 Continue\r\n\r\n") {
			return false
		}
	}
	w.writeTimeout = min(max(req.Remaining, minWriteTimeout), writeTimeout)
	held, err := s.readBody(c, head, req, body)
	defer s.memory.Bodies.Release(held)
	switch {
	case errors.Is(err, errNoMemory), err != nil && c.readAborted.Load():
		w.keepAlive = false
		return w.answer(core.RejectedAnswer(&s.config.Settings))
	case errors.Is(err, errTooLarge):
		return w.error(http.StatusRequestEntityTooLarge, "request body too large")
	case err != nil:
		return w.error(http.StatusBadRequest, "request body cut short")
	}
	if unread && s.transfersRequests() {
		rest := body
		if req.upload == nil {
			rest = nil
		}
		if w.transferred = s.transferRequest(c, r, head, req.body, rest); w.transferred {
			return false
		}
	}
	if answer, redirected := s.redirectAnswer(); redirected && req.upload == nil {
		w.keepAlive = w.keepAlive && !s.closesAfterAnswer(c, r.Buffered()+len(c.readAhead))
		return w.answer(answer) // its last byte came too late
	}
	return s.dispatch(c, r, w, req)
}

// logRequestError logs why a request is invalid. The text behind a colon may quote the client's
// input, which can be anything, and is left out.
func (s *Server) logRequestError(status int, text string) {
	text, _, _ = strings.Cut(text, ":")
	s.log.Info("caller.fault", zap.Int("status", status), zap.String("fault", text))
}

// readBody reads the body of a request into memory, or the beginning of one that is streamed. It
// returns how many bytes it has reserved of the memory for bodies, which the caller releases.
func (s *Server) readBody(c *downstreamConn, in *http.Request, req *request, from *requestBody) (held int, err error) {
	header := in.Header
	removeHopByHop(header)
	req.forwardedRequest = forwardedRequest{method: in.Method, target: in.RequestURI, host: in.Host, header: header}
	if in.ContentLength == 0 {
		return 0, nil
	}
	held = maxBufferedBody
	if in.ContentLength > 0 {
		held = min(held, int(in.ContentLength))
	}
	if !s.memory.Bodies.TryAcquire(held) {
		return 0, errNoMemory
	}
	c.enforceRate()
	body, whole, err := readUpTo(from, held)
	whole = whole || int64(len(body)) == in.ContentLength
	c.rateEnforced = !whole
	if req.body = body; err != nil || whole {
		return held, err
	}
	req.upload = newUpload(c, from, s.uploadTooLate)
	req.LongBody = true
	return held, nil
}

// readUpTo reads up to a number of bytes of a body and reports whether it is complete. The buffer
// grows with the input: a Content-Length is no evidence that so much is sent.
func readUpTo(body io.Reader, most int) (got []byte, whole bool, err error) {
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

// dispatch submits a request to the core loop and writes the answer.
func (s *Server) dispatch(c *downstreamConn, r *bufio.Reader, w *reply, req *request) (lasts bool) {
	received := time.Now()
	req.IdleConns = c.beginServing()
	if req.upload != nil {
		req.upload.transfer = s.uploadTransfer(r, w, req)
	}
	abandon := func() { s.loop.Abandon(req.Call) }
	if req.upload == nil { // else its body is read on, which shows it: see exchangeLong
		req.clientHungUp = func() bool {
			hungUp := c.hasHungUp()
			if hungUp {
				abandon()
			}
			return hungUp
		}
	}
	s.loop.Submit(req.Call, received)
	return s.awaitAnswer(c, r, w, req, abandon)
}

// awaitAnswer writes the answer to a submitted request. It calls abandon where nobody waits for the
// answer any more.
func (s *Server) awaitAnswer(c *downstreamConn, r *bufio.Reader, w *reply, req *request, abandon func()) (lasts bool) {
	var transferred <-chan struct{}
	bodyRead, readFailed := make(chan struct{}), (chan error)(nil)
	if req.upload != nil {
		bodyRead, readFailed, transferred = req.upload.bodyRead, req.upload.readFailed, req.upload.transferred
	} else {
		close(bodyRead)
	}
	var hungUp <-chan error
	for {
		select {
		case <-bodyRead:
			bodyRead = nil
			hungUp = c.watchHangup()
		case <-transferred:
			abandon()
			w.transferred = true
			return false
		case err := <-readFailed:
			abandon()
			if errors.Is(err, errTooLarge) {
				return w.error(http.StatusRequestEntityTooLarge, "request body too large")
			}
			return w.error(http.StatusBadRequest, "request body cut short")
		case err := <-hungUp:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				hungUp = c.watchHangup() // an attempt that ended stopped the reading of a body that had just ended
				continue
			}
			abandon()
			return false
		case a := <-req.Answered:
			if req.upload != nil && req.upload.markAnswered() {
				a.Discard()
				w.transferred = true
				return false
			}
			if hungUp != nil {
				c.stopWatching(hungUp)
			}
			select {
			case <-bodyRead: // both at once: either may be chosen first
				bodyRead = nil
			default:
			}
			w.keepAlive = w.keepAlive && bodyRead == nil && !s.closesAfterAnswer(c, r.Buffered()+len(c.readAhead))
			lasts := w.answer(a)
			a.Discard()
			return lasts
		}
	}
}
