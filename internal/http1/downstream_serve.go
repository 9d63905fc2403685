package http1

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/connlimit"
	"dykering/internal/core"
)

// readerPool holds buffered readers. Only connections with a request in progress use one.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}

// acceptRetryDelay is the delay after a failed accept, for example when file descriptors run out.
const acceptRetryDelay = 5 * time.Millisecond

// accept serves connections until the listener is closed. It returns the listener's error.
func (s *Server) accept() error {
	for {
		c, err := s.clients.accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.log.Warn("client.accept_failed", zap.Error(err))
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
// the first request until the given time. A reader r that is not nil holds input of the connection.
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
				transferred := s.hasSuccessor() && s.transferIdle(c, r)
				// A request may have been received while the successor declined the connection.
				if transferred || !c.hasInput() {
					return
				}
			}
			r = readerPool.Get().(*bufio.Reader)
			r.Reset(c)
		}
		keepAlive, transferred := s.exchange(c, r)
		if transferred {
			return
		}
		if !keepAlive {
			c.lingeringClose()
			return
		}
		until = c.finishRequest(r)
	}
}

// serveAfterAnswer continues with a connection whose first answer was written outside of
// serveRequests. A reader r that is not nil holds input of the connection.
func (s *Server) serveAfterAnswer(c *downstreamConn, w *reply, keepAlive bool, r *bufio.Reader) {
	switch {
	case w.transferred:
	case keepAlive:
		s.serveRequests(c, c.finishRequest(r), r)
	default:
		c.lingeringClose()
	}
}

// exchange reads one request and answers it. It reports whether the connection stays open for
// another one, and whether the connection now belongs to the successor.
func (s *Server) exchange(c *downstreamConn, r *bufio.Reader) (keepAlive, transferred bool) {
	w := &reply{client: c, transfer: s.relayTransfer(r)}
	keepAlive = s.answerRequest(c, r, w)
	return keepAlive, w.transferred
}

// answerRequest reads one request and answers it, or transfers it to the successor.
func (s *Server) answerRequest(c *downstreamConn, r *bufio.Reader, w *reply) (keepAlive bool) {
	until, overLimit := c.beginRequest()
	c.Conn.SetReadDeadline(until)
	head, reserved, err := s.readHead(r)
	defer s.memory.Heads.Release(reserved)
	if err != nil {
		return s.answerHeadError(c, r, w, err)
	}
	w.http10 = !head.ProtoAtLeast(1, 1)
	w.keepAlive = !head.Close && !w.http10
	body := newRequestBody(head, r)
	hasBody := head.ContentLength != 0
	if !hasBody && s.transfersRequests() && s.transferRequest(c, r, head, nil, nil) {
		w.transferred = true
		return false
	}
	if isReadinessCheck(head) {
		return s.answerReadiness(c, r, w, hasBody)
	}
	if answer, rejected := s.rejectUnread(r, head, overLimit); rejected {
		// The bytes of an unread body would be taken for the next request.
		w.keepAlive = w.keepAlive && !overLimit && !hasBody && !s.closesAfterAnswer(c, r)
		return w.answer(answer)
	}
	req, invalid := s.parseRequest(head)
	if invalid != nil {
		return s.answerInvalid(w, invalid)
	}
	if hasBody && expectsContinue(head) && !w.http10 && !w.informational("HTTP/1.1 100 Continue\r\n\r\n") {
		return false
	}
	return s.answerParsed(c, r, w, head, body, req)
}

// readHead reads a request up to its body. It returns the bytes that it has reserved in the memory for heads. The
// caller releases them, also after an error.
func (s *Server) readHead(r *bufio.Reader) (head *http.Request, reserved int, err error) {
	head, err = readRequest(r, func(head []byte) bool {
		weight := connlimit.HeavyPart(connlimit.HeadWeight(head))
		if !s.memory.Heads.TryAcquire(weight) {
			return false
		}
		reserved = weight
		return true
	})
	return head, reserved, err
}

// answerHeadError answers a request whose head could not be read.
func (s *Server) answerHeadError(c *downstreamConn, r *bufio.Reader, w *reply, err error) (keepAlive bool) {
	var invalid *requestError
	switch {
	case errors.Is(err, errNoMemory), c.readAborted.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		return s.rejectAndClose(w)
	case errors.As(err, &invalid):
		return s.answerInvalid(w, invalid)
	case errors.Is(err, os.ErrDeadlineExceeded) && r.Buffered() > 0:
		return w.error(http.StatusRequestTimeout, "the head did not come in time")
	}
	return false // the connection has ended
}

