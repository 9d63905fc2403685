package gossip

import (
	"encoding/binary"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// memberlist's interface tells of joins and leaves, but neither of suspicion nor whether one that is gone said so. Both
// stand in the packets that it sends: it passes on each suspicion, refutation, death and leave that it takes itself,
// so that what goes out is what it holds. The numbers are of its wire protocol, which says that they never change.
const (
	kindSuspect  = 3
	kindAlive    = 4
	kindDead     = 5
	kindCompound = 7
	kindCRC      = 12
	crcHeader    = 5 // its kind and 32 bits
)

// rumour is one thing that members tell each other of one of them.
type rumour struct {
	kind        byte
	Incarnation uint32
	Node        string
	From        string // who says it; of itself, that it leaves
}

// said finds the rumours in a packet that is neither compressed nor encrypted. What it cannot read it passes over:
// memberlist itself tells of garbage.
func said(packet []byte, take func(rumour)) {
	if len(packet) > crcHeader && packet[0] == kindCRC {
		packet = packet[crcHeader:]
	}
	if len(packet) < 2 {
		return
	}
	switch kind := packet[0]; kind {
	case kindSuspect, kindAlive, kindDead:
		r := rumour{kind: kind}
		if codec.NewDecoderBytes(packet[1:], &codec.MsgpackHandle{}).Decode(&r) == nil && r.Node != "" {
			r.kind = kind
			take(r)
		}
	case kindCompound:
		n := int(packet[1])
		lengths, rest := packet[2:], packet[2:]
		if len(rest) < 2*n {
			return
		}
		rest = rest[2*n:]
		for i := range n {
			l := int(binary.BigEndian.Uint16(lengths[2*i:]))
			if len(rest) < l {
				return
			}
			if l > 0 && rest[0] != kindCompound { // one compound holds no other
				said(rest[:l], take)
			}
			rest = rest[l:]
		}
	}
}
