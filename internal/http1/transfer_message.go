package http1

import (
	"net"
	"time"

	"dykering/internal/core"
)

// transferVersion is the version of connTransfer. A process declines versions that it does not
// know; the connection then stays with the process that offered it.
const transferVersion = 1

// connTransfer is the state of a downstream connection that a stopping process sends to its
// successor with the connection itself: the input that has been read and not been answered, and the
// relay or upload in progress. Without a connection it carries state of the process itself. It is
// encoded as JSON; the keys are fixed, for the two processes may be of different releases.
type connTransfer struct {
	Version int `json:"version"`
	// Bytes that have been read from the client and not been used.
	Input  []byte       `json:"input,omitempty"`
	Relay  *relayState  `json:"relay,omitempty"`
	Upload *uploadState `json:"upload,omitempty"`
	// State of the process, in a transfer without a connection.
	State *core.HandoverUpdate `json:"word,omitempty"`
}

// uploadState is the state of an upload. The request goes out once and cannot be sent again, so the
// successor has nothing to decide but what the attempt's outcome means to the client. It needs the
// endpoint's connection as the second one of the transfer.
type uploadState struct {
	ID string `json:"id"`
	// Time for the answer, from the last byte of the body on.
	AnswerTimeout time.Duration `json:"wait"`
	// See reply for this and KeepAlive.
	HTTP10    bool `json:"old,omitempty"`
	KeepAlive bool `json:"lasts,omitempty"`
	// See upload for this and Received.
	Pending  []byte `json:"pending,omitempty"`
	Received int64  `json:"total"`
	// See requestBody for this, Remaining and Chunks.
	Length    int64          `json:"length"`
	Remaining int64          `json:"left,omitempty"`
	Chunks    *chunkedReader `json:"chunks,omitempty"`
}

// relayState is the state of a relay. Unless Finished, it needs the endpoint's connection as the
// second one of the transfer.
type relayState struct {
	// See relay for this and Chunked.
	Pending []byte `json:"pending,omitempty"`
	Chunked bool   `json:"framed,omitempty"`
	// See reply for this and KeepAlive.
	HTTP10    bool `json:"old,omitempty"`
	KeepAlive bool `json:"lasts,omitempty"`
	// Nothing more is read from the endpoint.
	Finished bool `json:"ended,omitempty"`
	// Bytes that have been read from the endpoint and are not in Pending.
	Input []byte `json:"input,omitempty"`
	// See upstreamConn.
	ReadLimit int `json:"allowed,omitempty"`
	// See responseBody for this and the following fields.
	Length     int64          `json:"length,omitempty"`
	Read       int64          `json:"read,omitempty"`
	UntilClose bool           `json:"toClose,omitempty"`
	Chunks     *chunkedReader `json:"chunks,omitempty"`
}

// validFor reports whether the state is valid and matches the connections that came with it.
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
