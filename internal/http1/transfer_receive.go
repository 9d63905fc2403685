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

// receive takes over the connections of the process before. Without a way to it the two work as they did before
// there was one: callers are sent from one to the other.
func (s *Server) receive() (close func()) {
	if !s.handsOver() || s.config.Handover == "" {
		return nil
	}
	receiver, err := s.network.Receive(s.config.Handover, s.heirName())
	if err != nil {
		s.log.Warn("handover.cannot_receive", zap.Error(err))
		return nil
	}
	s.receiver = receiver
	go func() {
		if err := receiver.Serve(s.adopt); err != nil {
			s.log.Warn("handover.cannot_receive", zap.Error(err))
		}
	}()
	return func() { receiver.Close() }
}

// adopt makes room for a connection of the process before.
func (s *Server) adopt(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
	var p passage
	if err := json.Unmarshal(state, &p); err != nil || p.Version != passageVersion || !p.fits(conns) {
		s.log.Warn("handover.declined", zap.Int("version", p.Version), zap.Int("connections", len(conns)), zap.Error(err))
		return nil, nil, false
	}
	if p.Word != nil {
		return func() { s.loop.Heed(p.Word) }, func() {}, true
	}
	c := &caller{Conn: conns[0], callers: &s.callers, began: time.Now(), input: p.Input}
	if !s.life.CanServe() || !s.callers.adopt(c) {
		return nil, nil, false
	}
	if len(conns) > 1 && !s.loop.Reserve() {
		c.end()
		return nil, nil, false
	}
	drop = func() {
		c.end()
		if len(conns) > 1 {
			s.loop.Unreserve()
		}
	}
	switch {
	case p.Upload != nil:
		return func() { go s.serveUpload(c, p.Upload, conns[1]) }, drop, true
	case p.Relay == nil:
		return func() { go s.serveAdopted(c) }, drop, true
	}
	l := s.resume(c, p.Relay, conns[1:])
	return func() { go s.serveRelay(c, l, conns[1:]) }, drop, true
}

// resume makes a relay of what is left of one.
func (s *Server) resume(c *caller, left *relayLeft, upstream []net.Conn) *relay {
	l := &relay{caller: c, pending: left.Pending, framed: left.Framed, old: left.Old, lasts: left.Lasts,
		buffers: s.memory.Buffers, gift: s.giftOf(nil), body: &answerBody{ended: true}}
	if left.Ended {
		return l
	}
	up := newConn(upstream[0], core.NewEndpoint(0, upstream[0].RemoteAddr().String()))
	up.input, up.left = left.Input, left.Allowed
	l.from = up
	l.body = &answerBody{conn: up, reader: up.reader, length: left.Length, longest: maxLong, read: left.Read,
		toClose: left.ToClose}
	if left.Chunks != nil {
		l.body.chunks = left.Chunks
		l.body.chunks.r = up.reader
		l.body.reader = l.body.chunks
	}
	return l
}

// serveAdopted serves a caller's connection that was another process's.
func (s *Server) serveAdopted(c *caller) {
	defer c.end()
	s.serveFrom(c, c.began.Add(idleTimeout), nil)
}

// serveRelay goes on with a long answer, and then with its caller's connection.
func (s *Server) serveRelay(c *caller, l *relay, upstream []net.Conn) {
	defer c.end()
	w := &reply{caller: c}
	lasts := w.relay(l)
	for _, up := range upstream {
		up.Close()
		s.loop.Unreserve()
	}
	switch {
	case w.passed:
	case lasts:
		s.serveFrom(c, c.rest(nil), nil)
	default:
		c.linger()
	}
}

// serveUpload goes on with a long body, passes its answer back, and then serves its caller's connection.
func (s *Server) serveUpload(c *caller, left *uploadLeft, upstream net.Conn) {
	defer c.end()
	r := readers.Get().(*bufio.Reader)
	r.Reset(c)
	w := &reply{caller: c, old: left.Old, lasts: left.Lasts, gift: s.giftOf(r)}
	body := &requestBody{r: r, length: left.Length, left: left.Left, chunks: left.Chunks}
	if body.chunks != nil {
		body.chunks.r = r
	}
	req := newRequest()
	req.ID, req.Remaining, req.LongBody = decision.RequestID(left.ID), left.Wait, true
	req.more = newUpload(c, body, s.tooLate)
	req.more.total, req.more.pending, req.more.resumed = left.Total, left.Pending, true
	req.more.gift = s.giftOfUpload(r, w, req)
	c.served()
	c.pace()
	host := &heirHost{server: s, answer: req.Final}
	e := core.NewEndpoint(0, upstream.RemoteAddr().String())
	a := core.NewAttempt(req.Call, e, 0, host)
	s.loop.Adopt(a)
	go func() {
		defer a.Close()
		res := newAttempt(a, s.network).over(newConn(upstream, e), s.memory)
		if res.conn != nil {
			res.conn.Close()
		}
		s.loop.Disown(a)
		host.outcome(res)
	}()
	lapse := func() {
		host.lapse()
		a.Cancel()
	}
	switch lasts := s.await(c, r, w, req, lapse); {
	case w.passed:
	case lasts:
		s.serveFrom(c, c.rest(r), r)
	default:
		c.linger()
	}
}
