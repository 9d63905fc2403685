package dataplane

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"dykering/internal/http1"
	"dykering/internal/routing"
)

// Buffer sizes of a stream, in bytes.
const (
	copyBufferSize = 16 << 10
	// maxEventSize bounds one event of a resumable stream. An event is buffered until it is complete.
	maxEventSize = 1 << 20
)

var (
	errEventTooLong   = errors.New("a server-sent event exceeds the size limit")
	errEventTruncated = errors.New("the connection ended before the end of a server-sent event")
)

// stream sends the head of a response, with the endpoint's Content-Length if there is one, and streams the body.
func (x *exchange) stream(response *http1.EndpointResponse) attemptResult {
	x.writeHead(response, response.Length)
	return x.streamBody(response)
}

// streamBody copies the rest of a body to the client. It flushes each chunk immediately.
func (x *exchange) streamBody(response *http1.EndpointResponse) attemptResult {
	buffer := make([]byte, copyBufferSize)
	mustEndWithEvent := mustEndWithEvent(x.request.route, response)
	var events eventScanner
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			x.timing.recordChunk(time.Now())
		}
		if n > 0 && !x.writeChunk(buffer[:n]) {
			return attemptResult{answered: true, callResult: routing.Canceled}
		}
		if mustEndWithEvent {
			events.scan(buffer[:n])
		}
		switch {
		case errors.Is(err, io.EOF) && mustEndWithEvent && !events.atEventEnd:
			return x.lostResponseResult(errEventTruncated)
		case errors.Is(err, io.EOF):
			return attemptResult{answered: true, callResult: routing.Succeeded}
		case err != nil:
			return x.lostResponseResult(err)
		}
	}
}

// writeChunk writes a chunk to the client and flushes it. It returns false if the client has disconnected.
func (x *exchange) writeChunk(chunk []byte) bool {
	if _, err := x.writer.Write(chunk); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// streamEvents copies only complete server-sent events to the client. If the connection to the endpoint fails, another endpoint
// can then resume the stream after the last complete event.
func (x *exchange) streamEvents(response *http1.EndpointResponse) attemptResult {
	if !x.responseStarted {
		x.weightsVersion = response.Header.Get(headerVersions)
		x.writeHead(response, -1)
	}
	buffer := make([]byte, copyBufferSize)
	mustEndWithEvent := mustEndWithEvent(x.request.route, response)
	var events eventScanner
	var pending []byte // received bytes that were not sent to the client
	for {
		n, err := response.Read(buffer)
		complete := 0
		if ended := events.scan(buffer[:n]); ended > 0 {
			complete = len(pending) + ended
		}
		pending = append(pending, buffer[:n]...)
		isWhole := errors.Is(err, io.EOF) && (!mustEndWithEvent || events.atEventEnd)
		if isWhole {
			complete = len(pending)
		}
		if complete > 0 {
			x.timing.recordChunk(time.Now())
			if !x.writeChunk(pending[:complete]) {
				return attemptResult{answered: true, callResult: routing.Canceled}
			}
			x.rememberLastEvent(pending[:complete])
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case isWhole:
			return attemptResult{answered: true, callResult: routing.Succeeded}
		case errors.Is(err, io.EOF):
			return x.lostResponseResult(errEventTruncated)
		case err != nil:
			return x.lostResponseResult(err)
		case len(pending) > maxEventSize:
			return x.lostResponseResult(errEventTooLong)
		}
	}
}

// rememberLastEvent stores the ID of the last of the events, which were sent to the client.
func (x *exchange) rememberLastEvent(events []byte) {
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}
