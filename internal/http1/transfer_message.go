package http1

import (
	"net"
	"time"

	"dykering/internal/core"
)

// passageVersion is the version of passage. A process that does not know the one that it is offered declines it,
// and what was offered ends where it is.
const passageVersion = 1

// passage is what a process that ends tells its successor of a caller's connection: what has been read of it and
// not been answered, and the long answer or the long body that is on its way on it. Without a connection it is a word
// of the process itself.
type passage struct {
	Version int         `json:"version"`
	Input   []byte      `json:"input,omitempty"`
	Relay   *relayLeft  `json:"relay,omitempty"`
	Upload  *uploadLeft `json:"upload,omitempty"`
	Word    *core.Word  `json:"word,omitempty"`
}

// uploadLeft is what is left of a long body, on its way to an endpoint: a request that goes out once and cannot be
// sent again, so that nothing is left to decide about it but what its outcome means.
type uploadLeft struct {
	ID      string        `json:"id"`
	Wait    time.Duration `json:"wait"` // for the answer, from the body's last byte on
	Old     bool          `json:"old,omitempty"`
	Lasts   bool          `json:"lasts,omitempty"`
	Pending []byte        `json:"pending,omitempty"`
	Total   int64         `json:"total"`
	Length  int64         `json:"length"`
	Left    int64         `json:"left,omitempty"`
	Chunks  *chunked      `json:"chunks,omitempty"`
}

// relayLeft is what is left of a relay.
type relayLeft struct {
	Pending []byte   `json:"pending,omitempty"`
	Framed  bool     `json:"framed,omitempty"`
	Old     bool     `json:"old,omitempty"`
	Lasts   bool     `json:"lasts,omitempty"`
	Ended   bool     `json:"ended,omitempty"` // nothing more comes from the endpoint
	Input   []byte   `json:"input,omitempty"` // from the endpoint, that is not in Pending
	Allowed int      `json:"allowed,omitempty"`
	Length  int64    `json:"length,omitempty"`
	Read    int64    `json:"read,omitempty"`
	ToClose bool     `json:"toClose,omitempty"`
	Chunks  *chunked `json:"chunks,omitempty"`
}

// fits tells whether a passage and what came with it are of one piece.
func (p *passage) fits(conns []net.Conn) bool {
	want := 1
	if p.Word != nil {
		return len(conns) == 0 && p.Relay == nil && p.Upload == nil && p.Input == nil
	}
	if p.Relay != nil && !p.Relay.Ended || p.Upload != nil {
		want = 2
	}
	for _, c := range conns {
		if _, ok := c.(tcpConn); !ok {
			return false
		}
	}
	return len(conns) == want && (p.Relay == nil || p.Relay.sound()) &&
		(p.Upload == nil || p.Relay == nil && p.Upload.sound())
}

// sound tells whether an upload can be gone on with.
func (u *uploadLeft) sound() bool {
	if u.Wait < 0 || u.Wait > maxRemaining || u.Total < 0 || u.Total > maxLong {
		return false
	}
	if u.Chunks != nil {
		return u.Length == -1 && u.Chunks.sound()
	}
	return u.Length <= maxLong && u.Left >= 0 && u.Left <= u.Length
}

// sound tells whether a relay can be gone on with.
func (l *relayLeft) sound() bool {
	return l.Length >= -1 && l.Length <= maxLong && l.Read >= 0 && (l.Length < 0 || l.Read <= l.Length) &&
		l.Allowed >= 0 &&
		(l.Chunks == nil || l.Chunks.sound() && l.Length == -1)
}