// answerInvalid logs and answers an invalid request, and closes the connection. The part of the text
// after a colon may quote arbitrary input of the client and is left out of the log.
func (s *Server) answerInvalid(w *reply, invalid *requestError) (keepAlive bool) {
	text, _, _ := strings.Cut(invalid.text, ":")
	s.log.Info("client.invalid_request", zap.Int("status", invalid.status), zap.String("fault", text))
	return w.error(invalid.status, invalid.text)
}

// rejectAndClose rejects a request that has not been read completely.
func (s *Server) rejectAndClose(w *reply) (keepAlive bool) {
	w.keepAlive = false
	return w.answer(core.RejectedAnswer(&s.config.Settings))
}

// isReadinessCheck reports whether a request is a load balancer's readiness check of this process. A
// request with the same path that has a request id is forwarded instead.
func isReadinessCheck(head *http.Request) bool {
	return head.URL.Path == "/ready" && head.Header.Get("X-Txn") == ""
}

// answerReadiness answers a load balancer's readiness check.
func (s *Server) answerReadiness(c *downstreamConn, r *bufio.Reader, w *reply, hasBody bool) (keepAlive bool) {
	w.keepAlive = w.keepAlive && !hasBody && !s.closesAfterAnswer(c, r)
	if !s.lifecycle.IsReady() {
		return w.status(http.StatusServiceUnavailable, "not ready")
	}
	return w.status(http.StatusOK, "")
}

// rejectUnread reports whether a request is rejected before its body is read, and returns the answer.
// A request is rejected on a connection beyond the limit, and after the grace of a drain or handover.
// In the second case, a body that is already in memory or can be transferred is read first, because
// another request may follow it.
func (s *Server) rejectUnread(r *bufio.Reader, head *http.Request, overLimit bool) (answer core.Answer, rejected bool) {
	answer, redirected := s.redirectAnswer()
	if overLimit || !redirected {
		return answer, overLimit
	}
	inMemory := head.ContentLength > 0 && int64(r.Buffered()) >= head.ContentLength
	readable := head.ContentLength != 0 && (inMemory || s.transfersRequests())
	return answer, !readable
}

// answerParsed reads the body of a request and dispatches it, or transfers it to the successor.
func (s *Server) answerParsed(c *downstreamConn, r *bufio.Reader, w *reply, head *http.Request, body *requestBody,
	req *request,
) (keepAlive bool) {
	w.writeTimeout = min(max(req.Remaining, minWriteTimeout), writeTimeout)
	reserved, err := s.readBody(c, head, req, body)
	defer s.memory.Bodies.Release(reserved)
	switch {
	case errors.Is(err, errNoMemory), err != nil && c.readAborted.Load():
		return s.rejectAndClose(w)
	case err != nil:
		return w.bodyError(err)
	}
	if head.ContentLength != 0 && s.transfersRequests() {
		rest := body
		if req.upload == nil {
			rest = nil
		}
		if s.transferRequest(c, r, head, req.body, rest) {
			w.transferred = true
			return false
		}
	}
	if answer, redirected := s.redirectAnswer(); redirected && req.upload == nil {
		// The last byte of the body was received after the grace.
		w.keepAlive = w.keepAlive && !s.closesAfterAnswer(c, r)
		return w.answer(answer)
	}
	return s.dispatch(c, r, w, req)
}

// dispatch submits a request to the core loop and writes the answer.
func (s *Server) dispatch(c *downstreamConn, r *bufio.Reader, w *reply, req *request) (keepAlive bool) {
	received := time.Now()
	req.IdleConns = c.beginServing()
	if req.upload != nil {
		req.upload.transfer = s.uploadTransfer(r, w, req)
	}
	abandon := func() { s.loop.Abandon(req.Call) }
	if req.upload == nil {
		// With an upload, reading the body detects a hang-up; see exchangeStreaming.
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

// awaitAnswer waits for the answer to a submitted request and writes it. It calls abandon if the
// client has gone, its body cannot be read, or the successor has taken over the request.
func (s *Server) awaitAnswer(c *downstreamConn, r *bufio.Reader, w *reply, req *request, abandon func()) (keepAlive bool) {
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
			return w.bodyError(err)
		case err := <-hungUp:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				// An attempt that ended has interrupted reads on the connection, just after the body had been
				// read to its end.
				hungUp = c.watchHangup()
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
			// The body may have ended at the same time as the answer came: select chooses either case.
			select {
			case <-bodyRead:
				bodyRead = nil
			default:
			}
			w.keepAlive = w.keepAlive && bodyRead == nil && !s.closesAfterAnswer(c, r)
			keepAlive := w.answer(a)
			a.Discard()
			return keepAlive
		}
	}
}
