package http1

import (
	"net"
	"time"

	"dykering/internal/core"
)

// transferVersion is the version of connTransfer. A process declines unknown versions; the connection
// then stays with the process that offered it.
const transferVersion = 1

// connTransfer is the state that a stopping process sends to its successor together with a downstream
// connection. It holds the input that has been read but not answered, and the relay or upload in
// progress. A message without a connection holds the state of the process instead. The message is
// encoded as JSON. Its keys must not change, because the two processes may be of different releases.
type connTransfer struct {
	Version int `json:"version"`
	// Bytes that have been read from the client but not processed.
	Input []byte `json:"input,omitempty"`
	// The relay in progress; nil if there is none.
	Relay *relayState `json:"relay,omitempty"`
	// The upload in progress; nil if there is none.
	Upload *uploadState `json:"upload,omitempty"`
	// The state of the process, in a message without a connection; else nil.
	State *core.HandoverUpdate `json:"word,omitempty"`
}

// uploadState is the state of an upload. The request cannot be sent again, so the successor only
// derives the client's answer from the outcome of the attempt. The endpoint's connection is the second
// one of the transfer.
type uploadState struct {
	// The request id.
	ID string `json:"id"`
	// How long the answer is awaited, counted from the last byte of the body.
	AnswerTimeout time.Duration `json:"wait"`
	// The client uses HTTP/1.0.
	HTTP10 bool `json:"old,omitempty"`
	// The client's connection stays open after the answer.
	KeepAlive bool `json:"lasts,omitempty"`
	// Framed bytes that have not been written to the endpoint.
	Pending []byte `json:"pending,omitempty"`
	// The number of bytes of the body that have been read.
	Received int64 `json:"total"`
	// The length of the whole body; -1 for a chunked one.
	Length int64 `json:"length"`
	// The number of unread bytes of a body of known length.
	Remaining int64 `json:"left,omitempty"`
	// The position in a chunked body; nil for a body of known length.
	Chunks *chunkedReader `json:"chunks,omitempty"`
}

// relayState is the state of a relay. Unless Finished is set, the endpoint's connection is the second
// one of the transfer.
type relayState struct {
	// Framed bytes that have not been written to the client.
	Pending []byte `json:"pending,omitempty"`
	// The client gets the body in chunks.
	Chunked bool `json:"framed,omitempty"`
	// The client uses HTTP/1.0.
	HTTP10 bool `json:"old,omitempty"`
	// The client's connection stays open after the response.
	KeepAlive bool `json:"lasts,omitempty"`
	// The response has been read to its end. The fields below are not set then.
	Finished bool `json:"ended,omitempty"`
	// Bytes that have been read from the endpoint and are not in Pending.
	Input []byte `json:"input,omitempty"`
	// The number of bytes that may still be read from the endpoint.
	ReadLimit int `json:"allowed,omitempty"`
	// The length of the body; -1 if it is unknown before the body's end.
	Length int64 `json:"length,omitempty"`
	// The number of bytes of the body that have been read.
	Read int64 `json:"read,omitempty"`
	// The body ends with the connection.
	UntilClose bool `json:"toClose,omitempty"`
	// The position in a chunked body; nil for other bodies.
	Chunks *chunkedReader `json:"chunks,omitempty"`
}

// validFor reports whether the state is valid and matches the connections that were received with it.
func (t *connTransfer) validFor(conns []net.Conn) bool {
	expected := 1
	if t.State != nil {
		return len(conns) == 0 && t.Relay == nil && t.Upload == nil && t.Input == nil
	}
	if t.Relay != nil && !t.Relay.Finished || t.Upload != nil {
		expected = 2
	}
	for _, c := range conns {
		if _, ok := c.(tcpConn); !ok {
			return false
		}
	}
	return len(conns) == expected && (t.Relay == nil || t.Relay.valid()) &&
		(t.Upload == nil || t.Relay == nil && t.Upload.valid())
}

// valid reports whether an upload can be continued from the state.
func (s *uploadState) valid() bool {
	if s.AnswerTimeout < 0 || s.AnswerTimeout > maxRemaining || s.Received < 0 || s.Received > maxStreamedBody {
		return false
	}
	if s.Chunks != nil {
		return s.Length == -1 && s.Chunks.valid()
	}
	return s.Length <= maxStreamedBody && s.Remaining >= 0 && s.Remaining <= s.Length
}

// valid reports whether a relay can be continued from the state.
func (s *relayState) valid() bool {
	return s.Length >= -1 && s.Length <= maxStreamedBody && s.Read >= 0 && (s.Length < 0 || s.Read <= s.Length) &&
		s.ReadLimit >= 0 &&
		(s.Chunks == nil || s.Chunks.valid() && s.Length == -1)
}
