package protocol

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
)

// The fixtures were written by the build of commit bfb03d8, the last one before the types were renamed.
const (
	streamFile   = "testdata/messages.peerlink"    // one message of each registered type, as a connection carries them
	renderedFile = "testdata/messages.txt"         // what the messages hold
	schemasFile  = "testdata/message-schemas.json" // the structure of their types
)

// recordedConn reads from and writes to a buffer in place of a network.
type recordedConn struct {
	net.Conn
	bytes.Buffer
}

func (c *recordedConn) Read(b []byte) (int, error)       { return c.Buffer.Read(b) }
func (c *recordedConn) Write(b []byte) (int, error)      { return c.Buffer.Write(b) }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

// typeName is the name under which the type of a message is registered.
func typeName(message any) string {
	for _, registered := range registeredTypes {
		if reflect.TypeOf(registered.value) == reflect.TypeOf(message) {
			return registered.name
		}
	}
	return "not registered"
}

// receiveAll reads the messages of a recorded stream with the present code.
func receiveAll(t *testing.T, stream []byte) []any {
	t.Helper()
	raw := &recordedConn{}
	raw.Buffer.Write(stream)
	conn := peerlink.NewConn(raw)
	var messages []any
	for raw.Len() > 0 || len(messages) < len(schemas(t)) {
		message, err := conn.Receive(time.Second)
		if err != nil {
			t.Fatalf("message %d: %v", len(messages), err)
		}
		messages = append(messages, message)
	}
	return messages
}

// sendAll writes messages to a stream with the present code.
func sendAll(t *testing.T, messages []any) []byte {
	t.Helper()
	raw := &recordedConn{}
	conn := peerlink.NewConn(raw)
	for _, message := range messages {
		if err := conn.Send(message, time.Second); err != nil {
			t.Fatalf("%T: %v", message, err)
		}
	}
	return raw.Bytes()
}

func renderAll(messages []any) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(typeName(message) + "\n")
		text.WriteString(fixture.Render("\t", message))
	}
	return text.String()
}

// schema is the structure of a registered type.
type schema struct {
	Name   string         `json:"name"`
	Schema fixture.Schema `json:"schema"`
}

// schemas reads the structures of the registered types.
func schemas(t *testing.T) []schema {
	t.Helper()
	text := fixture.Bytes(t, schemasFile, func() []byte {
		var lines []string
		for _, registered := range registeredTypes {
			line, err := json.Marshal(schema{Name: registered.name, Schema: fixture.SchemaOf(reflect.TypeOf(registered.value))})
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, string(line))
		}
		return []byte("[\n" + strings.Join(lines, ",\n") + "\n]\n")
	})
	var all []schema
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	return all
}

// filledMessages makes a message of each registered type.
func filledMessages() []any {
	var messages []any
	for _, registered := range registeredTypes {
		message := reflect.New(reflect.TypeOf(registered.value))
		fixture.Fill(message.Interface(), fixture.Interfaces[fleetconfig.State]())
		messages = append(messages, message.Elem().Interface())
	}
	return messages
}

func fixtureMessages(t *testing.T) []any {
	t.Helper()
	Register()
	return receiveAll(t, fixture.Bytes(t, streamFile, func() []byte { return sendAll(t, filledMessages()) }))
}

// Messages of an earlier build are read in full.
func TestMessagesOfEarlierBuildAreRead(t *testing.T) {
	fixture.Text(t, renderedFile, renderAll(fixtureMessages(t)))
}

// The types of an earlier build read in full what the present types encode.
func TestEarlierTypesReadPresentMessages(t *testing.T) {
	messages := fixtureMessages(t)
	var text strings.Builder
	for i, earlier := range schemas(t) {
		decoded, err := fixture.RecodeGob(messages[i], &earlier.Schema)
		if err != nil {
			t.Errorf("%s: %v", earlier.Name, err)
			continue
		}
		text.WriteString(earlier.Name + "\n")
		text.WriteString(fixture.Render("\t", decoded))
	}
	fixture.Text(t, renderedFile, text.String())
}

// The frames of the present code are those that an earlier build reads: a length, and the part of one gob stream that has
// a message as the interface value of the field Body, under its registered name.
func TestFramesOfPresentCode(t *testing.T) {
	messages := fixtureMessages(t)
	stream := sendAll(t, messages)
	var joined bytes.Buffer
	for i := 0; len(stream) > 0; i++ {
		length := binary.BigEndian.Uint32(stream)
		frame := stream[4 : 4+length]
		if name := []byte(schemas(t)[i].Name); !bytes.Contains(frame, name) {
			t.Errorf("frame %d does not hold the name %q", i, name)
		}
		joined.Write(frame)
		stream = stream[4+length:]
	}
	decoder := gob.NewDecoder(&joined)
	var decoded []any
	for range messages {
		var box struct{ Body any }
		if err := decoder.Decode(&box); err != nil {
			t.Fatal(err)
		}
		decoded = append(decoded, box.Body)
	}
	fixture.Text(t, renderedFile, renderAll(decoded))
}
