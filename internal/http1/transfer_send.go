package http1

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"dykering/internal/handover"
)

// findHeir looks for the process that serves in this one's place.
func (s *Server) findHeir() {
	if s.config.Handover == "" {
		return
	}
	heir, err := s.network.FindSuccessor(s.config.Handover, s.heirName(), s.receiver)
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
		left := &uploadLeft{ID: string(req.ID), Wait: a.Call.Remaining, Old: w.old, Lasts: w.lasts, Pending: u.pending,
			Total: u.total, Length: u.body.length, Left: u.body.left, Chunks: u.body.chunks}
		return s.pass(u.caller, passage{Input: unread(u.caller, r), Upload: left}, c)
	}
}
