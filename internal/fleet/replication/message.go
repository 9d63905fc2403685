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
	From  string         `codec:"i,omitempty"` // From is empty in a broadcast.
	Facts []replica.Fact `codec:"f,omitempty"`
	// Hashes is the summary: the hash of each origin's facts, by origin.
	Hashes map[string]uint64 `codec:"s,omitempty"`
	// RequestSummary requests the receiver's summary if the receiver lacks facts.
	RequestSummary bool `codec:"a,omitempty"`
}

// isSummary reports whether the message is a summary, which may be that of an empty copy.
func (m *message) isSummary() bool { return m.From != "" && len(m.Facts) == 0 }

// encode encodes a message as MessagePack.
func encode(m message) []byte {
	var data []byte
	codec.NewEncoderBytes(&data, &codec.MsgpackHandle{}).MustEncode(m) // every message can be encoded
	return data
}

// decode decodes a message that encode has encoded, up to a length of maxMessageBytes.
func decode(data []byte) (m message, err error) {
	if len(data) > maxMessageBytes {
		return m, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxMessageBytes)
	}
	return m, codec.NewDecoderBytes(data, &codec.MsgpackHandle{}).Decode(&m)
}
