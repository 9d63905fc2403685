package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"gingerlead/internal/handover"
)

// passageVersion is the version of passage. A process that does not know the one that it is offered declines it,
// and what was offered ends where it is.
const passageVersion = 1

// passage is what a process that ends tells its successor of a caller's connection: what has been read of it and
// not been answered, and the long answer that is on its way on it.
type passage struct {
	Version int        `json:"version"`
	Input   []byte     `json:"input,omitempty"`
	Relay   *relayLeft `json:"relay,omitempty"`
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
func (s *server) findHeir() {
	if s.config.Handover == "" {
		return
	}
	heir, err := handover.Dial(s.config.Handover, s.heirName(), s.receiver)
	if err != nil {
		log.Printf("%v; callers are sent to the successor instead", err)
		return
	}
	s.heir.Store(heir)
}

// heirName is the name under which this process and its successor find each other.
func (s *server) heirName() string { return s.config.Name + " " + s.config.Listen }

// handing tells whether connections are passed on to a successor.
func (s *server) handing() bool {
	heir := s.heir.Load()
	return heir != nil && heir.Alive()
}

// pass gives a caller's connection to the successor, and with it an endpoint's where there is one.
func (s *server) pass(c *caller, p passage, upstream *conn) error {
	p.Version = passageVersion
	state, err := json.Marshal(p)
	if err != nil {
		return err
	}
	raw := []net.Conn{c.Conn}
	if upstream != nil {
		raw = append(raw, upstream.Conn)
	}
	conns := make([]syscall.Conn, len(raw))
	for i, x := range raw {
		var ok bool
		if conns[i], ok = x.(syscall.Conn); !ok {
			return fmt.Errorf("%T cannot be passed on", x)
		}
	}
	err = s.heir.Load().Pass(state, conns...)
	if err != nil && !errors.Is(err, handover.ErrDeclined) {
		log.Print(err)
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
func (s *server) passIdle(c *caller, r *bufio.Reader) bool {
	return s.pass(c, passage{Input: unread(c, r)}, nil) == nil
}

// passWhole passes on a connection with a request on it that has come whole and that no decision has been made
// about: the successor reads it as if it had come there.
func (s *server) passWhole(c *caller, r *bufio.Reader, in *http.Request, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s %s\r\n", in.Method, in.RequestURI, in.Proto)
	if in.Host != "" {
		fmt.Fprintf(&b, "Host: %s\r\n", in.Host)
	}
	if in.Close {
		b.WriteString("Connection: close\r\n")
	}
	if len(body) > 0 || in.Method != http.MethodGet {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	in.Header.WriteSubset(&b, map[string]bool{"Content-Length": true, "Connection": true, "Host": true})
	b.WriteString("\r\n")
	b.Write(body)
	b.Write(unread(c, r))
	return s.pass(c, passage{Input: b.Bytes()}, nil) == nil
}

// giftOf passes on a long answer to a caller whose connection is read by r.
func (s *server) giftOf(r *bufio.Reader) gift {
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

// receive takes over the connections of the process before. Without a way to it the two work as they did before
// there was one: callers are sent from one to the other.
func (s *server) receive() (close func()) {
	if !s.handsOver() || s.config.Handover == "" {
		return nil
	}
	receiver, err := handover.Listen(s.config.Handover, s.heirName())
	if err != nil {
		log.Printf("%v; connections cannot be taken over", err)
		return nil
	}
	s.receiver = receiver
	go func() {
		if err := receiver.Serve(s.adopt); err != nil {
			log.Print(err)
		}
	}()
	return func() { receiver.Close() }
}

// adopt makes room for a connection of the process before.
func (s *server) adopt(state []byte, conns []net.Conn) (start, drop func(), ok bool) {
	var p passage
	if err := json.Unmarshal(state, &p); err != nil || p.Version != passageVersion || !p.fits(conns) {
		log.Printf("handover: version %d with %d connections cannot be taken over: %v", p.Version, len(conns), err)
		return nil, nil, false
	}
	c := &caller{Conn: conns[0], callers: &s.callers, began: time.Now(), input: p.Input}
	if !s.life.canServe() || !s.callers.adopt(c) {
		return nil, nil, false
	}
	if len(conns) > 1 && !s.loop.reserve() {
		c.end()
		return nil, nil, false
	}
	drop = func() {
		c.end()
		if len(conns) > 1 {
			s.loop.unreserve()
		}
	}
	if p.Relay == nil {
		return func() { go s.serveAdopted(c) }, drop, true
	}
	l := s.resume(c, p.Relay, conns[1:])
	return func() { go s.serveRelay(c, l, conns[1:]) }, drop, true
}

// fits tells whether a passage and what came with it are of one piece.
func (p *passage) fits(conns []net.Conn) bool {
	want := 1
	if p.Relay != nil && !p.Relay.Ended {
		want = 2
	}
	for _, c := range conns {
		if _, ok := c.(*net.TCPConn); !ok {
			return false
		}
	}
	return len(conns) == want && (p.Relay == nil || p.Relay.sound())
}

// sound tells whether a relay can be gone on with.
func (l *relayLeft) sound() bool {
	return l.Length >= -1 && l.Length <= maxLong && l.Read >= 0 && (l.Length < 0 || l.Read <= l.Length) &&
		l.Allowed >= 0 &&
		(l.Chunks == nil || l.Chunks.Stage >= chunkSize && l.Chunks.Stage <= chunkDone && l.Length == -1)
}

// resume makes a relay of what is left of one.
func (s *server) resume(c *caller, left *relayLeft, upstream []net.Conn) *relay {
	l := &relay{caller: c, pending: left.Pending, framed: left.Framed, old: left.Old, lasts: left.Lasts,
		buffers: s.loop.buffers, gift: s.giftOf(nil), body: &answerBody{ended: true}}
	if left.Ended {
		return l
	}
	up := newConn(upstream[0])
	up.input, up.left = left.Input, left.Allowed
	l.from = up
	l.body = &answerBody{conn: up, reader: up.reader, length: left.Length, longest: s.loop.longest, read: left.Read,
		toClose: left.ToClose}
	if left.Chunks != nil {
		l.body.chunks = left.Chunks
		l.body.chunks.r = up.reader
		l.body.reader = l.body.chunks
	}
	return l
}

// serveAdopted serves a caller's connection that was another process's.
func (s *server) serveAdopted(c *caller) {
	defer c.end()
	s.serveFrom(c, c.began.Add(idleTimeout))
}

// serveRelay goes on with a long answer, and then with its caller's connection.
func (s *server) serveRelay(c *caller, l *relay, upstream []net.Conn) {
	defer c.end()
	w := &reply{caller: c}
	lasts := w.relay(l)
	for _, up := range upstream {
		up.Close()
		s.loop.unreserve()
	}
	switch {
	case w.passed:
	case lasts:
		s.serveFrom(c, c.rest())
	default:
		c.linger()
	}
}

// reserve takes a place for a connection to an endpoint that the process before has made.
func (l *loop) reserve() bool {
	ok := make(chan bool, 1)
	l.post(func() { ok <- l.pool.room() })
	return <-ok
}

func (l *loop) unreserve() { l.post(func() { l.pool.open-- }) }
