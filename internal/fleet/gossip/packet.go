package gossip

import (
	"encoding/binary"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// The message types of memberlist that this package decodes. memberlist's documentation guarantees that the numbers of
// its wire protocol never change.
const (
	kindSuspect  = 3
	kindAlive    = 4
	kindDead     = 5
	kindCompound = 7
	kindCRC      = 12
)

const (
	crcHeaderBytes = 5 // the message type and a 32-bit checksum
	lengthBytes    = 2 // the length of each message in a compound message
)

// memberMessage is a message of memberlist about a member. The names of the exported fields are keys in the encoded
// message.
type memberMessage struct {
	kind        byte
	Incarnation uint32
	Node        string
	From        string // From is the member that suspects Node or declares it dead; it equals Node when Node leaves.
}

// announcesLeave reports whether the member announces its own departure.
func (m *memberMessage) announcesLeave() bool { return m.kind == kindDead && m.From == m.Node }

// eachMemberMessage calls handle with each message about a member in a packet that is neither compressed nor encrypted.
// It skips messages that cannot be decoded, because memberlist itself logs malformed packets.
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

// eachCompoundMessage decodes the body of a compound message: first the lengths of all messages, then the messages.
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
		isNested := length > 0 && rest[0] == kindCompound // memberlist sends none; deep nesting would exhaust the stack
		if length > 0 && !isNested {
			eachMemberMessage(rest[:length], handle)
		}
		rest = rest[length:]
	}
}
