package replication

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"dykering/internal/fleet/replica"
)

// maxMessageBytes bounds a received message. The largest messages are summaries of some thousand origins.
const maxMessageBytes = 1 << 20

// message is a message among members: facts, or a summary of the facts that the sender holds. Its keys are part of the
// wire format and of snapshots.
type message struct {
	From           string            `codec:"i,omitempty"` // From is empty in a broadcast.
	Facts          []replica.Fact    `codec:"f,omitempty"`
	Hashes         map[string]uint64 `codec:"s,omitempty"` // Hashes is the summary: the hash of each origin's facts, by origin.
	RequestSummary bool              `codec:"a,omitempty"` // RequestSummary requests the receiver's summary if the receiver lacks facts.
}

// isSummary reports whether the message is a summary, which may be that of an empty copy.
func (m *message) isSummary() bool { return m.From != "" && len(m.Facts) == 0 }

func encode(m message) []byte {
	var text []byte
	codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).MustEncode(m) // every message can be encoded
	return text
}

func decode(text []byte) (m message, err error) {
	if len(text) > maxMessageBytes {
		return m, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(text), maxMessageBytes)
	}
	return m, codec.NewDecoderBytes(text, &codec.MsgpackHandle{}).Decode(&m)
}
