package gossip

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"testing"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"dykering/internal/fixture"
	"dykering/internal/fleet/membership"
)

// setState sets a membership.State for fixture.Fill, which cannot choose a valid number: states are encoded as names.
func setState(pointer any) bool {
	state, ok := pointer.(*membership.State)
	if ok {
		*state = membership.Left
	}
	return ok
}

// Guards the format of a member's metadata and of the view that the control address serves, against fixtures written by a
// released build.
func TestMetadataAndViewOfReleasedBuildAreReadAndWrittenAlike(t *testing.T) {
	fixture.JSON(t, "testdata/compatibility/meta.json", &membership.Meta{})
	fixture.JSON(t, "testdata/compatibility/view.json", &Snapshot{}, setState)
}

// memberPacket builds a packet as memberlist sends it: a checksum followed by a compound message.
func memberPacket() []byte {
	encode := func(kind byte, message any) []byte {
		var body []byte
		codec.NewEncoderBytes(&body, &codec.MsgpackHandle{}).MustEncode(message)
		return append([]byte{kind}, body...)
	}
	type suspect struct {
		Incarnation uint32
		Node, From  string
	}
	type alive struct {
		Incarnation uint32
		Node        string
		Addr        []byte
		Port        uint16
		Meta        []byte
		Vsn         []uint8
	}
	messages := [][]byte{
		encode(3, suspect{11, "b1", "b2"}),
		encode(4, alive{12, "b3", []byte{127, 0, 0, 1}, 7946, []byte("{}"), []uint8{1, 5, 2, 2, 5, 4}}),
		encode(5, suspect{13, "b4", "b4"}),
	}
	compound := []byte{7, byte(len(messages))}
	for _, message := range messages {
		compound = binary.BigEndian.AppendUint16(compound, uint16(len(message)))
	}
	for _, message := range messages {
		compound = append(compound, message...)
	}
	packet := binary.BigEndian.AppendUint32([]byte{12}, crc32.ChecksumIEEE(compound))
	return append(packet, compound...)
}

// Guards the decoding of memberlist's messages by the message numbers and field names of its protocol.
func TestMessagesInPacketOfReleasedBuildAreRead(t *testing.T) {
	type message struct {
		Kind        byte
		Incarnation uint32
		Node        string
		From        string
	}
	var got []message
	eachMemberMessage(fixture.Bytes(t, "testdata/compatibility/packet.bin", memberPacket), func(m memberMessage) {
		got = append(got, message{m.kind, m.Incarnation, m.Node, m.From})
	})
	fixture.Golden(t, "testdata/compatibility/packet.json", got)
}

// Guards the kind byte of messages and the address header of packets sent through a fault relay, both part of the wire
// format.
func TestFrameOfReleasedBuildIsWrittenAlike(t *testing.T) {
	got := map[string]string{
		"facts":   string(rune(KindFacts)),
		"budgets": string(rune(KindBudgets)),
		"relayed": string(Header("127.0.0.1:7946", []byte("payload"))),
	}
	fixture.Golden(t, "testdata/compatibility/frames.json", got)
	address, payload, err := SplitHeader([]byte(got["relayed"]))
	if err != nil || address != "127.0.0.1:7946" || string(payload) != "payload" {
		t.Errorf("SplitHeader returned address %q, payload %q, error %v", address, payload, err)
	}
}

// Guards the encoding of states as their names.
func TestStateOfReleasedBuildIsReadAndWrittenAlike(t *testing.T) {
	states := []membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left}
	fixture.Golden(t, "testdata/compatibility/states.json", states)
	var read []membership.State
	data, err := os.ReadFile("testdata/compatibility/states.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	for i, state := range read {
		if state != states[i] {
			t.Errorf("state %d is %v, want %v", i, state, states[i])
		}
	}
}
