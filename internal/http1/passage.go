package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/handover"
)

// passageVersion is the version of passage. A process that does not know the one that it is offered declines it,
// and what was offered ends where it is.
const passageVersion = 1

// passage is what a process that ends tells its successor of a caller's connection: what has been read of it and
// not been answered, and the long answer or the long body that is on its way on it. Without a connection it is a word
// of the process itself.
type passage struct {
	Version int         `json:"version"`
	Input   []byte      `json:"input,omitempty"`
	Relay   *relayLeft  `json:"relay,omitempty"`
	Upload  *uploadLeft `json:"upload,omitempty"`
	Word    *core.Word  `json:"word,omitempty"`
}

// uploadLeft is what is left of a long body, on its way to an endpoint: a request that goes out once and cannot be
// sent again, so that nothing is left to decide about it but what its outcome means.
type uploadLeft struct {
	ID      string        `json:"id"`
	Wait    time.Duration `json:"wait"` // for the answer, from the body's last byte on
	Old     bool          `json:"old,omitempty"`
	Lasts   bool          `json:"lasts,omitempty"`
	Pending []byte        `json:"pending,omitempty"`
	Total   int64         `json:"total"`
	Length  int64         `json:"length"`
	Left    int64         `json:"left,omitempty"`
	Chunks  *chunked      `json:"chunks,omitempty"`
}

// relayLeft is what is left of a relay.
type relayLeft struct {
	Pending []byte   `json:"pending,omitempty"`
	Framed  bool     `json:"framed,omitempty"`
	Old     bool     `json:"old,omitempty"`
	Lasts   bool     `json:"lasts,omitempty"`
	Ended   bool     `json:"ended,omitempty"` // nothing more comes from the endpoint
	Input   []byte   `json:"input,omitempty"` // from the endpoint, that is not in Pending
	Allowed int      `json:"allowed,omitempty"`
	Length  int64    `json:"length,omitempty"`
	Read    int64    `json:"read,omitempty"`
	ToClose bool     `json:"toClose,omitempty"`
	Chunks  *chunked `json:"chunks,omitempty"`
}

// findHeir looks for the process that serves in this one's place.
func (s *Server) findHeir() {
	if s.config.Handover == "" {
		return
	}
	heir, err := s.network.Find(s.config.Handover, s.heirName(), s.receiver)
	if err != nil {
		s.log.Warn("handover.no_successor", zap.Error(err)) // callers are sent away instead
		return
	}
	s.heir.Store(&heir)
}

// heirName is the name under which this process and its successor find each other.
func (s *Server) heirName() string { return s.config.Name + " " + s.config.Listen }

// handing tells whether connections are passed on to a successor.
func (s *Server) handing() bool {
	heir := s.heir.Load()
	return heir != nil && (*heir).Alive()
}

// moves tells whether requests that have not been decided about are passed on to the successor, and what is idle with
// them. Until then callers are sent away one by one, each with its answer, and the front spreads them: a process that
// has just begun to serve cannot judge all that comes if all of it comes at once (HANDOVER.md).
func (s *Server) moves() bool {
	_, since, _ := s.life.Now()
	return s.handing() && time.Since(since) > s.handsFor
}

// pass gives a caller's connection to the successor, and with it an endpoint's where there is one. One that does not take
// it in time, or not any more, may have a copy of it.
func (s *Server) pass(c *caller, p passage, upstream *conn) error {
	raw := []net.Conn{c.Conn}
	if upstream != nil {
		raw = append(raw, upstream.Conn)
	}
	err := s.hand(p, raw...)
	c.offered.Store(err != nil && !errors.Is(err, handover.ErrDeclined))
	return err
}

// hand gives a passage to the successor.
func (s *Server) hand(p passage, raw ...net.Conn) error {
	p.Version = passageVersion
	state, err := json.Marshal(p)
	if err != nil {
		return err
	}
	err = (*s.heir.Load()).Pass(state, raw...)
	if err != nil && !errors.Is(err, handover.ErrDeclined) {
		s.log.Warn("handover.broke_off", zap.Error(err))
	}
	return err
}

// unread is what has been read of a caller's connection and not been used.
func unread(c *caller, r *bufio.Reader) []byte {
	if r == nil {
		return c.input
	}
	got, _ := r.Peek(r.Buffered()) // never more than there is
	return append(bytes.Clone(got), c.input...)
}

// passIdle passes on a connection on which nothing is owed.
func (s *Server) passIdle(c *caller, r *bufio.Reader) bool {
	return s.pass(c, passage{Input: unread(c, r)}, nil) == nil
}

