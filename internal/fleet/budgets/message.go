package budgets

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"dykering/internal/fleet/budget"
)

// maxMessageBytes bounds a received message. The largest messages carry a snapshot of a ledger with some thousand holders.
const maxMessageBytes = 4 << 20

// envelope is a message among members: a Raft message, a lease request or a grant. Its keys are part of the wire format.
type envelope struct {
	Raft      []byte          `codec:"r,omitempty"`
	Request   *budget.Request `codec:"a,omitempty"`
	Forwarded bool            `codec:"s,omitempty"` // Forwarded marks a request that a voter has forwarded to the leader.
	Grant     *budget.Grant   `codec:"g,omitempty"`
}

func encode(m any) []byte {
	var text []byte
	codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).MustEncode(m) // every message type can be encoded
	return text
}

func decode(text []byte, m any) error {
	return codec.NewDecoderBytes(text, &codec.MsgpackHandle{}).Decode(m)
}

// decodeEnvelope decodes a received message.
func decodeEnvelope(text []byte) (m envelope, err error) {
	if len(text) > maxMessageBytes {
		return m, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(text), maxMessageBytes)
	}
	return m, decode(text, &m)
}
