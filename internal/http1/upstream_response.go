package http1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"time"

	"dykering/internal/core"
	"dykering/internal/decision"
	"dykering/internal/settings"
)

// response is an endpoint's answer: the whole of it, or its beginning and where there is more.
type response struct {
	header http.Header
	body   []byte
	more   *download
	memory *core.Memory // that it takes of
}

// Discard lets go of it.
func (r *response) Discard() {
	r.memory.Bodies.Give(len(r.body))
	if r.more != nil {
		select {
		case r.more.done <- errCallerGone: // nobody has passed it on
		default:
		}
	}
}

// download is the part of a long answer that is still to come. Who passes it on reads it, and tells at done how
// that ended: nil, what the endpoint's side broke with, or errCallerGone.
type download struct {
	body    *answerBody
	buffers *core.Buffers
	done    chan error
}

// read takes the response to the request that was written. An error that is not the connection's means that
// the response cannot be used; its connection is of no more use then.
func (a *attempt) read(c *conn, room *core.Memory) (res result, err error) {
	c.left = maxAnswerHead
	var code int
	var header textproto.MIMEHeader
	var lasting bool
	for range maxInformation + 1 {
		if code, header, lasting, err = readHead(c.reader); err != nil {
			return res, err
		}
		if code >= http.StatusOK {
			break
		}
	}
	if code < http.StatusOK {
		return res, errSpoilt // its real answer is still to come
	}
	body, err := newAnswerBody(c, code, header, a.longest)
	if err != nil {
		return res, err
	}
	res.status = decision.Error
	if report := header.Get("X-Pressure"); report != "" {
		res.load, _ = settings.ParseLoad(report, "=") // a report that cannot be read is none
	}
	switch {
	case code == http.StatusOK && !a.isOut():
		return res, errSpoilt // it has not been asked yet
	case code == http.StatusOK:
		res.status = decision.OK
		removeHopByHop(http.Header(header))
		res.response, err = a.take(c, body, header, room)
	case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
		if header.Get("X-Turned-Away") == "1" {
			res.status = decision.Rejected
		}
		err = body.skip()
	case code < http.StatusInternalServerError:
		res.status = decision.InvalidResponse // the request is at fault, not the endpoint
		fallthrough
	default:
		err = body.skip()
	}
	if err != nil {
		return res, err
	}
	if res.response != nil && res.response.more != nil {
		// Nobody else has the connection until the answer has been passed on.
		if res.took, err = a.pass(res.response); err != nil {
			return res, err
		}
	}
	if c.reader.Buffered() > 0 && body.ended {
		a.Endpoint.SentBeyond()
	}
	if lasting && body.ended && !body.toClose && c.reader.Buffered() == 0 {
		c.Conn.SetDeadline(time.Time{})
		res.conn = c
	}
	return res, nil
}

// take reads a good answer: the whole of it if it is short enough and comes in one go, else its beginning.
func (a *attempt) take(c *conn, body *answerBody, header textproto.MIMEHeader, room *core.Memory) (*response, error) {
	r := &response{header: http.Header(header), memory: room}
	most := maxBody
	if body.length >= 0 {
		most = int(min(body.length, maxBody))
	}
	long := body.length > maxBody || !room.Bodies.Take(most)
	if long {
		most = answerStart
		room.Bodies.Force(most)
	}
	kept := 0
	defer func() { room.Bodies.Give(most - kept) }()
	patience := time.Now().Add(answerPatience)
	for !body.ended && (!long || len(r.body) == 0) {
		if body.length < 0 && len(r.body) > 0 {
			came, err := c.awaits(patience)
			if err != nil {
				return nil, err
			}
			if !came {
				break // it comes slowly, and may be long
			}
		}
		if len(r.body) == most && body.length < 0 {
			break
		}
		if len(r.body) == cap(r.body) {
			r.body = append(make([]byte, 0, min(most, max(512, 2*cap(r.body)))), r.body...)
		}
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		if r.body = r.body[:len(r.body)+n]; err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	kept = len(r.body)
	if !body.ended {
		r.more = &download{body: body, buffers: room.Buffers, done: make(chan error, 1)}
	}
	return r, nil
}

// pass has a long answer passed on, and returns when it has been.
func (a *attempt) pass(r *response) (took time.Duration, err error) {
	took, ok := a.Begin(r)
	if !ok {
		return took, context.DeadlineExceeded
	}
	return took, <-r.more.done
}
