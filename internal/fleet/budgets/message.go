package budgets

import (
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"dykering/internal/fleet/budget"
)

// maxMessageBytes bounds a received message: a snapshot of the ledger of some thousand holders.
const maxMessageBytes = 4 << 20

// envelope is a message among members: one of Raft, a request or a grant. Its keys are on the wire.
type envelope struct {
	Raft      []byte          `codec:"r,omitempty"`
	Request   *budget.Request `codec:"a,omitempty"`
	Forwarded bool            `codec:"s,omitempty"` // Sent marks a request that a voter has forwarded to the leader.
	Grant     *budget.Grant   `codec:"g,omitempty"`
}

func encode(m any) []byte {
	var text []byte
	codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).MustEncode(m) // its types can all be encoded
	return text
}

func decode(text []byte, m any) error {
	return codec.NewDecoderBytes(text, &codec.MsgpackHandle{}).Decode(m)
}

// decodeEnvelope decodes a received message.
func decodeEnvelope(text []byte) (m envelope, err error) {
	if len(text) > maxMessageBytes {
		return m, fmt.Errorf("%d bytes are more than %d", len(text), maxMessageBytes)
	}
	return m, decode(text, &m)
}
