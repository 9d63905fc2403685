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

// response is an endpoint's response: the whole of it, or its beginning and the rest as a download.
type response struct {
	header http.Header
	body   []byte
	// The rest of a streamed response; nil for one in memory.
	rest *download
	// The memory from which body is reserved.
	memory *core.Memory
}

// Discard implements core.Response: it releases the memory, and ends the attempt of a streamed
// response that nobody has relayed.
func (r *response) Discard() {
	r.memory.Bodies.Release(len(r.body))
	if r.rest != nil {
		select {
		case r.rest.done <- errClientGone:
		default:
		}
	}
}

// download is the unread rest of a streamed response. Who relays it reads body, and sends on done
// how the endpoint's side ended: nil, its error, or errClientGone. The channel holds one value.
type download struct {
	body    *responseBody
	buffers *core.Buffers
	done    chan error
}

// readResponse reads the response to the request that was written. After an error the connection
// cannot be reused; one that is not the connection's means that the response cannot be used.
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
		res.load, _ = settings.ParseLoad(report, "=") // an invalid report counts as none
	}
	switch {
	case code == http.StatusOK && !a.isFullySent():
		// A success before the request's last byte is surplus to an earlier request.
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

// readBody reads the body of a successful response: all of it if it is short and is received at
// once, else its beginning.
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
				break // a slow response may be a long one: it is streamed
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

// relayBody has a streamed response relayed and returns when it has been, with the time until the
// relay began.
func (a *attempt) relayBody(r *response) (elapsed time.Duration, err error) {
	elapsed, ok := a.StartResponse(r)
	if !ok {
		return elapsed, context.DeadlineExceeded
	}
	return elapsed, <-r.rest.done
}
