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

// encode encodes a message, a command or a ledger as MessagePack.
func encode(m any) []byte {
	var data []byte
	codec.NewEncoderBytes(&data, &codec.MsgpackHandle{}).MustEncode(m) // every message type can be encoded
	return data
}

func decode(data []byte, m any) error {
	return codec.NewDecoderBytes(data, &codec.MsgpackHandle{}).Decode(m)
}

// decodeEnvelope decodes a received message.
func decodeEnvelope(data []byte) (m envelope, err error) {
	if len(data) > maxMessageBytes {
		return m, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxMessageBytes)
	}
	return m, decode(data, &m)
}
