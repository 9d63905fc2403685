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

// Buffers of a stream, in bytes.
const (
	copyBufferSize = 16 << 10
	// maxEventSize bounds one event of a stream that can be resumed, which is held until it is complete.
	maxEventSize = 1 << 20
)

var errEventTooLong = errors.New("an event is too long")

// eventEnd is the empty line that ends a server-sent event.
var eventEnd = []byte("\n\n")

// stream copies a response as it comes, with the length that its endpoint gave, if any.
func (x *exchange) stream(response *http1.EndpointResponse) attemptResult {
	x.writeHead(response, response.Length)
	return x.streamBody(response)
}

// streamBody copies the rest of a body, each chunk at once.
func (x *exchange) streamBody(response *http1.EndpointResponse) attemptResult {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			x.timing.recordChunk(time.Now())
		}
		if n > 0 && !x.writeChunk(buffer[:n]) {
			return attemptResult{answered: true, callResult: routing.Canceled}
		}
		if errors.Is(err, io.EOF) {
			return attemptResult{answered: true, callResult: routing.Succeeded}
		}
		if err != nil {
			return x.lostResponseResult(err)
		}
	}
}

// writeChunk sends a chunk to the client at once. It is false where the client has left.
func (x *exchange) writeChunk(chunk []byte) bool {
	if _, err := x.writer.Write(chunk); err != nil {
		return false
	}
	return http.NewResponseController(x.writer).Flush() == nil
}

// streamEvents copies a stream by complete events, so that another endpoint can resume it where this one breaks off.
func (x *exchange) streamEvents(response *http1.EndpointResponse) attemptResult {
	if !x.responseStarted {
		x.weightsVersion = response.Header.Get(headerVersions)
		x.writeHead(response, -1)
	}
	buffer := make([]byte, copyBufferSize)
	var pending []byte
	for {
		n, err := response.Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := completeEvents(pending)
		if errors.Is(err, io.EOF) {
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
		case errors.Is(err, io.EOF):
			return attemptResult{answered: true, callResult: routing.Succeeded}
		case err != nil:
			return x.lostResponseResult(err)
		case len(pending) > maxEventSize:
			return x.lostResponseResult(errEventTooLong)
		}
	}
}

// completeEvents is how many bytes of a part of a stream are complete events.
func completeEvents(received []byte) int {
	last := bytes.LastIndex(received, eventEnd)
	if last < 0 {
		return 0
	}
	return last + len(eventEnd)
}

// rememberLastEvent keeps the id of the last event that has gone to the client.
func (x *exchange) rememberLastEvent(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			x.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}