// passRequest passes on a connection with a request on it that no decision has been made about, and of whose body
// some may still be to come: the successor reads it as if it had come there.
func (s *Server) passRequest(c *caller, r *bufio.Reader, in *http.Request, body []byte, rest *requestBody) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s %s\r\n", in.Method, in.RequestURI, in.Proto)
	if in.Host != "" {
		fmt.Fprintf(&b, "Host: %s\r\n", in.Host)
	}
	if in.Close {
		b.WriteString("Connection: close\r\n")
	}
	chunks := rest != nil && rest.chunks != nil
	switch {
	case chunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case rest != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", rest.length)
	case len(body) > 0 || in.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	in.Header.WriteSubset(&b, map[string]bool{"Content-Length": true, "Connection": true, "Host": true})
	b.WriteString("\r\n")
	if chunks {
		rest.chunks.replay(&b, body)
	} else {
		b.Write(body)
	}
	b.Write(unread(c, r))
	return s.pass(c, passage{Input: b.Bytes()}, nil) == nil
}

// giftOf passes on a long answer to a caller whose connection is read by r.
func (s *Server) giftOf(r *bufio.Reader) gift {
	return func(l *relay) error {
		if !s.handing() {
			return handover.ErrNobody
		}
		left := &relayLeft{Pending: l.pending, Framed: l.framed, Old: l.old, Lasts: l.lasts, Ended: l.body.ended}
		var upstream *conn
		if !l.body.ended {
			upstream = l.body.conn
			got, _ := upstream.reader.Peek(upstream.reader.Buffered())
			left.Input = append(bytes.Clone(got), upstream.input...)
			left.Allowed, left.Length, left.Read = upstream.left, l.body.length, l.body.read
			left.ToClose, left.Chunks = l.body.toClose, l.body.chunks
		}
		return s.pass(l.caller, passage{Input: unread(l.caller, r), Relay: left}, upstream)
	}
}

// giftOfUpload passes on a long body.
func (s *Server) giftOfUpload(r *bufio.Reader, w *reply, req *request) func(*attempt, *conn) error {
	return func(a *attempt, c *conn) error {
		if !s.handing() {
			return handover.ErrNobody
		}
		u := req.more
		left := &uploadLeft{ID: string(req.ID), Wait: a.Call.Left, Old: w.old, Lasts: w.lasts, Pending: u.pending,
			Total: u.total, Length: u.body.length, Left: u.body.left, Chunks: u.body.chunks}
		return s.pass(u.caller, passage{Input: unread(u.caller, r), Upload: left}, c)
	}
}

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

// fits tells whether a passage and what came with it are of one piece.
func (p *passage) fits(conns []net.Conn) bool {
	want := 1
	if p.Word != nil {
		return len(conns) == 0 && p.Relay == nil && p.Upload == nil && p.Input == nil
	}
	if p.Relay != nil && !p.Relay.Ended || p.Upload != nil {
		want = 2
	}
	for _, c := range conns {
		if _, ok := c.(tcpConn); !ok {
			return false
		}
	}
	return len(conns) == want && (p.Relay == nil || p.Relay.sound()) &&
		(p.Upload == nil || p.Relay == nil && p.Upload.sound())
}

// sound tells whether an upload can be gone on with.
func (u *uploadLeft) sound() bool {
	if u.Wait < 0 || u.Wait > maxRemaining || u.Total < 0 || u.Total > maxLong {
		return false
	}
	if u.Chunks != nil {
		return u.Length == -1 && u.Chunks.sound()
	}
	return u.Length <= maxLong && u.Left >= 0 && u.Left <= u.Length
}

// sound tells whether a relay can be gone on with.
func (l *relayLeft) sound() bool {
	return l.Length >= -1 && l.Length <= maxLong && l.Read >= 0 && (l.Length < 0 || l.Read <= l.Length) &&
		l.Allowed >= 0 &&
		(l.Chunks == nil || l.Chunks.sound() && l.Length == -1)
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
	req.ID, req.Left, req.Long = decision.RequestID(left.ID), left.Wait, true
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

// heirHost is what an attempt needs whose decisions were made in the process before.
type heirHost struct {
	server *Server
	answer chan core.Answer // holds one

	mu    sync.Mutex
	given bool // the answer, or nobody waits for it
}

// Written has the attempt end when its answer is no longer waited for, or the process ends.
func (h *heirHost) Written(a *core.Attempt) {
	end := time.Now().Add(a.Call.Left - h.server.config.Settings.GraceToAnswer)
	if ends := h.server.life.Ends(); !ends.IsZero() && ends.Before(end) {
		end = ends
	}
	a.EndAt(end)
}

// Begin gives a long answer.
func (h *heirHost) Begin(a *core.Attempt, r core.Response) { h.give(core.Answer{Response: r}) }

func (h *heirHost) give(a core.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.given {
		a.Discard()
		return
	}
	h.given = true
	h.answer <- a
}

// lapse notes that nobody waits for an answer any more.
func (h *heirHost) lapse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.given = true
	select {
	case a := <-h.answer:
		a.Discard()
	default:
	}
}

// outcome gives the final answer that follows from how the only attempt ended: it is not made again, as what went
// out of it is not kept.
func (h *heirHost) outcome(res result) {
	switch {
	case res.status == decision.OK && res.response != nil && res.response.more == nil:
		h.give(core.Answer{Response: res.response})
	case res.status.NeverRan():
		h.give(core.TurnedAway(&h.server.config.Settings))
	default:
		h.give(core.Answer{})
	}
}
