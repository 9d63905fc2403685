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

// The fixtures were written by an earlier build, of commit bfb03d8, in which the types had other names.
const (
	streamFile   = "testdata/messages.peerlink"    // one message of each registered type, in the frames of a connection
	renderedFile = "testdata/messages.txt"         // text form of the messages
	schemasFile  = "testdata/message-schemas.json" // field names and types of the messages
)

// recordedConn is a connection that reads from and writes to a buffer.
type recordedConn struct {
	net.Conn
	bytes.Buffer
}

func (c *recordedConn) Read(b []byte) (int, error)       { return c.Buffer.Read(b) }
func (c *recordedConn) Write(b []byte) (int, error)      { return c.Buffer.Write(b) }
func (c *recordedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *recordedConn) SetWriteDeadline(time.Time) error { return nil }

// typeName returns the name under which the type of a message is registered.
func typeName(message any) string {
	for _, registered := range registeredTypes {
		if reflect.TypeOf(registered.value) == reflect.TypeOf(message) {
			return registered.name
		}
	}
	return "not registered"
}

// receiveAll decodes all messages of a recorded stream with the current code.
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

// sendAll encodes messages to a stream with the current code.
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

// renderAll returns the registered names and the field values of messages as text.
func renderAll(messages []any) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(typeName(message) + "\n")
		text.WriteString(fixture.Render("\t", message))
	}
	return text.String()
}

// schema has the field names and types of a registered type.
type schema struct {
	Name   string         `json:"name"`
	Schema fixture.Schema `json:"schema"`
}

// schemas reads the schemas of the registered types of the earlier build.
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

// filledMessages returns a message of each registered type with all fields set.
func filledMessages() []any {
	var messages []any
	for _, registered := range registeredTypes {
		message := reflect.New(reflect.TypeOf(registered.value))
		fixture.Fill(message.Interface(), fixture.Interfaces[fleetconfig.State]())
		messages = append(messages, message.Elem().Interface())
	}
	return messages
}

// fixtureMessages decodes the messages of the earlier build with the current code.
func fixtureMessages(t *testing.T) []any {
	t.Helper()
	Register()
	return receiveAll(t, fixture.Bytes(t, streamFile, func() []byte { return sendAll(t, filledMessages()) }))
}

// The current code decodes all fields of the messages of an earlier build.
func TestMessagesOfEarlierBuildAreRead(t *testing.T) {
	fixture.Text(t, renderedFile, renderAll(fixtureMessages(t)))
}

// The types of an earlier build decode all fields of the messages that the current types encode.
func TestEarlierTypesReadCurrentMessages(t *testing.T) {
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

// The current code writes the frames that an earlier build reads. A frame has a length and a part of one gob stream, which
// encodes the message as the interface value of the field Body under its registered name.
func TestFramesOfCurrentCode(t *testing.T) {
	messages := fixtureMessages(t)
	stream := sendAll(t, messages)
	var joined bytes.Buffer
	for i := 0; len(stream) > 0; i++ {
		length := binary.BigEndian.Uint32(stream)
		frame := stream[4 : 4+length]
		if name := []byte(schemas(t)[i].Name); !bytes.Contains(frame, name) {
			t.Errorf("frame %d does not contain the registered name %q", i, name)
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
