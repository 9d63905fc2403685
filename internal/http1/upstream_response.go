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

// response is an endpoint's response: either complete, or its beginning and a download of the rest.
type response struct {
	header http.Header
	body   []byte
	// The rest of a streamed response; nil for a complete one.
	rest *download
	// The memory in which the bytes of body are reserved.
	memory *core.Memory
}

// Discard implements core.Response. It releases the memory, and ends the attempt of a streamed
// response that has not been relayed.
func (r *response) Discard() {
	r.memory.Bodies.Release(len(r.body))
	if r.rest != nil {
		select {
		case r.rest.done <- errClientGone:
		default:
		}
	}
}

// download is the unread rest of a streamed response. The relay reads body and sends the result on
// done.
type download struct {
	body    *responseBody
	buffers *core.Buffers
	// Receives nil at the end of the response, the error of the endpoint's side, errClientGone or
	// errTransferred. It has room for one value.
	done chan error
}

// readResponse reads the response to the request that was written. After an error the connection
// cannot be reused. An error other than an error of the connection means that the response is
// invalid.
func (a *attempt) readResponse(c *upstreamConn, memory *core.Memory) (res result, err error) {
	head, err := c.readFinalHead()
	if err != nil {
		return res, err
	}
	code, header := head.code, head.header
	body, err := newResponseBody(c, code, header, a.maxBody)
	if err != nil {
		return res, err
	}
	res.status = decision.Error
	if report := header.Get("X-Pressure"); report != "" {
		res.load, _ = settings.ParseLoad(report, "=") // an invalid report is ignored
	}
	switch {
	case code == http.StatusOK && !a.isFullySent():
		// A success before the request's last byte is a surplus response to an earlier request.
		return res, errMalformed
	case code == http.StatusOK:
		res.status = decision.OK
		removeHopByHop(http.Header(header))
		res.response, err = a.readBody(c, body, header, memory)
	case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
		if header.Get("X-Turned-Away") == "1" {
			res.status = decision.Rejected
		}
		err = body.discard()
	case code < http.StatusInternalServerError:
		// The request is at fault, not the endpoint.
		res.status = decision.InvalidResponse
		fallthrough
	default:
		err = body.discard()
	}
	if err != nil {
		return res, err
	}
	if res.response != nil && res.response.rest != nil {
		// The relay uses the connection until it ends.
		if res.elapsed, err = a.relayBody(res.response); err != nil {
			return res, err
		}
	}
	if c.reader.Buffered() > 0 && body.finished {
		a.Endpoint.NoteUnsolicitedData()
	}
	if head.keepAlive && body.finished && !body.untilClose && c.reader.Buffered() == 0 {
		c.Conn.SetDeadline(time.Time{})
		res.conn = c
	}
	return res, nil
}

// readBody reads the body of a successful response. It reads a short body that is received without
// delay completely, and only the beginning of any other.
func (a *attempt) readBody(c *upstreamConn, body *responseBody, header textproto.MIMEHeader,
	memory *core.Memory,
) (*response, error) {
	r := &response{header: http.Header(header), memory: memory}
	limit := maxBufferedBody
	if body.length >= 0 {
		limit = int(min(body.length, maxBufferedBody))
	}
	streamed := body.length > maxBufferedBody || !memory.Bodies.TryAcquire(limit)
	if streamed {
		limit = streamPrefix
		memory.Bodies.ForceAcquire(limit)
	}
	kept := 0
	defer func() { memory.Bodies.Release(limit - kept) }()
	bufferUntil := time.Now().Add(bufferTimeout)
	for !body.finished && (!streamed || len(r.body) == 0) {
		if body.length < 0 && len(r.body) > 0 {
			readable, err := c.awaitReadable(bufferUntil)
			if err != nil {
				return nil, err
			}
			if !readable {
				break // a slow response may be a long one, so it is streamed
			}
		}
		if len(r.body) == limit && body.length < 0 {
			break
		}
		if len(r.body) == cap(r.body) {
			r.body = append(make([]byte, 0, min(limit, max(512, 2*cap(r.body)))), r.body...)
		}
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		if r.body = r.body[:len(r.body)+n]; err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	kept = len(r.body)
	if !body.finished {
		r.rest = &download{body: body, buffers: memory.Buffers, done: make(chan error, 1)}
	}
	return r, nil
}

// relayBody hands a streamed response over for its relay and waits until the relay has ended. It
// returns the time until the relay began.
func (a *attempt) relayBody(r *response) (elapsed time.Duration, err error) {
	elapsed, ok := a.StartResponse(r)
	if !ok {
		return elapsed, context.DeadlineExceeded
	}
	return elapsed, <-r.rest.done
}
