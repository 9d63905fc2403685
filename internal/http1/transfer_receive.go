package http1

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/decision"
)

// receiveTransfers starts receiving the predecessor's connections, and returns the function that ends
// this. It returns nil if transfers are not configured or the receiver cannot be created. The
// predecessor then redirects its clients instead.
func (s *Server) receiveTransfers() (stop func()) {
	if !s.sharesListener() || s.config.Handover == "" {
		return nil
	}
	receiver, err := s.network.Receive(s.config.Handover, s.handoverName())
	if err != nil {
		s.log.Warn("handover.cannot_receive", zap.Error(err))
		return nil
	}
	s.receiver = receiver
	go func() {
		if err := receiver.Serve(s.acceptTransfer); err != nil {
			s.log.Warn("handover.cannot_receive", zap.Error(err))
		}
	}()
	return func() { receiver.Close() }
}

// acceptTransfer implements handover.Handler. It reserves the capacity that a transferred connection
// needs, and reports whether it accepts the transfer. Of the returned functions, start begins to
// serve the connection, and drop releases the capacity.
func (s *Server) acceptTransfer(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
	var transfer connTransfer
	if err := json.Unmarshal(state, &transfer); err != nil || transfer.Version != transferVersion || !transfer.validFor(conns) {
		s.log.Warn("handover.declined", zap.Int("version", transfer.Version), zap.Int("connections", len(conns)), zap.Error(err))
		return nil, nil, false
	}
	if transfer.State != nil {
		return func() { s.loop.ApplyHandoverUpdate(transfer.State) }, func() {}, true
	}
	c := &downstreamConn{Conn: conns[0], tracker: &s.clients, since: time.Now(), readAhead: transfer.Input}
	if !s.lifecycle.CanServe() || !s.clients.adopt(c) {
		return nil, nil, false
	}
	if len(conns) > 1 && !s.loop.ReserveConn() {
		c.terminate()
		return nil, nil, false
	}
	drop = func() {
		c.terminate()
		if len(conns) > 1 {
			s.loop.ReleaseConn()
		}
	}
	switch {
	case transfer.Upload != nil:
		return func() { go s.serveUpload(c, transfer.Upload, conns[1]) }, drop, true
	case transfer.Relay == nil:
		return func() { go s.serveTransferred(c) }, drop, true
	}
	l := s.resumeRelay(c, transfer.Relay, conns[1:])
	return func() { go s.serveRelay(c, l, conns[1:]) }, drop, true
}

// resumeRelay returns the relay that continues from a transferred state.
func (s *Server) resumeRelay(c *downstreamConn, state *relayState, upstream []net.Conn) *relay {
	l := &relay{
		client: c, pending: state.Pending, chunked: state.Chunked, http10: state.HTTP10, keepAlive: state.KeepAlive,
		buffers: s.memory.Buffers, transfer: s.relayTransfer(nil), body: &responseBody{finished: true},
	}
	if state.Finished {
		return l
	}
	conn := newUpstreamConn(upstream[0], core.NewEndpoint(0, upstream[0].RemoteAddr().String()))
	conn.readAhead, conn.readLimit = state.Input, state.ReadLimit
	l.source = conn
	l.body = &responseBody{
		conn: conn, reader: conn.reader, length: state.Length, maxLength: maxStreamedBody, read: state.Read,
		untilClose: state.UntilClose,
	}
	if state.Chunks != nil {
		l.body.chunks = state.Chunks
		l.body.chunks.r = conn.reader
		l.body.reader = l.body.chunks
	}
	return l
}

// serveTransferred serves a transferred connection on which no answer is outstanding.
func (s *Server) serveTransferred(c *downstreamConn) {
	defer c.terminate()
	s.serveRequests(c, c.since.Add(idleTimeout), nil)
}

// serveRelay continues a transferred relay, and then serves the client's connection.
func (s *Server) serveRelay(c *downstreamConn, l *relay, upstream []net.Conn) {
	defer c.terminate()
	w := &reply{client: c}
	keepAlive := w.relay(l)
	for _, conn := range upstream {
		conn.Close()
		s.loop.ReleaseConn()
	}
	s.serveAfterAnswer(c, w, keepAlive, nil)
}

// serveUpload continues a transferred upload, writes the answer, and then serves the client's
// connection.
func (s *Server) serveUpload(c *downstreamConn, state *uploadState, upstream net.Conn) {
	defer c.terminate()
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(c)
	w := &reply{client: c, http10: state.HTTP10, keepAlive: state.KeepAlive, transfer: s.relayTransfer(r)}
	body := &requestBody{r: r, length: state.Length, remaining: state.Remaining, chunks: state.Chunks}
	if body.chunks != nil {
		body.chunks.r = r
	}
	req := newRequest()
	req.ID, req.Remaining, req.LongBody = decision.RequestID(state.ID), state.AnswerTimeout, true
	req.upload = newUpload(c, body, s.uploadTooLate)
	req.upload.received, req.upload.pending, req.upload.resumed = state.Received, state.Pending, true
	req.upload.transfer = s.uploadTransfer(r, w, req)
	c.beginServing()
	c.enforceRate()
	observer := &resumedObserver{server: s, answer: req.Answered}
	endpoint := core.NewEndpoint(0, upstream.RemoteAddr().String())
	a := core.NewAttempt(req.Call, endpoint, 0, observer)
	s.loop.AdoptAttempt(a)
	go func() {
		defer a.Close()
		res := newAttempt(a, s.network).exchangeOver(newUpstreamConn(upstream, endpoint), s.memory)
		if res.conn != nil {
			res.conn.Close()
		}
		s.loop.AdoptedEnded(a)
		observer.finish(res)
	}()
	abandon := func() {
		observer.abandon()
		a.Cancel()
	}
	keepAlive := s.awaitAnswer(c, r, w, req, abandon)
	s.serveAfterAnswer(c, w, keepAlive, r)
}
