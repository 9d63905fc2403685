package protocol

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"dykering/internal/coordination"
	"dykering/internal/corestate"
	"dykering/internal/fixture"
	"dykering/internal/fleetconfig"
	"dykering/internal/peerlink"
)

// The fixtures of the types of the coordination service were written by the first builds with these types.
const (
	coordinationStateFile = "testdata/coordination-state.peerlink"
	coordinationStateText = "testdata/coordination-state.txt"
)

// messageFixture is a set of fixture files with one message of each of some types.
type messageFixture struct {
	types    []any
	stream   string // file with the messages in the frames of a connection
	rendered string // file with the text form of the messages
	schemas  string // file with the field names and types of the messages
}

// coordinationFixtures cover the registered types of the service, and the types that were extended by a field for it. The
// replicated value has a separate test, since a method encodes its tables.
var coordinationFixtures = []messageFixture{
	{
		types:    []any{CoordinationWrite{}, CoordinationRead{}, coordination.Command{}, Reply{}},
		stream:   "testdata/coordination.peerlink",
		rendered: "testdata/coordination.txt",
		schemas:  "testdata/coordination-schemas.json",
	},
	{
		types:    []any{LockExplainRequest{}, LockExplanation{}, Status{}},
		stream:   "testdata/coordination-operator.peerlink",
		rendered: "testdata/coordination-operator.txt",
		schemas:  "testdata/coordination-operator-schemas.json",
	},
}

// filled returns a message of each type with all fields set.
func (f messageFixture) filled() []any {
	var messages []any
	for _, value := range f.types {
		message := reflect.New(reflect.TypeOf(value))
		fixture.Fill(message.Interface())
		messages = append(messages, message.Elem().Interface())
	}
	return messages
}

// messages decodes the messages of the fixture with the current code.
func (f messageFixture) messages(t *testing.T) []any {
	t.Helper()
	Register()
	stream := fixture.Bytes(t, f.stream, func() []byte { return sendAll(t, f.filled()) })
	return receiveCount(t, stream, len(f.types))
}

// earlierSchemas reads the schemas of the types of the earlier build.
func (f messageFixture) earlierSchemas(t *testing.T) (earlier []schema) {
	t.Helper()
	text := fixture.Bytes(t, f.schemas, func() []byte {
		var lines []string
		for _, value := range f.types {
			line, err := json.Marshal(schema{Name: typeName(value), Schema: fixture.SchemaOf(reflect.TypeOf(value))})
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, string(line))
		}
		return []byte("[\n" + strings.Join(lines, ",\n") + "\n]\n")
	})
	if err := json.Unmarshal(text, &earlier); err != nil {
		t.Fatal(err)
	}
	return earlier
}

// receiveCount decodes the messages of a recorded stream with the current code. It fails the test unless there are exactly as
// many as count.
func receiveCount(t *testing.T, stream []byte, count int) []any {
	t.Helper()
	raw := &recordedConn{}
	raw.Buffer.Write(stream)
	conn := peerlink.NewConn(raw)
	var messages []any
	for range count {
		message, err := conn.Receive(time.Second)
		if err != nil {
			t.Fatalf("message %d: %v", len(messages), err)
		}
		messages = append(messages, message)
	}
	if raw.Len() > 0 {
		t.Fatalf("%d bytes are left after %d messages", raw.Len(), count)
	}
	return messages
}

// The current code decodes all fields of the coordination service's messages of an earlier build.
func TestCoordinationMessagesOfEarlierBuildAreRead(t *testing.T) {
	for _, f := range coordinationFixtures {
		fixture.Text(t, f.rendered, renderAll(f.messages(t)))
	}
}

// The types of an earlier build decode all fields of the messages that the current types of the service encode.
func TestEarlierTypesReadCurrentCoordinationMessages(t *testing.T) {
	for _, f := range coordinationFixtures {
		messages := f.messages(t)
		var rendered strings.Builder
		for i, earlier := range f.earlierSchemas(t) {
			decoded, err := fixture.RecodeGob(messages[i], &earlier.Schema)
			if err != nil {
				t.Fatalf("%s: %v", earlier.Name, err)
			}
			rendered.WriteString(earlier.Name + "\n" + fixture.Render("\t", decoded))
		}
		fixture.Text(t, f.rendered, rendered.String())
	}
}

// replicatedValue returns a replicated value after some commands to the coordination service.
func replicatedValue(t *testing.T) any {
	t.Helper()
	configuration := &fleetconfig.State{}
	fixture.Fill(configuration)
	value := any(configuration)
	for _, command := range []coordination.Command{
		{Operation: coordination.BeginLock, Name: "l", Holder: "a", HoldMs: 3000},
		{Operation: coordination.NextNumber, Name: "n"},
		{Operation: coordination.PutCell, Name: "g.a", Value: "1"},
		{Operation: coordination.PutCell, Name: "g.b", Value: "2"},
		{Operation: coordination.Compact, Floors: map[string]uint64{"g.": 1}},
	} {
		next, _, err := corestate.Coordination(value).Execute(command)
		if err != nil {
			t.Fatal(err)
		}
		value = corestate.WithCoordination(value, next)
	}
	return value
}

// renderValue returns the text form of a replicated value. Its coordination part is rendered through the exported methods, since
// its fields are not exported.
func renderValue(value any) string {
	state, ok := value.(*corestate.State)
	if !ok {
		return fmt.Sprintf("%T\n", value)
	}
	lock, held := state.Coordination.Lock("l")
	events, upTo, complete := state.Coordination.EventsAfter("g.", 1, 10)
	_, _, fromStart := state.Coordination.EventsAfter("g.", 0, 10)
	_, number, _ := state.Coordination.Execute(coordination.Command{Operation: coordination.NextNumber, Name: "n"})
	_, token, _ := state.Coordination.Execute(coordination.Command{Operation: coordination.BeginLock, Name: "other", Holder: "b", HoldMs: 1})
	return strings.Join(slices.Concat([]string{
		fmt.Sprintf("lock %+v %v", lock, held),
		fmt.Sprintf("next number %d, next token %d", number.Number, token.Token),
		fmt.Sprintf("cells %+v %+v", state.Coordination.ReadCell("g.a"), state.Coordination.ReadCell("g.b")),
		fmt.Sprintf("events %+v up to %d, complete %v, from the start %v", events, upTo, complete, fromStart),
		fmt.Sprintf("counts %+v, bytes %d", state.Coordination.Counts(), state.Coordination.Bytes()),
		fmt.Sprintf("operations %d", state.CoordinationOperations),
	}, []string{fixture.Render("configuration", state.Configuration)}), "\n")
}

// The current code decodes a replicated value of an earlier build completely, also after it has encoded the value again.
func TestReplicatedValueOfEarlierBuildIsRead(t *testing.T) {
	Register()
	stream := fixture.Bytes(t, coordinationStateFile, func() []byte { return sendAll(t, []any{replicatedValue(t)}) })
	received := receiveCount(t, stream, 1)
	fixture.Text(t, coordinationStateText, renderValue(received[0]))
	fixture.Text(t, coordinationStateText, renderValue(receiveCount(t, sendAll(t, received), 1)[0]))
	if name := typeName(received[0]); name != "dykering/internal/corestate.State" || !strings.Contains(string(stream), name) {
		t.Errorf("the value is sent as %q", name)
	}
}
