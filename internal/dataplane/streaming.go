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

const (
	copyBuffer = 16 << 10
	// mostEvent bounds one event of a stream that may be resumed.
	mostEvent = 1 << 20
)

// eventEnd is the empty line that ends an event.
var eventEnd = []byte("\n\n")

// relay passes a stream on as it comes. It ends with the length that its endpoint gave, if any.
func (c *carrying) relay(answer *http1.EndpointResponse) outcome {
	c.writeHead(answer, answer.Length)
	return c.copyRest(answer)
}

// copyRest passes the rest of a body on, each piece at once. One that is cut ends the client's connection.
func (c *carrying) copyRest(answer *http1.EndpointResponse) outcome {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			c.account.piece(time.Now())
		}
		if n > 0 && !c.write(buffer[:n]) {
			return outcome{answered: true, result: routing.Canceled}
		}
		if errors.Is(err, io.EOF) {
			return outcome{answered: true, result: routing.Succeeded}
		}
		if err != nil {
			return c.broken(err)
		}
	}
}

// write sends a piece to the client at once. It is false where the client has gone.
func (c *carrying) write(piece []byte) bool {
	if _, err := c.writer.Write(piece); err != nil {
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}

// relayEvents passes a stream on by whole events, so that another endpoint may go on where this one breaks off.
func (c *carrying) relayEvents(answer *http1.EndpointResponse) outcome {
	if !c.begun {
		c.version = answer.Header.Get(headerVersions)
		c.writeHead(answer, -1)
	}
	buffer := make([]byte, copyBuffer)
	var pending []byte
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			c.account.piece(time.Now())
			if !c.write(pending[:whole]) {
				return outcome{answered: true, result: routing.Canceled}
			}
			c.noteEvents(pending[:whole])
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return outcome{answered: true, result: routing.Succeeded}
		case err != nil:
			return c.broken(err)
		case len(pending) > mostEvent:
			return c.broken(errLongEvent)
		}
	}
}

var errLongEvent = errors.New("an event is too long")

// wholeEvents is how much of a piece of a stream is whole events.
func wholeEvents(piece []byte) int {
	at := bytes.LastIndex(piece, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// noteEvents remembers the id of the last event.
func (c *carrying) noteEvents(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastEvent = string(bytes.TrimSpace(id))
		}
	}
}
