package dataplane

import (
	"mime"

	"dykering/internal/fleetconfig"
	"dykering/internal/http1"
)

// eventScanner finds the ends of server-sent events in a stream that is received in chunks. A line ends with LF, CR or CR LF, and
// an empty line ends an event. The zero value is at the beginning of a stream.
type eventScanner struct {
	lineHasText bool // the current line is not empty
	lastWasCR   bool // the last byte was CR, so an LF after it belongs to the same line end
	atEventEnd  bool // the last byte ended an event
}

// scan reads the next chunk of the stream. It returns the length of the beginning of the chunk that ends with the last event
// that the chunk completes, or 0 if it completes none.
func (s *eventScanner) scan(chunk []byte) (completeLength int) {
	for i, b := range chunk {
		s.scanByte(b)
		if s.atEventEnd {
			completeLength = i + 1
		}
	}
	return completeLength
}

func (s *eventScanner) scanByte(b byte) {
	isLineEnd := b == '\n' || b == '\r'
	endsCRLF := b == '\n' && s.lastWasCR
	s.lastWasCR = b == '\r'
	switch {
	case endsCRLF: // the CR has ended the line, and perhaps the event
	case isLineEnd:
		s.atEventEnd = !s.lineHasText
		s.lineHasText = false
	default:
		s.atEventEnd, s.lineHasText = false, true
	}
}

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// mustEndWithEvent reports whether a response is complete only if it ends with an event. That is so for a stream of events whose end
// is the end of its connection: nothing else tells whether the endpoint has finished it or has crashed.
func mustEndWithEvent(route *fleetconfig.Route, response *http1.EndpointResponse) bool {
	if route.Kind != fleetconfig.Streaming || !response.EndsWithConnection() {
		return false
	}
	contentType := response.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && mediaType == eventStreamType
}
