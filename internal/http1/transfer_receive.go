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

// receiveTransfers begins to receive the predecessor's connections, and returns the function that
// ends this. It returns nil without a handover directory; clients then go from one process to the
// other by redirects.
func (s *Server) receiveTransfers() (close func()) {
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

// acceptTransfer implements handover.Take: it reserves what a transferred connection needs.
func (s *Server) acceptTransfer(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
	var p connTransfer
	if err := json.Unmarshal(state, &p); err != nil || p.Version != transferVersion || !p.validFor(conns) {
		s.log.Warn("handover.declined", zap.Int("version", p.Version), zap.Int("connections", len(conns)), zap.Error(err))
		return nil, nil, false
	}
	if p.State != nil {
		return func() { s.loop.ApplyHandoverUpdate(p.State) }, func() {}, true
	}
	c := &downstreamConn{Conn: conns[0], tracker: &s.clients, since: time.Now(), readAhead: p.Input}
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
	case p.Upload != nil:
		return func() { go s.serveUpload(c, p.Upload, conns[1]) }, drop, true
	case p.Relay == nil:
		return func() { go s.serveTransferred(c) }, drop, true
	}
	l := s.resumeRelay(c, p.Relay, conns[1:])
	return func() { go s.serveRelay(c, l, conns[1:]) }, drop, true
}

// resumeRelay returns the relay that continues from a state.
func (s *Server) resumeRelay(c *downstreamConn, state *relayState, upstream []net.Conn) *relay {
	l := &relay{client: c, pending: state.Pending, chunked: state.Chunked, http10: state.HTTP10, keepAlive: state.KeepAlive,
		buffers: s.memory.Buffers, transfer: s.relayTransfer(nil), body: &responseBody{finished: true}}
	if state.Finished {
		return l
	}
	up := newUpstreamConn(upstream[0], core.NewEndpoint(0, upstream[0].RemoteAddr().String()))
	up.readAhead, up.readLimit = state.Input, state.ReadLimit
	l.source = up
	l.body = &responseBody{conn: up, reader: up.reader, length: state.Length, maxLength: maxStreamedBody, read: state.Read,
		untilClose: state.UntilClose}
	if state.Chunks != nil {
		l.body.chunks = state.Chunks
		l.body.chunks.r = up.reader
		l.body.reader = l.body.chunks
	}
	return l
}

// serveTransferred serves a transferred connection on which no answer is outstanding.
func (s *Server) serveTransferred(c *downstreamConn) {
	defer c.terminate()
	s.serveRequests(c, c.since.Add(idleTimeout), nil)
}

// serveRelay continues a transferred relay, and then serves its client's connection.
func (s *Server) serveRelay(c *downstreamConn, l *relay, upstream []net.Conn) {
	defer c.terminate()
	w := &reply{client: c}
	keepAlive := w.relay(l)
	for _, up := range upstream {
		up.Close()
		s.loop.ReleaseConn()
	}
	s.serveAfterAnswer(c, w, keepAlive, nil)
}

// serveUpload continues a transferred upload, relays its response, and then serves its client's
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
	host := &resumedHost{server: s, answer: req.Answered}
	e := core.NewEndpoint(0, upstream.RemoteAddr().String())
	a := core.NewAttempt(req.Call, e, 0, host)
	s.loop.AdoptAttempt(a)
	go func() {
		defer a.Close()
		res := newAttempt(a, s.network).exchangeOver(newUpstreamConn(upstream, e), s.memory)
		if res.conn != nil {
			res.conn.Close()
		}
		s.loop.AdoptedEnded(a)
		host.finish(res)
	}()
	abandon := func() {
		host.abandon()
		a.Cancel()
	}
	keepAlive := s.awaitAnswer(c, r, w, req, abandon)
	s.serveAfterAnswer(c, w, keepAlive, r)
}
