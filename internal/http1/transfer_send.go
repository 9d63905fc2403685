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

// findSuccessor looks for the process that replaces this one. Without a successor, clients are
// redirected instead of transferred.
func (s *Server) findSuccessor() {
	if s.config.Handover == "" {
		return
	}
	successor, err := s.network.FindSuccessor(s.config.Handover, s.handoverName(), s.receiver)
	if err != nil {
		s.log.Warn("handover.no_successor", zap.Error(err))
		return
	}
	s.successor.Store(&successor)
}

// handoverName is the name under which a process and its successor find each other.
func (s *Server) handoverName() string { return s.config.Name + " " + s.config.Listen }

// hasSuccessor reports whether connections can be transferred to a successor.
func (s *Server) hasSuccessor() bool {
	successor := s.successor.Load()
	return successor != nil && (*successor).Alive()
}

// transfersRequests reports whether idle connections and requests that have not been dispatched are
// transferred to the successor. During the grace before that, each client is redirected with its next
// answer, and the load balancer distributes the clients again, so that the load moves gradually. A
// successor that has just started cannot estimate its load if it receives all clients at once.
func (s *Server) transfersRequests() bool {
	_, since, _ := s.lifecycle.Now()
	return s.hasSuccessor() && time.Since(since) > s.handoverGrace
}

// transferConn transfers a client's connection to the successor, together with an endpoint's
// connection unless that is nil. After an error other than handover.ErrDeclined, the successor may
// hold a copy of the socket.
func (s *Server) transferConn(c *downstreamConn, transfer connTransfer, upstream *upstreamConn) error {
	conns := []net.Conn{c.Conn}
	if upstream != nil {
		conns = append(conns, upstream.Conn)
	}
	err := s.sendToSuccessor(transfer, conns...)
	c.maybeShared.Store(err != nil && !errors.Is(err, handover.ErrDeclined))
	return err
}

// sendToSuccessor sends a transfer and its connections to the successor. Without an error, the
// connections belong to the successor.
func (s *Server) sendToSuccessor(transfer connTransfer, conns ...net.Conn) error {
	transfer.Version = transferVersion
	state, err := json.Marshal(transfer)
	if err != nil {
		return err
	}
	err = (*s.successor.Load()).Pass(state, conns...)
	if err != nil && !errors.Is(err, handover.ErrDeclined) {
		s.log.Warn("handover.transfer_failed", zap.Error(err))
	}
	return err
}

// unreadInput returns the bytes that have been read from a client's connection but not processed.
func unreadInput(c *downstreamConn, r *bufio.Reader) []byte {
	if r == nil {
		return c.readAhead
	}
	buffered, _ := r.Peek(r.Buffered()) // cannot fail: no more than is buffered
	return append(bytes.Clone(buffered), c.readAhead...)
}

// transferIdle transfers a connection on which no answer is outstanding, and reports whether it
// did.
func (s *Server) transferIdle(c *downstreamConn, r *bufio.Reader) bool {
	return s.transferConn(c, connTransfer{Input: unreadInput(c, r)}, nil) == nil
}

// transferRequest transfers a connection with a request that has not been dispatched, and reports
// whether it did. The request is encoded again with the part of the body that has been read, so that
// the successor reads it like input from the client. If the body is incomplete, rest is its reader;
// else rest is nil.
func (s *Server) transferRequest(c *downstreamConn, r *bufio.Reader, head *http.Request, body []byte, rest *requestBody) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s %s\r\n", head.Method, head.RequestURI, head.Proto)
	if head.Host != "" {
		fmt.Fprintf(&b, "Host: %s\r\n", head.Host)
	}
	if head.Close {
		b.WriteString("Connection: close\r\n")
	}
	chunks := rest != nil && rest.chunks != nil
	switch {
	case chunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case rest != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", rest.length)
	case len(body) > 0 || head.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	head.Header.WriteSubset(&b, map[string]bool{"Content-Length": true, "Connection": true, "Host": true})
	b.WriteString("\r\n")
	if chunks {
		rest.chunks.reencode(&b, body)
	} else {
		b.Write(body)
	}
	b.Write(unreadInput(c, r))
	return s.transferConn(c, connTransfer{Input: b.Bytes()}, nil) == nil
}

// relayTransfer returns the function that transfers a relay. The client's connection is read with r,
// which may be nil.
func (s *Server) relayTransfer(r *bufio.Reader) transferFunc {
	return func(l *relay) error {
		if !s.hasSuccessor() {
			return handover.ErrNoReceiver
		}
		state := &relayState{
			Pending:   l.pending,
			Chunked:   l.chunked,
			HTTP10:    l.http10,
			KeepAlive: l.keepAlive,
			Finished:  l.body.finished,
		}
		var upstream *upstreamConn
		if !l.body.finished {
			upstream = l.body.conn
			buffered, _ := upstream.reader.Peek(upstream.reader.Buffered())
			state.Input = append(bytes.Clone(buffered), upstream.readAhead...)
			state.ReadLimit, state.Length, state.Read = upstream.readLimit, l.body.length, l.body.read
			state.UntilClose, state.Chunks = l.body.untilClose, l.body.chunks
		}
		return s.transferConn(l.client, connTransfer{Input: unreadInput(l.client, r), Relay: state}, upstream)
	}
}

// uploadTransfer returns the function that transfers the upload of a request. The client's connection
// is read with r, and w writes the answer.
func (s *Server) uploadTransfer(r *bufio.Reader, w *reply, req *request) func(*attempt, *upstreamConn) error {
	return func(a *attempt, c *upstreamConn) error {
		if !s.hasSuccessor() {
			return handover.ErrNoReceiver
		}
		u := req.upload
		state := &uploadState{
			ID:            string(req.ID),
			AnswerTimeout: a.Call.Remaining,
			HTTP10:        w.http10,
			KeepAlive:     w.keepAlive,
			Pending:       u.pending,
			Received:      u.received,
			Length:        u.body.length,
			Remaining:     u.body.remaining,
			Chunks:        u.body.chunks,
		}
		return s.transferConn(u.client, connTransfer{Input: unreadInput(u.client, r), Upload: state}, c)
	}
}
