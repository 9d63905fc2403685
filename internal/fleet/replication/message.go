package replication

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"dykering/internal/fleet/replica"
)

// maxMessageBytes bounds a received message: the summary of some thousand origins, or a chunk of facts.
const maxMessageBytes = 1 << 20

// message is what members send each other: facts, or a summary of those they hold. Its keys are on the wire, and in
// snapshots.
type message struct {
	From           string            `codec:"i,omitempty"` // From is empty in a broadcast.
	Facts          []replica.Fact    `codec:"f,omitempty"`
	Hashes         map[string]uint64 `codec:"s,omitempty"` // Sums are the hashes of a summary by origin.
	RequestSummary bool              `codec:"a,omitempty"` // Ask requests the receiver's summary in return, where it lacks something.
}

// isSummary reports whether a message is a summary, perhaps of an empty copy.
func (m *message) isSummary() bool { return m.From != "" && len(m.Facts) == 0 }

func encode(m message) []byte {
	var text []byte
	codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).MustEncode(m) // its types can all be encoded
	return text
}

func decode(text []byte) (m message, err error) {
	if len(text) > maxMessageBytes {
		return m, fmt.Errorf("%d bytes are more than %d", len(text), maxMessageBytes)
	}
	return m, codec.NewDecoderBytes(text, &codec.MsgpackHandle{}).Decode(&m)
}
