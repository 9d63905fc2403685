package http1

import (
	"net"
	"time"

	"dykering/internal/core"
)

// transferVersion is the version of passage. A process that does not know the one that it is offered declines it,
// and what was offered ends where it is.
const transferVersion = 1

// connTransfer is what a process that ends tells its successor of a caller's connection: what has been read of it and
// not been answered, and the long answer or the long body that is on its way on it. Without a connection it is a word
// of the process itself.
type connTransfer struct {
	Version int          `json:"version"`
	Input   []byte       `json:"input,omitempty"`
	Relay   *relayState  `json:"relay,omitempty"`
	Upload  *uploadState `json:"upload,omitempty"`
	State   *core.Word   `json:"word,omitempty"`
}

// uploadState is what is left of a long body, on its way to an endpoint: a request that goes out once and cannot be
// sent again, so that nothing is left to decide about it but what its outcome means.
type uploadState struct {
	ID            string         `json:"id"`
	AnswerTimeout time.Duration  `json:"wait"` // for the answer, from the body's last byte on
	HTTP10        bool           `json:"old,omitempty"`
	KeepAlive     bool           `json:"lasts,omitempty"`
	Pending       []byte         `json:"pending,omitempty"`
	Received      int64          `json:"total"`
	Length        int64          `json:"length"`
	Remaining     int64          `json:"left,omitempty"`
	Chunks        *chunkedReader `json:"chunks,omitempty"`
}

// relayState is what is left of a relay.
type relayState struct {
	Pending    []byte         `json:"pending,omitempty"`
	Chunked    bool           `json:"framed,omitempty"`
	HTTP10     bool           `json:"old,omitempty"`
	KeepAlive  bool           `json:"lasts,omitempty"`
	Finished   bool           `json:"ended,omitempty"` // nothing more comes from the endpoint
	Input      []byte         `json:"input,omitempty"` // from the endpoint, that is not in Pending
	ReadLimit  int            `json:"allowed,omitempty"`
	Length     int64          `json:"length,omitempty"`
	Read       int64          `json:"read,omitempty"`
	UntilClose bool           `json:"toClose,omitempty"`
	Chunks     *chunkedReader `json:"chunks,omitempty"`
}

// validFor tells whether a passage and what came with it are of one piece.
func (p *connTransfer) validFor(conns []net.Conn) bool {
	want := 1
	if p.State != nil {
		return len(conns) == 0 && p.Relay == nil && p.Upload == nil && p.Input == nil
	}
	if p.Relay != nil && !p.Relay.Finished || p.Upload != nil {
		want = 2
	}
	for _, c := range conns {
		if _, ok := c.(tcpConn); !ok {
			return false
		}
	}
	return len(conns) == want && (p.Relay == nil || p.Relay.valid()) &&
		(p.Upload == nil || p.Relay == nil && p.Upload.valid())
}

// valid tells whether an upload can be gone on with.
func (u *uploadState) valid() bool {
	if u.AnswerTimeout < 0 || u.AnswerTimeout > maxRemaining || u.Received < 0 || u.Received > maxStreamedBody {
		return false
	}
	if u.Chunks != nil {
		return u.Length == -1 && u.Chunks.valid()
	}
	return u.Length <= maxStreamedBody && u.Remaining >= 0 && u.Remaining <= u.Length
}

// valid tells whether a relay can be gone on with.
func (l *relayState) valid() bool {
	return l.Length >= -1 && l.Length <= maxStreamedBody && l.Read >= 0 && (l.Length < 0 || l.Read <= l.Length) &&
		l.ReadLimit >= 0 &&
		(l.Chunks == nil || l.Chunks.valid() && l.Length == -1)
}
