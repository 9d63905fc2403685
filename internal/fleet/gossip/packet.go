package gossip

import (
	"encoding/binary"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// The kinds of messages in memberlist's packets that are read here. memberlist's documentation says that the numbers of
// its wire protocol never change.
const (
	kindSuspect  = 3
	kindAlive    = 4
	kindDead     = 5
	kindCompound = 7
	kindCRC      = 12
)

const (
	crcHeaderBytes = 5 // the kind and a checksum of 32 bits
	lengthBytes    = 2 // the length of a message in a compound
)

// memberMessage is memberlist's message about a member. The exported names are keys on the wire.
type memberMessage struct {
	kind        byte
	Incarnation uint32
	Node        string
	From        string // From is the member that suspects it or declares it dead; the member itself where it leaves.
}

// announcesLeave reports whether the member itself says that it leaves.
func (m *memberMessage) announcesLeave() bool { return m.kind == kindDead && m.From == m.Node }

// eachMemberMessage calls a function with each message about a member in a packet that is neither compressed nor
// encrypted. It skips what it cannot read: memberlist logs malformed packets itself.
func eachMemberMessage(packet []byte, handle func(memberMessage)) {
	if len(packet) > crcHeaderBytes && packet[0] == kindCRC {
		packet = packet[crcHeaderBytes:]
	}
	if len(packet) < 2 {
		return
	}
	switch kind := packet[0]; kind {
	case kindSuspect, kindAlive, kindDead:
		var message memberMessage
		err := codec.NewDecoderBytes(packet[1:], &codec.MsgpackHandle{}).Decode(&message)
		if err == nil && message.Node != "" {
			message.kind = kind
			handle(message)
		}
	case kindCompound:
		eachCompoundMessage(int(packet[1]), packet[2:], handle)
	}
}

// eachCompoundMessage reads a compound: the lengths of its messages, and the messages.
func eachCompoundMessage(count int, body []byte, handle func(memberMessage)) {
	if len(body) < lengthBytes*count {
		return
	}
	lengths, rest := body, body[lengthBytes*count:]
	for i := range count {
		length := int(binary.BigEndian.Uint16(lengths[lengthBytes*i:]))
		if len(rest) < length {
			return
		}
		isNested := length > 0 && rest[0] == kindCompound // memberlist makes none; one that nests deeply would exhaust the stack
		if length > 0 && !isNested {
			eachMemberMessage(rest[:length], handle)
		}
		rest = rest[length:]
	}
}
